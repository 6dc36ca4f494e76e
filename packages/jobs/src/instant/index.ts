import { Type, type Static } from '@sinclair/typebox'

/** A moment as this process's two clocks showed it. */
export const Instant = Type.Object({
  /** Monotonic time, which stands still while the machine is suspended, in ms. */
  monotonicMs: Type.Number(),
  /** Unix time, which may jump, in ms. */
  unixMs: Type.Number()
})
export type Instant = Static<typeof Instant>

export function readInstant (): Instant {
  return { monotonicMs: performance.now(), unixMs: Date.now() }
}

/**
 * Returns the longest time that may have passed since an instant, including time for which the machine was suspended.
 *
 * @param instant - An earlier instant of this process.
 * @param until - The end of the time. Default: now.
 * @returns The time in ms; too long if the wall clock was set ahead meanwhile.
 */
export function measureLongestElapsed ({ monotonicMs, unixMs }: Instant, until = readInstant()): number {
  return Math.max(until.monotonicMs - monotonicMs, until.unixMs - unixMs)
}
