/** Weight of a new call; the average follows about the last hundred calls. */
const CALL_WEIGHT = 0.01

/** Share of lost answers above which the network or the workers count as lossy. One lost answer alone stays below. */
const LOSSY_ABOVE = 0.015

/** Moving average of the share of calls to workers whose answer was lost, over all workers of a cell. */
export class AnswerLoss {
  #share = 0

  record (isLost: boolean): void {
    this.#share += CALL_WEIGHT * ((isLost ? 1 : 0) - this.#share)
  }

  /** Whether so many answers are lost that calls should not wait long for one. */
  get isHigh (): boolean {
    return this.#share > LOSSY_ABOVE
  }
}
