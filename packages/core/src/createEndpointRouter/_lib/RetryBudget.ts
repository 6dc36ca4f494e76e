import { RETRY_BUDGET_LIMIT, RETRIES_PER_REQUEST, RETRIES_PER_SECOND } from '../constants/index.ts'

/** Token bucket for the retries and hedges of an endpoint; limits the load they add when every request fails. */
export class RetryBudget {
  #credit = RETRY_BUDGET_LIMIT / 2
  #updatedAt: number | undefined

  recordFirstAttempt (): void {
    this.#credit = Math.min(RETRY_BUDGET_LIMIT, this.#credit + RETRIES_PER_REQUEST)
  }

  /** Takes one retry or hedge from the budget; false if none is left. */
  trySpend (now: number): boolean {
    const seconds = (now - (this.#updatedAt ?? now)) / 1000
    this.#credit = Math.min(RETRY_BUDGET_LIMIT, this.#credit + seconds * RETRIES_PER_SECOND)
    this.#updatedAt = now
    if (this.#credit < 1) return false
    this.#credit--
    return true
  }
}
