import type { ExchangeResult, RunnerNode } from '../../types.ts'
import {
  FAILURE_THRESHOLD, FAILURE_WEIGHT, FIRST_EXCLUSION_MS, LATENCY_WEIGHT,
  LONGEST_EXCLUSION_MS
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

  /** Expected time of an exchange in ms; the age of the oldest one reveals a runner that hangs. */
  expectedMs (typicalMs: number, now: number): number {
    const oldest = this.starts.values().next().value
    return Math.max(this.latencyMs ?? typicalMs, oldest === undefined ? 0 : (now - oldest) / 3)
  }

  /** Starts from the endpoint's mean: a single long request does not make a runner slow. */
  #learn (elapsed: number, typicalMs: number): void {
    this.latencyMs = average(this.latencyMs ?? (typicalMs > 0 ? typicalMs : elapsed), elapsed, LATENCY_WEIGHT)
  }

  #succeed (): void {
    if (this.excludedUntil !== undefined) {
      this.excludedUntil = undefined
      this.#exclusionMs = FIRST_EXCLUSION_MS
      this.failures = 0
    }
    this.failures = average(this.failures, 0, FAILURE_WEIGHT)
  }

  #fail (now: number): void {
    this.failures = average(this.failures, 1, FAILURE_WEIGHT)
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
