/** A store operation that is retried until it resolves with true. Must not reject. */
export type RetryableOperation = () => Promise<boolean>

/** Retries failed store operations at a fixed interval. */
export class RetryQueue {
  readonly #operations = new Set<RetryableOperation>()
  readonly #intervalMs: number
  #timer: ReturnType<typeof setTimeout> | undefined
  #running: Promise<void> | undefined
  #closed = false

  constructor (intervalMs: number) {
    this.#intervalMs = intervalMs
  }

  get size (): number {
    return this.#operations.size
  }

  add (operation: RetryableOperation): void {
    this.#operations.add(operation)
    this.#schedule()
  }

  /** Runs all operations once, without waiting for the interval. */
  async flush (): Promise<void> {
    this.#running ??= this.#runAll().finally(() => { this.#running = undefined })
    await this.#running
  }

  close (): void {
    clearTimeout(this.#timer)
    this.#closed = true
    this.#operations.clear()
  }

  async #runAll (): Promise<void> {
    for (const operation of [...this.#operations]) if (await operation()) this.#operations.delete(operation)
  }

  #schedule (): void {
    if (this.#closed || this.#timer !== undefined || this.#operations.size === 0) return
    this.#timer = setTimeout(async () => {
      await this.flush()
      this.#timer = undefined
      this.#schedule()
    }, this.#intervalMs)
  }
}
