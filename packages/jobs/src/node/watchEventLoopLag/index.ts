/** Time between two readings of the lag of timers, in ms. */
const SAMPLE_INTERVAL_MS = 100

/** Average lag at which a node is too slow to own a cell, in ms; a quick task waits for several turns of the loop. */
const MAX_AVERAGE_LAG_MS = 60

/**
 * Time at first in which readings don't count, in ms. A new owner opens connections to all workers, which delays timers
 * on any machine: the next owner would do the same.
 */
export const WARM_UP_MS = 3_000

/** Weight of a new reading of the lag. */
const SMOOTHING_FACTOR = 0.1

/**
 * Calls back while timers of this process fire late for about a second, as they do on a machine that turned slow.
 *
 * @param onSlow - Receives the average lag, in ms.
 * @returns The timer, to be cleared by the caller.
 */
export function watchEventLoopLag (onSlow: (lagMs: number) => void): ReturnType<typeof setInterval> {
  const warmUpEndsAt = performance.now() + WARM_UP_MS
  let expectedAt = performance.now() + SAMPLE_INTERVAL_MS
  let averageMs = 0
  return setInterval(() => {
    const now = performance.now()
    const lagMs = Math.min(Math.max(0, now - expectedAt), SAMPLE_INTERVAL_MS * 2)
    if (now >= warmUpEndsAt) averageMs += SMOOTHING_FACTOR * (lagMs - averageMs)
    expectedAt = now + SAMPLE_INTERVAL_MS
    if (averageMs > MAX_AVERAGE_LAG_MS) onSlow(averageMs)
  }, SAMPLE_INTERVAL_MS)
}
