/** Lets callers wait for the next event, each with a timeout. */
export class Notifier {
  readonly #waiting = new Set<() => void>()

  /** Resolves on the next event, or after `waitMs`. */
  wait (waitMs: number): Promise<void> {
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

  notifyAll (): void {
    for (const finish of [...this.#waiting]) finish()
  }
}
