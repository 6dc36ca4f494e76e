import { LATENCY_WINDOW_SIZE } from '../constants/index.ts'

const REFRESH_SAMPLES = 16

/** Sliding window of the latencies of an endpoint. Percentiles are recomputed only every `REFRESH_SAMPLES` samples. */
export class LatencyWindow {
  readonly #samples: number[] = []
  #sorted: number[] = []
  #next = 0
  #sum = 0
  #sinceRefresh = 0

  get count (): number {
    return this.#samples.length
  }

  record (ms: number): void {
    this.#sum += ms - (this.#samples[this.#next] ?? 0)
    this.#samples[this.#next] = ms
    this.#next = (this.#next + 1) % LATENCY_WINDOW_SIZE
    if (++this.#sinceRefresh < REFRESH_SAMPLES && this.#samples.length > REFRESH_SAMPLES) return
    this.#sinceRefresh = 0
    this.#sorted = [...this.#samples].sort((a, b) => a - b)
  }

  /** Mean latency in ms; 0 without samples. */
  get mean (): number {
    return this.#samples.length === 0 ? 0 : this.#sum / this.#samples.length
  }

  /** Latency percentile in ms; 0 without samples. */
  percentile (share: number): number {
    return this.#sorted[Math.min(this.#sorted.length - 1, Math.floor(share * this.#sorted.length))] ?? 0
  }
}
