import { DRIFT_MARGIN } from '../constants/index.ts'

export interface WorkerContact {
  /** When this owner took over the shard, in ms. */
  ownedSince: number
  /** End of the last call that may have reached the worker, in ms; absent if this owner opened no session there. */
  lastContactAt?: number
}

/**
 * Computes when the attempts on a worker that does not respond have certainly ended.
 *
 * @param contact - When this owner was last in contact with the worker.
 * @param durations.runHorizonMs - How long an owner without contact to the store may renew task leases, in ms.
 * @param durations.taskLeaseMs - Duration of a task lease, in ms.
 * @returns Time in ms. An owner that never opened a session on the worker has not fenced the previous owner there, and
 * has to assume that it renews task leases for the whole run horizon.
 *
 * @example
 * computeLossTime({ ownedSince: 0, lastContactAt: 1_000 }, { runHorizonMs: 1_800_000, taskLeaseMs: 30_000 })
 * // => 31_900
 */
export function computeLossTime (
  contact: WorkerContact, durations: { runHorizonMs: number, taskLeaseMs: number }
): number {
  return contact.lastContactAt === undefined
    ? contact.ownedSince + (durations.runHorizonMs + durations.taskLeaseMs) * DRIFT_MARGIN
    : contact.lastContactAt + durations.taskLeaseMs * DRIFT_MARGIN
}
