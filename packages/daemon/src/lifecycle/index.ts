import avvio from 'avvio'

/** A component of a process, with optional hooks to start and stop it. */
export interface Component {
  name: string
  start? (): Promise<void> | void
  /** Called in reverse order of start. */
  stop? (): Promise<void> | void
}

/** Starts the components of a process in order and stops them in reverse order. */
export class Lifecycle {
  readonly #application = avvio({}, { autostart: false, timeout: 0 })

  add (component: Component): void {
    this.#application.use(async () => {
      await component.start?.()
      this.#application.onClose(async () => { await component.stop?.() })
    })
  }

  /** Starts all components; rejects with the first error. */
  async start (): Promise<void> {
    this.#application.start()
    await this.#application.ready()
  }

  /** Stops all components that were started. */
  async stop (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#application.close((error: unknown) => { if (error) reject(error); else resolve() })
    })
  }
}
