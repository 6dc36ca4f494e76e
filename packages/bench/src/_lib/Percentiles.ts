import { build, type Histogram } from 'hdr-histogram-js'

/** The histogram records integers: microseconds. */
const MICROSECONDS_PER_MS = 1000

/** Percentiles of durations in ms, with a precision of three significant digits. */
export class Percentiles {
  readonly #histogram: Histogram = build({
    bitBucketSize: 64, numberOfSignificantValueDigits: 3, useWebAssembly: false
  })

  record (ms: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(ms * MICROSECONDS_PER_MS)))
  }

  /** Returns a percentile (0 to 100) in ms, rounded to 0.01 ms. */
  get (percentile: number): number {
    return Math.round(this.#histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS * 100) / 100
  }
}
