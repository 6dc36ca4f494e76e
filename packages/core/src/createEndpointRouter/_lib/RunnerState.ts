import type { ExchangeResult, RunnerNode } from '../../types.ts'
import {
  FAILURE_THRESHOLD, FAILURE_WEIGHT, FIRST_EXCLUSION_MS, FORGET_MS, LATENCY_WEIGHT, LONGEST_EXCLUSION_MS,
  MEMORY_MS
} from '../constants/index.ts'

/** One runner: its tokens in this entry, and what its exchanges have shown. */
export class RunnerState {
  node: RunnerNode
  /** Listed in the configuration. */
  present = true
  held = 0
  inUse = 0
  /** Tokens in use that have expired; dropped as exchanges finish. */
  expired = 0
  /** Tokens in use that were asked back. */
  recalled = 0
  latencyMs: number | undefined
  failures = 0
  excludedUntil: number | undefined
  #exclusionMs = FIRST_EXCLUSION_MS
  lastSentAt = -Infinity
  /** How long the runner was not used before the newest exchange. */
  #idleMs = 0
  /** Start of each exchange, oldest first. */
  readonly starts = new Map<string, number>()

  constructor (node: RunnerNode) {
    this.node = node
  }

  get free (): number {
    return this.held - this.inUse
  }

  /** Gets new requests at all. */
  get open (): boolean {
    return this.present && !this.node.leaving
  }

  start (request: string, now: number): void {
    this.inUse++
    this.#idleMs = Math.max(0, now - this.lastSentAt)
    this.lastSentAt = now
    this.starts.set(request, now)
  }

  /** An aborted exchange shows only that the runner was at least this slow. */
  finish (request: string, result: ExchangeResult, aborted: boolean, typicalMs: number, now: number): void {
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
      if (this.latencyMs !== undefined && elapsed > this.latencyMs) this.#learn(elapsed, typicalMs)
    } else if (result === 'answered') {
      this.#learn(elapsed, typicalMs)
      this.#succeed()
    } else {
      this.#fail(now)
    }
  }

  /**
   * Expected time of an exchange in ms. Approaches the endpoint's mean while the runner is not used, so that it is
   * tried again; the age of the oldest exchange reveals a runner that hangs.
   */
  expectedMs (typicalMs: number, now: number): number {
    const oldest = this.starts.values().next().value
    const learned = typicalMs + ((this.latencyMs ?? typicalMs) - typicalMs) * this.#freshness(now)
    return Math.max(learned, oldest === undefined ? 0 : (now - oldest) / 3)
  }

  /** Expected share of failures; fades while the runner is not used. */
  expectedFailures (now: number): number {
    return this.failures * this.#freshness(now)
  }

  #freshness (now: number): number {
    return Math.exp(-Math.max(0, now - this.lastSentAt) / MEMORY_MS)
  }

  /**
   * Starts from the endpoint's mean: a single long request does not make a runner slow. Old figures count less, so that
   * a few probes show a recovery.
   */
  #learn (elapsed: number, typicalMs: number): void {
    const old = this.latencyMs ?? (typicalMs > 0 ? typicalMs : elapsed)
    const kept = this.latencyMs === undefined ? 1 : Math.exp(-this.#idleMs / FORGET_MS)
    const weight = 1 - (1 - LATENCY_WEIGHT) * kept
    this.latencyMs = average(old, elapsed, weight)
  }

  #fadedFailures (): number {
    return this.failures * Math.exp(-this.#idleMs / MEMORY_MS)
  }

  #succeed (): void {
    if (this.excludedUntil !== undefined) {
      this.excludedUntil = undefined
      this.#exclusionMs = FIRST_EXCLUSION_MS
      this.failures = 0
    }
    this.failures = average(this.#fadedFailures(), 0, FAILURE_WEIGHT)
  }

  #fail (now: number): void {
    this.failures = average(this.#fadedFailures(), 1, FAILURE_WEIGHT)
    if (this.failures < FAILURE_THRESHOLD) return
    // Failures of exchanges sent before the exclusion say nothing new.
    if (this.excludedUntil !== undefined && now < this.excludedUntil) return
    if (this.excludedUntil !== undefined) this.#exclusionMs = Math.min(LONGEST_EXCLUSION_MS, this.#exclusionMs * 2)
    this.excludedUntil = now + this.#exclusionMs
  }
}

function average (old: number, newest: number, weight: number): number {
  return old + weight * (newest - old)
}
