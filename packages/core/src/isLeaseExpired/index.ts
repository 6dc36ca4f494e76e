import { DRIFT_MARGIN } from '../constants/index.ts'

/**
 * Returns whether a lease has certainly expired, from the point of view of a process that watches its stored row.
 *
 * @param unchangedSince - When the watcher first read the current content of the row, in ms on its monotonic clock.
 * @param now - Current time in ms on the same clock.
 * @param leaseMs - Duration of the lease in ms.
 * @returns True once the duration times the drift margin has passed.
 *
 * @example
 * isLeaseExpired(0, 10_300, 10_000) // => true
 */
export function isLeaseExpired (unchangedSince: number, now: number, leaseMs: number): boolean {
  return now - unchangedSince >= leaseMs * DRIFT_MARGIN
}
