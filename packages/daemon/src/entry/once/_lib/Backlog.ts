/** A store operation that is repeated until it reports success. Must not reject. */
export type Job = () => Promise<boolean>

/** Repeats failed store operations at a fixed interval. */
export class Backlog {
  readonly #jobs = new Set<Job>()
  readonly #intervalMs: number
  #timer: ReturnType<typeof setTimeout> | undefined
  #running: Promise<void> | undefined
  #closed = false

  constructor (intervalMs: number) {
    this.#intervalMs = intervalMs
  }

  get size (): number {
    return this.#jobs.size
  }

  add (job: Job): void {
    this.#jobs.add(job)
    this.#arm()
  }

  /** Runs all jobs once, now. */
  async flush (): Promise<void> {
    this.#running ??= this.#runAll().finally(() => { this.#running = undefined })
    await this.#running
  }

  close (): void {
    clearTimeout(this.#timer)
    this.#closed = true
    this.#jobs.clear()
  }

  async #runAll (): Promise<void> {
    for (const job of [...this.#jobs]) if (await job()) this.#jobs.delete(job)
  }

  #arm (): void {
    if (this.#closed || this.#timer !== undefined || this.#jobs.size === 0) return
    this.#timer = setTimeout(async () => {
      await this.flush()
      this.#timer = undefined
      this.#arm()
    }, this.#intervalMs)
  }
}
