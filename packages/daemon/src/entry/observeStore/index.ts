import type { ObjectStore, Table } from '@gypsumspring/adapters'
import type { FailureReason, Outcome } from '@gypsumspring/protocol'

/** Whether a dependency answered when it was last called. */
export interface DependencyHealth {
  /** When it stopped answering, in ms; undefined while it answers or was never called. */
  downSince: number | undefined
}

const NO_ANSWER = new Set<FailureReason>(['unavailable', 'timeout', 'closed', 'overloaded'])

/**
 * Wraps a table service so that its health is known without calls of its own.
 *
 * @param table - The table service.
 * @param health - Changed at each call.
 * @returns A table service with the same answers.
 *
 * @example
 * observeTable(platform.table, { downSince: undefined })
 */
export function observeTable (table: Table, health: DependencyHealth): Table {
  return {
    transact: async (transaction) => note(health, await table.transact(transaction)),
    read: async (key) => note(health, await table.read(key)),
    scan: async (prefix) => note(health, await table.scan(prefix))
  }
}

/**
 * Wraps an object store so that its health is known without calls of its own.
 *
 * @param objects - The object store.
 * @param health - Changed at each call.
 * @returns An object store with the same answers.
 *
 * @example
 * observeObjects(platform.objects, { downSince: undefined })
 */
export function observeObjects (objects: ObjectStore, health: DependencyHealth): ObjectStore {
  return {
    put: async (key, bytes) => note(health, await objects.put(key, bytes)),
    get: async (key) => note(health, await objects.get(key)),
    remove: async (key) => note(health, await objects.remove(key))
  }
}

function note<Value> (health: DependencyHealth, outcome: Outcome<Value>): Outcome<Value> {
  const failed = outcome.caseOf({ Left: ({ reason }) => NO_ANSWER.has(reason), Right: () => false })
  health.downSince = failed ? health.downSince ?? performance.now() : undefined
  return outcome
}
