/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.3

/** Samples are capped at this value, in ms: longer calls indicate an outage and not a slow store. */
const MAX_SAMPLE_MS = 1_000

/** Exponential moving average of the latency of answered calls to one store. */
export class LatencyAverage {
  ms = 0

  record (durationMs: number): void {
    this.ms += SAMPLE_WEIGHT * (Math.min(durationMs, MAX_SAMPLE_MS) - this.ms)
  }
}
