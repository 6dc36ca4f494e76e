import type { ConfigurationIndex, Manifest, SchemaViolation } from '@gypsumspring/protocol'
import { Left, Right, type Either } from 'purify-ts/Either'

export type Operation =
  | { kind: 'drain' | 'undrain', endpoint: string, runner: string }
  /** Without `scope` the workload must be declared in exactly one scope. */
  | { kind: 'cancel', workload: string, scope?: string }

type Drain = Extract<Operation, { kind: 'drain' | 'undrain' }>
type Cancellation = Extract<Operation, { kind: 'cancel' }>

/** An operation that refers to something that is not declared. */
export interface OperationRefusal {
  violation: SchemaViolation
}

/**
 * Adds an operator's drain or cancellation to the operations of an index, or removes a drain.
 *
 * @param index - Current index in the table.
 * @param manifests - Manifests that the index refers to.
 * @param operation - Operation requested by the operator.
 * @returns The new index; the same index if the operation is already in force; or why the operation is refused.
 *
 * @example
 * applyOperation(index, manifests, { kind: 'drain', endpoint: 'origem', runner: 'r1' })
 */
export function applyOperation (
  index: ConfigurationIndex, manifests: Record<string, Manifest>, operation: Operation
): Either<OperationRefusal, ConfigurationIndex> {
  return operation.kind === 'cancel'
    ? cancel(index, manifests, operation)
    : setDrained(index, manifests, operation)
}

function setDrained (
  index: ConfigurationIndex, manifests: Record<string, Manifest>, { kind, endpoint, runner }: Drain
): Either<OperationRefusal, ConfigurationIndex> {
  const endpoints = Object.values(manifests).flatMap((manifest) => manifest.endpoints ?? [])
  const declared = endpoints.find(({ id }) => id === endpoint)
  if (declared === undefined) return refuse('endpoint', endpoint, 'an endpoint of the configuration')
  if (!declared.runners.some(({ id }) => id === runner)) {
    return refuse('runner', runner, `a runner of endpoint ${endpoint}`)
  }
  const { drainedRunners } = index.operations
  const others = drainedRunners.filter((drained) => drained.endpoint !== endpoint || drained.runner !== runner)
  const isDrained = others.length < drainedRunners.length
  if (isDrained === (kind === 'drain')) return Right(index)
  const changed = kind === 'drain' ? [...drainedRunners, { endpoint, runner }] : others
  return Right({ ...index, operations: { ...index.operations, drainedRunners: changed } })
}

function cancel (
  index: ConfigurationIndex, manifests: Record<string, Manifest>, { workload, scope }: Cancellation
): Either<OperationRefusal, ConfigurationIndex> {
  const declaring = Object.values(manifests)
    .filter((manifest) => scope === undefined || manifest.scope === scope)
    .filter((manifest) => manifest.workloads?.some(({ id }) => id === workload))
    .map((manifest) => manifest.scope)
  const [found, second] = declaring
  if (found === undefined) return refuse('workload', workload, `a workload of ${scope ?? 'any scope'}`)
  if (second !== undefined) return refuse('scope', '', `one of ${declaring.join(', ')}, which all declare this workload`)
  const { cancelledWorkloads } = index.operations
  const isCancelled = cancelledWorkloads.some((known) => known.scope === found && known.workload === workload)
  if (isCancelled) return Right(index)
  const changed = [...cancelledWorkloads, { scope: found, workload }]
  return Right({ ...index, operations: { ...index.operations, cancelledWorkloads: changed } })
}

function refuse (path: string, value: string, allowed: string): Either<OperationRefusal, never> {
  return Left({ violation: { path, value: JSON.stringify(value), allowed } })
}
