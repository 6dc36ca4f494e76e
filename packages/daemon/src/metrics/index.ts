import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'
import { Counter, Gauge, Registry } from 'prom-client'

/**
 * Imports only the histogram class: the whole package, with WebAssembly and codecs, adds 9 MB of resident memory; the
 * class alone adds no measurable amount. Node.js and the bundler wrap the default export of this CommonJS module
 * differently.
 */
const Histogram = 'default' in histogramModule
  ? histogramModule.default as unknown as typeof histogramModule
  : histogramModule
type Histogram = InstanceType<typeof histogramModule>

/** Maximum duration that a histogram records, in microseconds; longer ones are clamped to it. */
const MAX_DURATION_US = 600_000_000

const PERCENTILES = [50, 99, 99.9] as const

/** Counters, gauges and duration histograms of one process, in the text exposition format of Prometheus. */
export class Metrics {
  readonly #registry = new Registry()
  readonly #counters = new Map<string, Counter>()
  readonly #gauges = new Map<string, Gauge>()
  readonly #durations = new Map<string, Histogram>()

  /** Increments a counter. Every call for the same counter must use the same label names. */
  count (name: string, labels: Record<string, string> = {}, amount = 1): void {
    let counter = this.#counters.get(name)
    if (counter === undefined) {
      counter = new Counter({
        name: `gypsumspring_${name}_total`, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [this.#registry]
      })
      this.#counters.set(name, counter)
    }
    counter.inc(labels, amount)
  }

  /** Sets a gauge. */
  set (name: string, value: number, labels: Record<string, string> = {}): void {
    let gauge = this.#gauges.get(name)
    if (gauge === undefined) {
      gauge = new Gauge({
        name: `gypsumspring_${name}`, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [this.#registry]
      })
      this.#gauges.set(name, gauge)
    }
    gauge.set(labels, value)
  }

  /** Records a duration in ms. */
  recordDuration (name: string, milliseconds: number): void {
    let histogram = this.#durations.get(name)
    if (histogram === undefined) {
      histogram = new Histogram(1, MAX_DURATION_US, 2)
      this.#durations.set(name, histogram)
    }
    histogram.recordValue(Math.min(Math.max(Math.round(milliseconds * 1000), 1), MAX_DURATION_US))
  }

  /** Returns a percentile of a recorded duration in ms, or 0 if nothing was recorded. */
  percentile (name: string, percentile: number): number {
    const histogram = this.#durations.get(name)
    return histogram === undefined ? 0 : histogram.getValueAtPercentile(percentile) / 1000
  }

  /** Renders all metrics. Durations become summaries in seconds. */
  async render (): Promise<string> {
    const summaries = [...this.#durations].map(([name, histogram]) => renderSummary(name, histogram))
    return [await this.#registry.metrics(), ...summaries].join('\n')
  }
}

function renderSummary (name: string, histogram: Histogram): string {
  const metric = `gypsumspring_${name}_seconds`
  const quantiles = PERCENTILES.map((percentile) =>
    `${metric}{quantile="${Number((percentile / 100).toFixed(3))}"} ${histogram.getValueAtPercentile(percentile) / 1e6}`)
  const sum = histogram.mean * histogram.totalCount / 1e6
  return [`# TYPE ${metric} summary`, ...quantiles, `${metric}_sum ${sum}`, `${metric}_count ${histogram.totalCount}`, ''].join('\n')
}
