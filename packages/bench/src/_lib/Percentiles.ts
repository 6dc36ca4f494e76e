import { build, type Histogram } from 'hdr-histogram-js'

const UNITS_PER_MS = 1000

/** Percentiles of times in ms, with three significant digits. */
export class Percentiles {
  readonly #histogram: Histogram = build({
    bitBucketSize: 64, numberOfSignificantValueDigits: 3, useWebAssembly: false
  })

  record (ms: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(ms * UNITS_PER_MS)))
  }

  get (percentile: number): number {
    return Math.round(this.#histogram.getValueAtPercentile(percentile) / UNITS_PER_MS * 100) / 100
  }
}
