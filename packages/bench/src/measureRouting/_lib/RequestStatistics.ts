import { Percentiles } from '../../_lib/Percentiles.ts'
import { CAPACITY_PER_MS, HOP_LATENCY_MS, type TraceRequest } from './trace.ts'

/**
 * Statistics of the requests of one routing simulation. The wait time of a request is the time to its answer minus its
 * service time on a healthy runner and two network hops. A request that misses its deadline counts with a wait time up
 * to the deadline; a refused one has no wait time.
 */
export class RequestStatistics {
  #sends = 0
  #answers = 0
  #answersInTime = 0
  #errors = 0
  #refusals = 0
  #deadlineMisses = 0
  readonly #waitTimes = new Percentiles()
  readonly #measuredFrom: number
  readonly #measuredUntil: number

  /** Covers requests that arrive, and for goodput answers that are sent in time, within an interval in ms. */
  constructor (measuredFrom: number, measuredUntil: number) {
    this.#measuredFrom = measuredFrom
    this.#measuredUntil = measuredUntil
  }

  recordSend (request: TraceRequest): void {
    if (this.#isMeasured(request)) this.#sends++
  }

  recordAnswer (request: TraceRequest, now: number): void {
    if (now > request.deadline) return this.recordMiss(request)
    if (now >= this.#measuredFrom && now < this.#measuredUntil) this.#answersInTime++
    if (!this.#isMeasured(request)) return
    this.#answers++
    this.#waitTimes.record(now - request.at - request.serviceMs - 2 * HOP_LATENCY_MS)
  }

  /** Records a request whose caller received a runner's error or an unknown outcome. */
  recordError (request: TraceRequest): void {
    if (this.#isMeasured(request)) this.#errors++
  }

  recordRefusal (request: TraceRequest): void {
    if (this.#isMeasured(request)) this.#refusals++
  }

  recordMiss (request: TraceRequest): void {
    if (!this.#isMeasured(request)) return
    this.#deadlineMisses++
    this.#waitTimes.record(request.deadline - request.at)
  }

  summarize () {
    const accepted = this.#answers + this.#deadlineMisses + this.#errors
    return {
      waitP50Ms: this.#waitTimes.get(50),
      waitP99Ms: this.#waitTimes.get(99),
      waitP999Ms: this.#waitTimes.get(99.9),
      goodput: round(this.#answersInTime / (this.#measuredUntil - this.#measuredFrom) / CAPACITY_PER_MS),
      sentPerAnswer: round(this.#sends / this.#answers),
      refusals: this.#refusals,
      errors: this.#errors,
      deadlineMissShare: round(this.#deadlineMisses / accepted)
    }
  }

  #isMeasured (request: TraceRequest): boolean {
    return request.at >= this.#measuredFrom && request.at < this.#measuredUntil
  }
}

function round (value: number): number {
  return Math.round(value * 10_000) / 10_000
}
