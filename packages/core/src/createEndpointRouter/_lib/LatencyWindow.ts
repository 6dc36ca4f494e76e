import { LATENCY_WINDOW } from '../constants/index.ts'

const REFRESH = 16

/** The last latencies of an endpoint; percentiles are refreshed every few samples. */
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
    this.#next = (this.#next + 1) % LATENCY_WINDOW
    if (++this.#sinceRefresh < REFRESH && this.#samples.length > REFRESH) return
    this.#sinceRefresh = 0
    this.#sorted = [...this.#samples].sort((a, b) => a - b)
  }

  /** In ms; 0 while nothing is known. */
  get mean (): number {
    return this.#samples.length === 0 ? 0 : this.#sum / this.#samples.length
  }

  /** In ms; 0 while nothing is known. */
  percentile (share: number): number {
    return this.#sorted[Math.min(this.#sorted.length - 1, Math.floor(share * this.#sorted.length))] ?? 0
  }
}
