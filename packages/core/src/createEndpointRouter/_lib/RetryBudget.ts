import { BUDGET_LIMIT, BUDGET_PER_REQUEST, BUDGET_PER_SECOND } from '../constants/index.ts'

/** Retries and hedges that an endpoint may make; bounds the load they add when everything fails. */
export class RetryBudget {
  #credit = BUDGET_LIMIT / 2
  #last: number | undefined

  recordFirstAttempt (): void {
    this.#credit = Math.min(BUDGET_LIMIT, this.#credit + BUDGET_PER_REQUEST)
  }

  spend (now: number): boolean {
    this.#credit = Math.min(BUDGET_LIMIT, this.#credit + (now - (this.#last ?? now)) / 1000 * BUDGET_PER_SECOND)
    this.#last = now
    if (this.#credit < 1) return false
    this.#credit--
    return true
  }
}
