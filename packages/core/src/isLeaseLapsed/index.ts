import { DRIFT_MARGIN } from '../constants/index.ts'

/**
 * Tells whether a lease has ended for certain, as seen by a process that watches its row.
 *
 * @param unchangedSince - When the watcher first saw the present content of the row, in ms on its monotonic clock.
 * @param now - Current time in ms on the same clock.
 * @param leaseMs - Length of the lease in ms.
 * @returns True after the lease length times the drift margin.
 *
 * @example
 * isLeaseLapsed(0, 10_300, 10_000) // => true
 */
export function isLeaseLapsed (unchangedSince: number, now: number, leaseMs: number): boolean {
  return now - unchangedSince >= leaseMs * DRIFT_MARGIN
}
