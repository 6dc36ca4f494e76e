import avvio from 'avvio'

/** A part of a process with a start and a clean-up. */
export interface Part {
  name: string
  start? (): Promise<void> | void
  /** Called in reverse order of start. */
  stop? (): Promise<void> | void
}

/** Starts the parts of a process in order and stops them in reverse order. */
export class Lifecycle {
  readonly #application = avvio({}, { autostart: false, timeout: 0 })

  add (part: Part): void {
    this.#application.use(async () => {
      await part.start?.()
      this.#application.onClose(async () => { await part.stop?.() })
    })
  }

  /** Starts all parts; rejects with the first error. */
  async start (): Promise<void> {
    this.#application.start()
    await this.#application.ready()
  }

  /** Stops all parts that were started. */
  async stop (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#application.close((error: unknown) => { if (error) reject(error); else resolve() })
    })
  }
}
