import type { TaskInstance } from '../model/index.ts'
import type { Cell } from './Cell.ts'

/** Least time between two lines about one account, in ms. */
const ACCOUNT_INTERVAL_MS = 2_000

/** Logs and counts the steps that wait because their client account has its cap in use. */
export class CapLog {
  readonly #cell: Cell
  /** Monotonic time of the last line about each account, in ms. */
  readonly #loggedAt = new Map<string, number>()

  constructor (cell: Cell) {
    this.#cell = cell
  }

  /** Records that a step can't start in this round. */
  record ({ step, waitingSince }: TaskInstance, now: number): void {
    const account = step.job.definition.account ?? ''
    if (now - (this.#loggedAt.get(account) ?? -Infinity) < ACCOUNT_INTERVAL_MS) return
    this.#loggedAt.set(account, now)
    this.#cell.metrics.count('account_cap_waits')
    this.#cell.log.info({
      job: step.job.id,
      step: step.name,
      account,
      waitedMs: Math.round(now - Math.max(waitingSince, step.readyAt ?? 0)),
      used: { ...this.#cell.accounts.of(account) },
      cap: this.#cell.accounts.capOf(account)
    }, 'step waits for the cap of its client account')
  }
}
