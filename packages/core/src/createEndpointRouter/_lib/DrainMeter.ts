import type { RequestClass } from '../../types.ts'
import {
  CLASSES, DRAIN_LEAST_LATENCIES, DRAIN_LEAST_MS, DRAIN_WINDOW_MS, LEAST_RATE, LEAST_SHARES
} from '../constants/index.ts'

/** Measures how fast tokens become free while requests wait. Idle time says nothing about capacity and is left out. */
export class DrainMeter {
  #saturatedMs = 0
  #tokenMs = 0
  readonly #sends: Record<RequestClass, number> = { interactive: 0, normal: 0, bulk: 0 }
  #last = 0

  /** Called before each change, with the state since the last call. */
  advance (now: number, saturated: boolean, tokens: number): void {
    const elapsed = Math.max(0, now - this.#last)
    this.#last = now
    if (!saturated || elapsed === 0) return
    const keep = Math.exp(-elapsed / DRAIN_WINDOW_MS)
    for (const each of CLASSES) this.#sends[each] *= keep
    this.#saturatedMs = this.#saturatedMs * keep + elapsed
    this.#tokenMs = this.#tokenMs * keep + elapsed * tokens
  }

  /** A request was sent that had to wait for a token. */
  recordSend (requestClass: RequestClass): void {
    this.#sends[requestClass]++
  }

  /** Requests per ms with this many tokens; undefined while too little was measured. */
  rate (tokens: number, typicalMs: number): number | undefined {
    const needed = Math.min(Math.max(DRAIN_LEAST_MS, DRAIN_LEAST_LATENCIES * typicalMs), DRAIN_WINDOW_MS / 2)
    if (this.#saturatedMs < needed || this.#tokenMs === 0) return undefined
    const sends = CLASSES.reduce((sum, each) => sum + this.#sends[each], 0)
    return Math.max(LEAST_RATE, sends / this.#tokenMs * tokens)
  }

  /** Part of the rate left for a class by the more preferred ones. */
  shareLeft (requestClass: RequestClass): number {
    const total = CLASSES.reduce((sum, each) => sum + this.#sends[each], 0)
    if (total === 0) return 1
    const preferred = CLASSES.slice(0, CLASSES.indexOf(requestClass)).reduce((sum, each) => sum + this.#sends[each], 0)
    return Math.max(1 - preferred / total, LEAST_SHARES[requestClass])
  }
}
