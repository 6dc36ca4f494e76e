import type { ConfigurationIndex, Manifest, SchemaViolation } from '@gypsumspring/protocol'
import { Left, Right, type Either } from 'purify-ts/Either'

export type ScopeRefusal =
  | { kind: 'conflict', expected: number, current: number }
  | { kind: 'invalid', violations: SchemaViolation[] }

export interface ScopeChange {
  manifest: Manifest
  /** SHA-256 of the manifest's object. */
  hash: string
  /** Version of the scope that the change is based on; 0 for a new scope. */
  expected: number
}

/**
 * Replaces the manifest of a scope in an index.
 *
 * @param index - Current index in the table.
 * @param manifests - Manifests that the index refers to.
 * @param change - The new manifest.
 * @returns The new index; the same index if this content is in force at the expected version or the next one, which is
 * the case when a change is retried after its response was lost; or why the change is refused.
 *
 * @example
 * applyScopeChange(index, manifests, { manifest, hash: 'ab12', expected: 3 })
 */
export function applyScopeChange (
  index: ConfigurationIndex, manifests: Record<string, Manifest>, change: ScopeChange
): Either<ScopeRefusal, ConfigurationIndex> {
  const { manifest, hash, expected } = change
  const { version: current, hash: currentHash } = index.scopes[manifest.scope] ?? { version: 0, hash: '' }
  if (currentHash === hash && (current === expected || current === expected + 1)) return Right(index)
  if (current !== expected) return Left({ kind: 'conflict', expected, current })
  const violations = findDuplicateEndpoints(manifests, manifest)
  if (violations.length > 0) return Left({ kind: 'invalid', violations })
  return Right({
    ...index,
    scopes: { ...index.scopes, [manifest.scope]: { version: expected + 1, hash } },
    operations: pruneOperations(index, { ...manifests, [manifest.scope]: manifest })
  })
}

/** Finds endpoints that another scope declares. Callers don't specify a scope, so endpoint ids must be unique. */
function findDuplicateEndpoints (manifests: Record<string, Manifest>, manifest: Manifest): SchemaViolation[] {
  const others = Object.values(manifests).filter(({ scope }) => scope !== manifest.scope)
  return (manifest.endpoints ?? []).flatMap(({ id }, position) => {
    const owner = others.find(({ endpoints }) => endpoints?.some((endpoint) => endpoint.id === id))
    if (owner === undefined) return []
    const allowed = `an id that scope ${owner.scope} does not declare`
    return [{ path: `/endpoints/${position}/id`, value: JSON.stringify(id), allowed }]
  })
}

/** Removes operations whose runner or workload is no longer declared; otherwise the row would grow without limit. */
function pruneOperations (
  index: ConfigurationIndex, manifests: Record<string, Manifest>
): ConfigurationIndex['operations'] {
  const endpoints = Object.values(manifests).flatMap((manifest) => manifest.endpoints ?? [])
  return {
    drainedRunners: index.operations.drainedRunners.filter(({ endpoint, runner }) =>
      endpoints.some(({ id, runners }) => id === endpoint && runners.some((declared) => declared.id === runner))),
    cancelledWorkloads: index.operations.cancelledWorkloads.filter(({ scope, workload }) =>
      manifests[scope]?.workloads?.some(({ id }) => id === workload) === true)
  }
}
