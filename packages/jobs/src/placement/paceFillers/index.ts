/** Share of the target above which filling tasks are slowed, and below which they are sped up again. */
const SLOW_ABOVE = 0.85
const SPEED_UP_BELOW = 0.6

/** Change of pace per look at the worker, in percent. */
const SPEED_UP_STEP = 20

/** Paces below this are rounded to a stop, in percent. */
const LEAST_PACE = 15

/**
 * Decides the pace of the filling tasks on one worker from the tail of the tasks that serve there: lowered near the
 * target, stopped when that isn't enough, and raised in small steps well below it.
 *
 * @param pace - Present pace of the filling tasks, in percent.
 * @param tails - Tail and target of each serving task, in ms.
 * @returns The new pace, in percent.
 *
 * @example
 * paceFillers(100, [{ tailMs: 300, targetMs: 200 }]) // 25
 */
export function paceFillers (pace: number, tails: ReadonlyArray<{ tailMs: number, targetMs: number }>): number {
  const worst = tails.reduce((highest, { tailMs, targetMs }) => Math.max(highest, tailMs / targetMs), 0)
  if (worst > 1) {
    const lowered = Math.floor(pace / 4)
    return lowered < LEAST_PACE ? 0 : lowered
  }
  if (worst > SLOW_ABOVE) {
    const lowered = Math.floor(pace / 2)
    return lowered < LEAST_PACE ? 0 : lowered
  }
  return worst < SPEED_UP_BELOW ? Math.min(100, pace + SPEED_UP_STEP) : pace
}
