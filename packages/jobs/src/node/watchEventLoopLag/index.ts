/** Interval at which the lag of the event loop is sampled, in ms. */
const SAMPLE_INTERVAL_MS = 100

/** Average lag above which a node is too slow to own a cell, in ms; an operation waits for several loop iterations. */
const MAX_AVERAGE_LAG_MS = 60

/**
 * Initial time in which samples are ignored, in ms. A new owner opens connections to all workers, which delays timers
 * on any machine, so a handover would not help: the next owner would lag as well.
 */
export const WARM_UP_MS = 3_000

/** Weight of a new sample in the moving average. */
const SMOOTHING_FACTOR = 0.1

/**
 * Measures how late timers fire and calls back while the average lag is too high. The average exceeds the limit after
 * about a second on a machine that has become slow.
 *
 * @param onSlow - Receives the average lag, in ms.
 * @returns The timer, which the caller has to clear.
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
