/** Abort reason of a request that reached its deadline or was cancelled by the caller. */
export class RequestAbortedError extends Error {
  readonly reason: 'timeout' | 'closed'

  constructor (reason: 'timeout' | 'closed', message: string) {
    super(message)
    this.reason = reason
  }
}

/** Aborts after a timeout or when a parent signal aborts, and records which of the two happened. */
export class Deadline {
  /** Called when the deadline aborts. */
  onAbort: ((error: RequestAbortedError) => void) | undefined
  /** Created when its signal is first used. */
  #controller: AbortController | undefined
  #isAborted = false
  #timer: ReturnType<typeof setTimeout> | undefined
  /** Set between the end of the timeout and the abort. */
  #immediate: ReturnType<typeof setImmediate> | undefined
  readonly #parentSignal: AbortSignal | undefined
  #timeoutMs = 0
  #expired = false

  /**
   * @param timeoutMs - Time until the deadline, in ms.
   * @param parentSignal - Also aborts the signal. Default: none.
   */
  constructor (timeoutMs: number, parentSignal?: AbortSignal) {
    this.#parentSignal = parentSignal
    this.restart(timeoutMs)
    if (parentSignal?.aborted === true) this.#abort()
    else parentSignal?.addEventListener('abort', this.#abort)
  }

  get isAborted (): boolean {
    return this.#isAborted
  }

  get signal (): AbortSignal {
    this.#controller ??= new AbortController()
    if (this.#isAborted && !this.#controller.signal.aborted) this.#controller.abort(this.#createError())
    return this.#controller.signal
  }

  /** `timeout` once the deadline has passed, else `closed`. */
  get reason (): 'timeout' | 'closed' {
    return this.#expired ? 'timeout' : 'closed'
  }

  get message (): string {
    return this.#expired ? `timed out after ${this.#timeoutMs} ms` : 'aborted by the caller'
  }

  /** Moves the deadline to `timeoutMs` from now. Does nothing once it has aborted. */
  restart (timeoutMs: number): void {
    this.#clearTimers()
    if (this.#isAborted) return
    this.#timeoutMs = timeoutMs
    this.#timer = setTimeout(() => {
      // After a pause of the process, timers run before input that has already arrived; immediates run after it.
      this.#immediate = setImmediate(() => {
        this.#expired = true
        this.#abort()
      })
    }, timeoutMs)
  }

  /** Stops the timer and detaches from the parent signal. */
  clear (): void {
    this.#clearTimers()
    this.#parentSignal?.removeEventListener('abort', this.#abort)
  }

  #clearTimers (): void {
    clearTimeout(this.#timer)
    clearImmediate(this.#immediate)
  }

  readonly #abort = (): void => {
    this.clear()
    this.#isAborted = true
    const error = this.#createError()
    this.#controller?.abort(error)
    this.onAbort?.(error)
  }

  #createError (): RequestAbortedError {
    return new RequestAbortedError(this.reason, this.message)
  }
}
