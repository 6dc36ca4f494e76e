import { readInstant, type Instant } from '../instant/index.ts'

/** Interval at which the event loop is seen to run, in ms. */
const TURN_INTERVAL_MS = 50

/** Time without a turn from which the process counts as having stood still, in ms. */
const STALL_MS = 100

/** Estimates when messages have arrived that were read after the process stood still, for instance by a signal. */
export class ArrivalEstimator {
  #turn: Instant | undefined
  /** Last turn before the process stood still; undefined if the last interval was not longer than usual. */
  #stalledSince: Instant | undefined
  #timer: ReturnType<typeof setInterval> | undefined

  start (): void {
    this.#timer = setInterval(() => {
      this.#stalledSince = this.#turnBeforeStall
      this.#turn = readInstant()
    }, TURN_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
    this.#turn = this.#stalledSince = undefined
  }

  /** The earliest time at which a message that is read now may have arrived. */
  get earliest (): Instant {
    // Timers may fire before the messages are read that have waited.
    return this.#turnBeforeStall ?? this.#stalledSince ?? readInstant()
  }

  get #turnBeforeStall (): Instant | undefined {
    const stood = this.#turn !== undefined && performance.now() - this.#turn.monotonicMs > STALL_MS
    return stood ? this.#turn : undefined
  }
}
