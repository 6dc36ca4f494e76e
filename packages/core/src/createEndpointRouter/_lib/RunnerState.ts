import type { ExchangeResult, RunnerNode } from '../../types.ts'
import {
  FAILURE_THRESHOLD, FAILURE_WEIGHT, INITIAL_EXCLUSION_MS, LATENCY_DECAY_MS, LATENCY_WEIGHT, MAX_EXCLUSION_MS,
  HISTORY_DECAY_MS
} from '../constants/index.ts'

/** Tokens of one runner in this entry, and the latency and failure rate observed in its exchanges. */
export class RunnerState {
  node: RunnerNode
  /** Listed in the configuration. */
  configured = true
  held = 0
  inUse = 0
  /** Expired tokens that are still in use; dropped as their exchanges finish. */
  expired = 0
  /** Tokens in use that the allocator has recalled; released as their exchanges finish. */
  recalled = 0
  /** Moving average; undefined until a latency is recorded. */
  latencyMs: number | undefined
  /** Moving average of 1 for each failure and 0 for each success. */
  failureRate = 0
  /** Set while the runner is excluded; after this time it may be probed. */
  excludedUntil: number | undefined
  #exclusionMs = INITIAL_EXCLUSION_MS
  lastSentAt = -Infinity
  /** How long the runner was idle before the newest exchange. */
  #idleMs = 0
  /** Start time of each exchange by request, oldest first. */
  readonly starts = new Map<string, number>()

  constructor (node: RunnerNode) {
    this.node = node
  }

  get free (): number {
    return this.held - this.inUse
  }

  /** Whether the runner accepts new requests. */
  get available (): boolean {
    return this.configured && !this.node.leaving
  }

  start (request: string, now: number): void {
    this.inUse++
    this.#idleMs = Math.max(0, now - this.lastSentAt)
    this.lastSentAt = now
    this.starts.set(request, now)
  }

  /** Ends an exchange. If it was aborted, its duration is only a lower bound of the latency. */
  finish (request: string, result: ExchangeResult, aborted: boolean, meanMs: number, now: number): void {
    const elapsed = now - (this.starts.get(request) ?? now)
    this.starts.delete(request)
    this.inUse--
    if (this.expired > 0) {
      this.expired--
      this.held--
    } else if (this.recalled > 0) {
      this.recalled--
      this.held--
    }
    this.recalled = Math.min(this.recalled, this.inUse - this.expired)
    if (aborted) {
      if (this.latencyMs !== undefined && elapsed > this.latencyMs) this.#recordLatency(elapsed, meanMs)
    } else if (result === 'answered') {
      this.#recordLatency(elapsed, meanMs)
      this.#recordSuccess()
    } else {
      this.#recordFailure(now)
    }
  }

  /**
   * Expected duration of an exchange in ms. Approaches the endpoint's mean while the runner is idle, so that it is
   * tried again. The age of the oldest exchange is included to detect a runner that hangs.
   */
  expectedMs (meanMs: number, now: number): number {
    const oldest = this.starts.values().next().value
    const estimatedMs = meanMs + ((this.latencyMs ?? meanMs) - meanMs) * this.#historyWeight(now)
    return Math.max(estimatedMs, oldest === undefined ? 0 : (now - oldest) / 3)
  }

  /** Expected failure rate; decays while the runner is idle. */
  expectedFailureRate (now: number): number {
    return this.failureRate * this.#historyWeight(now)
  }

  #historyWeight (now: number): number {
    return Math.exp(-Math.max(0, now - this.lastSentAt) / HISTORY_DECAY_MS)
  }

  /**
   * Updates the average latency. It starts from the endpoint's mean, so that a single long request does not make a
   * runner slow. Older samples lose weight, so that a few probes are enough to detect a recovery.
   */
  #recordLatency (elapsed: number, meanMs: number): void {
    const old = this.latencyMs ?? (meanMs > 0 ? meanMs : elapsed)
    const oldWeight = this.latencyMs === undefined ? 1 : Math.exp(-this.#idleMs / LATENCY_DECAY_MS)
    const weight = 1 - (1 - LATENCY_WEIGHT) * oldWeight
    this.latencyMs = movingAverage(old, elapsed, weight)
  }

  #decayedFailureRate (): number {
    return this.failureRate * Math.exp(-this.#idleMs / HISTORY_DECAY_MS)
  }

  #recordSuccess (): void {
    if (this.excludedUntil !== undefined) {
      this.excludedUntil = undefined
      this.#exclusionMs = INITIAL_EXCLUSION_MS
      this.failureRate = 0
    }
    this.failureRate = movingAverage(this.#decayedFailureRate(), 0, FAILURE_WEIGHT)
  }

  #recordFailure (now: number): void {
    this.failureRate = movingAverage(this.#decayedFailureRate(), 1, FAILURE_WEIGHT)
    if (this.failureRate < FAILURE_THRESHOLD) return
    // Failures during the exclusion belong to exchanges sent before it and give no new information.
    if (this.excludedUntil !== undefined && now < this.excludedUntil) return
    if (this.excludedUntil !== undefined) this.#exclusionMs = Math.min(MAX_EXCLUSION_MS, this.#exclusionMs * 2)
    this.excludedUntil = now + this.#exclusionMs
  }
}

function movingAverage (old: number, newest: number, weight: number): number {
  return old + weight * (newest - old)
}
