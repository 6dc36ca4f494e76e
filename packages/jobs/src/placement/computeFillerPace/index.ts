/** Tail latency, as a share of the target, above which filler tasks are slowed down. */
const SLOW_ABOVE = 0.85

/** Tail latency, as a share of the target, below which filler tasks are sped up again. */
const SPEED_UP_BELOW = 0.6

/** Increase of the pace per call, in percentage points. */
const SPEED_UP_STEP = 20

/** Lower paces are rounded down to 0, which suspends the filler tasks, in percent. */
const MIN_PACE = 15

/**
 * Computes the pace of the filler tasks on one worker from the tail latencies of its serving tasks. The pace is halved
 * near the target, quartered above it until it reaches 0, and raised in small steps well below the target.
 *
 * @param pace - Current pace of the filler tasks, in percent.
 * @param tails - Tail latency and target of each serving task, in ms.
 * @returns The new pace, in percent.
 *
 * @example
 * computeFillerPace(100, [{ tailMs: 300, targetMs: 200 }]) // 25
 */
export function computeFillerPace (pace: number, tails: ReadonlyArray<{ tailMs: number, targetMs: number }>): number {
  const worst = tails.reduce((highest, { tailMs, targetMs }) => Math.max(highest, tailMs / targetMs), 0)
  if (worst > 1) {
    const lowered = Math.floor(pace / 4)
    return lowered < MIN_PACE ? 0 : lowered
  }
  if (worst > SLOW_ABOVE) {
    const lowered = Math.floor(pace / 2)
    return lowered < MIN_PACE ? 0 : lowered
  }
  return worst < SPEED_UP_BELOW ? Math.min(100, pace + SPEED_UP_STEP) : pace
}
