import { Percentiles } from '../../_lib/Percentiles.ts'
import { CAPACITY_PER_MS, HOP_MS, type TraceRequest } from './trace.ts'

/**
 * Figures of one system. Waiting is the time to the answer beyond the request's own service on a healthy runner and the
 * two hops. A request that misses its deadline counts as waiting until then; a refused one does not count.
 */
export class Tally {
  #sends = 0
  #answers = 0
  #answersInTime = 0
  #errors = 0
  #refusals = 0
  #missed = 0
  readonly #waits = new Percentiles()
  readonly #from: number
  readonly #until: number

  /** Counts requests that arrive from `from` on, and answers in time until `until`, in ms. */
  constructor (from: number, until: number) {
    this.#from = from
    this.#until = until
  }

  recordSend (request: TraceRequest): void {
    if (this.#counts(request)) this.#sends++
  }

  recordAnswer (request: TraceRequest, now: number): void {
    if (now > request.deadline) return this.recordMiss(request)
    if (now >= this.#from && now < this.#until) this.#answersInTime++
    if (!this.#counts(request)) return
    this.#answers++
    this.#waits.record(now - request.at - request.serviceMs - 2 * HOP_MS)
  }

  /** A runner's error was passed on, or no retry was left. */
  recordError (request: TraceRequest): void {
    if (this.#counts(request)) this.#errors++
  }

  recordRefusal (request: TraceRequest): void {
    if (this.#counts(request)) this.#refusals++
  }

  recordMiss (request: TraceRequest): void {
    if (!this.#counts(request)) return
    this.#missed++
    this.#waits.record(request.deadline - request.at)
  }

  figures () {
    const accepted = this.#answers + this.#missed + this.#errors
    return {
      waitP50Ms: this.#waits.get(50),
      waitP99Ms: this.#waits.get(99),
      waitP999Ms: this.#waits.get(99.9),
      goodput: round(this.#answersInTime / (this.#until - this.#from) / CAPACITY_PER_MS),
      sentPerAnswer: round(this.#sends / this.#answers),
      refusals: this.#refusals,
      errors: this.#errors,
      deadlineMissShare: round(this.#missed / accepted)
    }
  }

  #counts (request: TraceRequest): boolean {
    return request.at >= this.#from && request.at < this.#until
  }
}

function round (value: number): number {
  return Math.round(value * 10_000) / 10_000
}
