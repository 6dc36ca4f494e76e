import type { CallerRequest, RequestClass } from '../../types.ts'
import { DEFAULT_RETRY_MS, LONGEST_RETRY_MS, SHORTEST_RETRY_MS, WAIT_MARGIN } from '../constants/index.ts'
import { DrainMeter } from './DrainMeter.ts'
import type { LatencyWindow } from './LatencyWindow.ts'
import type { Queued, RequestQueue } from './RequestQueue.ts'

/** Estimates waits from the measured drain rate. */
export class Admission<Item extends Queued> {
  readonly #drain = new DrainMeter()
  readonly #queue: RequestQueue<Item>
  readonly #latencies: LatencyWindow
  readonly #random: () => number

  constructor (queue: RequestQueue<Item>, latencies: LatencyWindow, random: () => number) {
    this.#queue = queue
    this.#latencies = latencies
    this.#random = random
  }

  /** Called before each change, with the state since the last call. */
  advance (now: number, tokens: number): void {
    this.#drain.advance(now, this.#queue.size > 0, tokens)
  }

  recordSend (requestClass: RequestClass): void {
    this.#drain.recordSend(requestClass)
  }

  /** Time in ms until another token becomes free; 0 while nothing is known. */
  tokenGapMs (tokens: number): number {
    const rate = this.#rate(tokens)
    return rate === undefined ? 0 : 1 / rate
  }

  /** Expected wait of a new request in ms; 0 while nothing is known. */
  waitMs (request: Queued, tokens: number): number {
    const rate = this.#rate(tokens)
    if (rate === undefined) return 0
    const { preferred, same } = this.#queue.ahead(request)
    return WAIT_MARGIN * (preferred / rate + same / (rate * this.#drain.shareLeft(request.class)))
  }

  /** Whether a request that has to wait would get its answer in time. */
  isInTime (request: CallerRequest, tokens: number, now: number): boolean {
    return now + this.waitMs(request, tokens) + this.#latencies.percentile(0.9) <= request.deadline
  }

  /** Time after which enough of the queue has drained; spread, so that refused callers don't return together. */
  retryAfterMs (request: CallerRequest, tokens: number, now: number): number {
    const rate = this.#rate(tokens)
    if (rate === undefined) return DEFAULT_RETRY_MS
    const budget = Math.max(0, request.deadline - now - this.#latencies.percentile(0.9))
    const excess = Math.max(this.waitMs(request, tokens) - budget, this.#queue.size / 10 / rate)
    return Math.round(Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, excess * (1 + this.#random() / 2))))
  }

  /** Requests per ms: measured under saturation, else by Little's law from the latency. */
  #rate (tokens: number): number | undefined {
    if (tokens === 0) return undefined
    const typical = this.#latencies.percentile(0.5)
    const measured = this.#drain.rate(tokens, typical)
    if (measured !== undefined) return measured
    return typical > 0 ? tokens / typical : undefined
  }
}
