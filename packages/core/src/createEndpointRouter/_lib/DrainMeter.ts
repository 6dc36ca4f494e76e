import type { RequestClass } from '../../types.ts'
import {
  CLASSES, DRAIN_MIN_LATENCIES, DRAIN_MIN_MS, DRAIN_WINDOW_MS, MIN_DRAIN_RATE, MIN_CLASS_SHARES
} from '../constants/index.ts'

/** Measures how fast tokens become free while requests wait. Ignores idle time, which says nothing about capacity. */
export class DrainMeter {
  #saturatedMs = 0
  #tokenMs = 0
  readonly #sends: Record<RequestClass, number> = { interactive: 0, normal: 0, bulk: 0 }
  #updatedAt = 0

  /** Records the state since the last call. Has to be called before each change of the queue or the tokens. */
  advance (now: number, saturated: boolean, tokens: number): void {
    const elapsed = Math.max(0, now - this.#updatedAt)
    this.#updatedAt = now
    if (!saturated || elapsed === 0) return
    const decay = Math.exp(-elapsed / DRAIN_WINDOW_MS)
    for (const each of CLASSES) this.#sends[each] *= decay
    this.#saturatedMs = this.#saturatedMs * decay + elapsed
    this.#tokenMs = this.#tokenMs * decay + elapsed * tokens
  }

  /** Records the sending of a request that had to wait for a token. */
  recordSend (requestClass: RequestClass): void {
    this.#sends[requestClass]++
  }

  /** Expected requests per ms with the given number of tokens; undefined while too little was measured. */
  rate (tokens: number, medianMs: number): number | undefined {
    const needed = Math.min(Math.max(DRAIN_MIN_MS, DRAIN_MIN_LATENCIES * medianMs), DRAIN_WINDOW_MS / 2)
    if (this.#saturatedMs < needed || this.#tokenMs === 0) return undefined
    const sends = CLASSES.reduce((sum, each) => sum + this.#sends[each], 0)
    return Math.max(MIN_DRAIN_RATE, sends / this.#tokenMs * tokens)
  }

  /** Share of the drain rate that the more preferred classes leave to a class. */
  remainingShare (requestClass: RequestClass): number {
    const total = CLASSES.reduce((sum, each) => sum + this.#sends[each], 0)
    if (total === 0) return 1
    const preferred = CLASSES.slice(0, CLASSES.indexOf(requestClass)).reduce((sum, each) => sum + this.#sends[each], 0)
    return Math.max(1 - preferred / total, MIN_CLASS_SHARES[requestClass])
  }
}
