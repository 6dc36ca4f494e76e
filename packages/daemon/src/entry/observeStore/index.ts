import type { ObjectStore, Table } from '@gypsumspring/adapters'
import type { FailureReason, Outcome } from '@gypsumspring/protocol'

/** Whether a dependency responded to its last call. */
export interface DependencyHealth {
  /** Time at which it stopped responding, in ms; undefined while it responds or was never called. */
  downSince: number | undefined
}

const UNREACHABLE_REASONS = new Set<FailureReason>(['unavailable', 'timeout', 'closed', 'overloaded'])

/**
 * Wraps a table service to track its health from regular calls, without separate health checks.
 *
 * @param table - The table service.
 * @param health - Changed at each call.
 * @returns A table service that returns the same results.
 *
 * @example
 * observeTable(platform.table, { downSince: undefined })
 */
export function observeTable (table: Table, health: DependencyHealth): Table {
  return {
    transact: async (transaction) => recordOutcome(health, await table.transact(transaction)),
    read: async (key) => recordOutcome(health, await table.read(key)),
    scan: async (prefix) => recordOutcome(health, await table.scan(prefix))
  }
}

/**
 * Wraps an object store to track its health from regular calls, without separate health checks.
 *
 * @param objects - The object store.
 * @param health - Changed at each call.
 * @returns An object store that returns the same results.
 *
 * @example
 * observeObjects(platform.objects, { downSince: undefined })
 */
export function observeObjects (objects: ObjectStore, health: DependencyHealth): ObjectStore {
  return {
    put: async (key, bytes) => recordOutcome(health, await objects.put(key, bytes)),
    get: async (key) => recordOutcome(health, await objects.get(key)),
    remove: async (key) => recordOutcome(health, await objects.remove(key))
  }
}

function recordOutcome<Value> (health: DependencyHealth, outcome: Outcome<Value>): Outcome<Value> {
  const failed = outcome.caseOf({ Left: ({ reason }) => UNREACHABLE_REASONS.has(reason), Right: () => false })
  health.downSince = failed ? health.downSince ?? performance.now() : undefined
  return outcome
}
