/** Why an exchange was aborted from this side. */
export class AbortedExchange extends Error {
  readonly reason: 'timeout' | 'closed'

  constructor (reason: 'timeout' | 'closed', message: string) {
    super(message)
    this.reason = reason
  }
}

/** Aborts its signal after a time or when another signal aborts, and tells which of the two it was. */
export class Deadline {
  readonly #controller = new AbortController()
  readonly #timer: ReturnType<typeof setTimeout>
  readonly #outer: AbortSignal | undefined
  readonly #timeoutMs: number
  #expired = false

  /**
   * @param timeoutMs - Time until the deadline in ms.
   * @param outer - Aborts earlier. Default: none.
   */
  constructor (timeoutMs: number, outer?: AbortSignal) {
    this.#timeoutMs = timeoutMs
    this.#outer = outer
    this.#timer = setTimeout(() => {
      this.#expired = true
      this.#abort()
    }, timeoutMs)
    if (outer?.aborted === true) this.#abort()
    else outer?.addEventListener('abort', this.#abort)
  }

  get signal (): AbortSignal {
    return this.#controller.signal
  }

  get reason (): 'timeout' | 'closed' {
    return this.#expired ? 'timeout' : 'closed'
  }

  get text (): string {
    return this.#expired ? `not done within ${this.#timeoutMs} ms` : 'the caller gave up'
  }

  clear (): void {
    clearTimeout(this.#timer)
    this.#outer?.removeEventListener('abort', this.#abort)
  }

  readonly #abort = (): void => {
    this.clear()
    this.#controller.abort(new AbortedExchange(this.reason, this.text))
  }
}
