/** Runs actions in the order in which they were added, only a few in each turn of the event loop. */
export class Turns {
  readonly #actionsPerTurn: number
  #waiting: Array<() => void> = []
  #isScheduled = false

  constructor (actionsPerTurn: number) {
    this.#actionsPerTurn = actionsPerTurn
  }

  add (action: () => void): void {
    this.#waiting.push(action)
    this.#schedule()
  }

  #schedule (): void {
    if (this.#isScheduled || this.#waiting.length === 0) return
    this.#isScheduled = true
    setImmediate(() => {
      this.#isScheduled = false
      const actions = this.#waiting.slice(0, this.#actionsPerTurn)
      this.#waiting = this.#waiting.slice(this.#actionsPerTurn)
      this.#schedule()
      for (const action of actions) action()
    })
  }
}
