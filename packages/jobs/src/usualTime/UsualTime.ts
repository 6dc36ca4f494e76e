/** Weight of a new observation. */
const GAIN = 0.3

/** Longer times are those of an outage and not of a slow store, in ms. */
const SLOWEST_MS = 1_000

/** Moving average of the time that answered calls to one store took, in ms. */
export class UsualTime {
  ms = 0

  record (durationMs: number): void {
    this.ms += GAIN * (Math.min(durationMs, SLOWEST_MS) - this.ms)
  }
}
