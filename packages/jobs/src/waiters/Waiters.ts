/** Callers that wait for the next event, each for a limited time. */
export class Waiters {
  readonly #waiting = new Set<() => void>()

  /** Resolves with the next event, or after `waitMs`. */
  next (waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer)
        this.#waiting.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, waitMs)
      this.#waiting.add(finish)
    })
  }

  wake (): void {
    for (const finish of [...this.#waiting]) finish()
  }
}
