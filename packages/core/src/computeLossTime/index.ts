import { DRIFT_MARGIN } from '../constants/index.ts'

export interface WorkerContact {
  /** When this owner took the shard over, in ms. */
  ownedSince: number
  /** End of the last call that may have reached the worker, in ms; absent when this owner opened no session there. */
  lastContactAt?: number
}

/**
 * Tells from when on the attempts of a silent worker have certainly ended.
 *
 * @param contact - What this owner knows of its contact with the worker.
 * @param terms - H (`runHorizonMs`) and L (`taskLeaseMs`) in ms.
 * @returns Time in ms. Without a session of its own the owner has to assume that the previous owner, which it may not
 * have fenced there, renews task leases up to H.
 *
 * @example
 * computeLossTime({ ownedSince: 0, lastContactAt: 1_000 }, { runHorizonMs: 1_800_000, taskLeaseMs: 30_000 })
 * // => 31_900
 */
export function computeLossTime (
  contact: WorkerContact, terms: { runHorizonMs: number, taskLeaseMs: number }
): number {
  return contact.lastContactAt === undefined
    ? contact.ownedSince + (terms.runHorizonMs + terms.taskLeaseMs) * DRIFT_MARGIN
    : contact.lastContactAt + terms.taskLeaseMs * DRIFT_MARGIN
}
