import type { CallerRequest, RequestClass } from '../../types.ts'
import {
  DEFAULT_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, REFUSAL_MIN_SAMPLES, WAIT_MARGIN
} from '../constants/index.ts'
import { DrainMeter } from './DrainMeter.ts'
import type { LatencyWindow } from './LatencyWindow.ts'
import type { QueuedRequest, RequestQueue } from './RequestQueue.ts'

/** Estimates the waiting time of requests from the measured drain rate of the queue. */
export class WaitEstimator<Item extends QueuedRequest> {
  readonly #drain = new DrainMeter()
  readonly #queue: RequestQueue<Item>
  readonly #latencies: LatencyWindow
  readonly #random: () => number

  constructor (queue: RequestQueue<Item>, latencies: LatencyWindow, random: () => number) {
    this.#queue = queue
    this.#latencies = latencies
    this.#random = random
  }

  /** Records the state since the last call. Has to be called before each change of the queue or the tokens. */
  advance (now: number, tokens: number): void {
    this.#drain.advance(now, this.#queue.size > 0, tokens)
  }

  recordSend (requestClass: RequestClass): void {
    this.#drain.recordSend(requestClass)
  }

  /** Expected time until another token becomes free, in ms; 0 while nothing was measured. */
  tokenIntervalMs (tokens: number): number {
    const rate = this.#rate(tokens)
    return rate === undefined ? 0 : 1 / rate
  }

  /** Expected waiting time of a new request, in ms; 0 while nothing was measured. */
  waitMs (request: QueuedRequest, tokens: number): number {
    const rate = this.#rate(tokens)
    if (rate === undefined) return 0
    const { preferred, same } = this.#queue.countAhead(request)
    return WAIT_MARGIN * (preferred / rate + same / (rate * this.#drain.remainingShare(request.class)))
  }

  /** Whether a request that has to wait is expected to meet its deadline; true while too little is known. */
  meetsDeadline (request: CallerRequest, tokens: number, now: number): boolean {
    if (!this.#hasEnoughSamples && this.#measuredRate(tokens) === undefined) return true
    return now + this.waitMs(request, tokens) + this.#latencyMs(0.9) <= request.deadline
  }

  /** Whether a request that is sent now is expected to meet its deadline; true while too little is known. */
  meetsDeadlineIfSent (request: CallerRequest, now: number): boolean {
    return now + this.#latencyMs(0.5) <= request.deadline
  }

  /** Time until enough of the queue has drained, with jitter so that refused callers don't all retry at once. */
  retryAfterMs (request: CallerRequest, tokens: number, now: number): number {
    const rate = this.#rate(tokens)
    if (rate === undefined) return DEFAULT_RETRY_AFTER_MS
    const budget = Math.max(0, request.deadline - now - this.#latencies.percentile(0.9))
    const excess = Math.max(this.waitMs(request, tokens) - budget, this.#queue.size / 10 / rate)
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, excess * (1 + this.#random() / 2))))
  }

  /** Requests per ms: the measured drain rate if known, otherwise an estimate from the latency by Little's law. */
  #rate (tokens: number): number | undefined {
    if (tokens === 0) return undefined
    const medianMs = this.#latencies.percentile(0.5)
    return this.#measuredRate(tokens) ?? (medianMs > 0 ? tokens / medianMs : undefined)
  }

  #measuredRate (tokens: number): number | undefined {
    return this.#drain.rate(tokens, this.#latencies.percentile(0.5))
  }

  /** Whether enough answers are known that a single slow one does not decide. */
  get #hasEnoughSamples (): boolean {
    return this.#latencies.count >= REFUSAL_MIN_SAMPLES
  }

  /** Latency percentile in ms that a refusal may depend on; 0 while too few answers are known. */
  #latencyMs (share: number): number {
    return this.#hasEnoughSamples ? this.#latencies.percentile(share) : 0
  }
}
