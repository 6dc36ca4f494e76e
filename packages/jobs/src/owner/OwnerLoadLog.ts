import type { LogWriter, MetricsRecorder } from '../ports.ts'
import { readOwnCpuMs } from '../readOwnCpuMs/index.ts'

/** Interval of the log lines, in ms. */
const LOG_INTERVAL_MS = 1_000

/** Durations of one kind since the last line. */
interface DurationSummary {
  count: number
  sumMs: number
  maxMs: number
}

interface Options {
  /** Returns the processor time that the process has used so far, in ms. Default: as the system reports it. */
  readCpuMs?: () => number
}

/**
 * Passes metrics on, and logs once a second how much the owner of a cell did and how long it took, so that a slow
 * store, a busy processor and a long wait for a worker can be told apart afterwards.
 */
export class OwnerLoadLog implements MetricsRecorder {
  readonly #metrics: MetricsRecorder
  readonly #log: LogWriter
  readonly #readCpuMs: () => number
  readonly #durations = new Map<string, DurationSummary>()
  #loggedAt = performance.now()
  #cpuMs: number

  constructor (metrics: MetricsRecorder, log: LogWriter, { readCpuMs = readOwnCpuMs }: Options = {}) {
    this.#metrics = metrics
    this.#log = log
    this.#readCpuMs = readCpuMs
    this.#cpuMs = readCpuMs()
  }

  count (name: string, labels?: Record<string, string>, amount?: number): void {
    this.#metrics.count(name, labels, amount)
  }

  recordDuration (name: string, milliseconds: number): void {
    const summary = this.#durations.get(name)
    if (summary === undefined) this.#durations.set(name, { count: 1, sumMs: milliseconds, maxMs: milliseconds })
    else {
      summary.count++
      summary.sumMs += milliseconds
      summary.maxMs = Math.max(summary.maxMs, milliseconds)
    }
    this.#metrics.recordDuration(name, milliseconds)
  }

  set (name: string, value: number, labels?: Record<string, string>): void {
    this.#metrics.set(name, value, labels)
  }

  /** Writes a line if it is time. `now` is monotonic time in ms. */
  tick (now: number, fields: Record<string, number>): void {
    const elapsedMs = now - this.#loggedAt
    if (elapsedMs < LOG_INTERVAL_MS) return
    const cpuMs = this.#readCpuMs()
    const durations = [...this.#durations].map(([name, { count, sumMs, maxMs }]) =>
      [name, [count, Math.round(sumMs), Math.round(maxMs)]])
    this.#log.info({
      ...fields,
      processors: Number(((cpuMs - this.#cpuMs) / elapsedMs).toFixed(2)),
      // Number, sum and maximum of each, in ms.
      durations: Object.fromEntries(durations)
    }, 'owner load')
    this.#durations.clear()
    this.#loggedAt = now
    this.#cpuMs = cpuMs
  }
}
