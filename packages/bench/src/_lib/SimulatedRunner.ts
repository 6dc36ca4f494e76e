import type { EventQueue } from './EventQueue.ts'

type ServiceResult = 'answered' | 'server-error' | 'refused'

interface QueuedRequest {
  serviceMs: number
  onFinished: (result: ServiceResult) => void
  isCancelled: boolean
}

interface RunnerOptions {
  /** Requests served in parallel. */
  slots: number
  /** Most requests at a time, served or waiting; further ones are refused. */
  connections: number
  /** Factor by which service takes longer than the request's service time. Default: 1. */
  slowdown?: number
  /** When set, every request ends in a server error after this time instead of being served. */
  failsAfterMs?: number
}

/** Model of a runner: a first-come, first-served queue with one server per slot and a limit on connections. */
export class SimulatedRunner {
  /** Requests that are served or waiting. */
  requestCount = 0
  /** Highest `requestCount` so far. */
  maxRequestCount = 0
  #busySlots = 0
  readonly #waiting: QueuedRequest[] = []
  readonly #events: EventQueue
  readonly #options: RunnerOptions

  constructor (events: EventQueue, options: RunnerOptions) {
    this.#events = events
    this.#options = options
  }

  get alwaysFails (): boolean {
    return this.#options.failsAfterMs !== undefined
  }

  /**
   * Serves a request or queues it until a slot is free.
   *
   * @param serviceMs - Service time of the request on a healthy runner.
   * @param onFinished - Called with the result, at once when the runner refuses the request.
   * @returns A function that cancels the request while it waits; a request in service runs to its end.
   */
  submit (serviceMs: number, onFinished: QueuedRequest['onFinished']): () => void {
    const request = { serviceMs, onFinished, isCancelled: false }
    if (this.requestCount >= this.#options.connections) {
      onFinished('refused')
      return () => {}
    }
    this.maxRequestCount = Math.max(this.maxRequestCount, ++this.requestCount)
    if (this.#busySlots < this.#options.slots) this.#startService(request)
    else this.#waiting.push(request)
    return () => { request.isCancelled = true }
  }

  #startService (request: QueuedRequest): void {
    this.#busySlots++
    const { failsAfterMs, slowdown = 1 } = this.#options
    this.#events.add(this.#events.now + (failsAfterMs ?? request.serviceMs * slowdown), () => {
      this.#busySlots--
      this.#finish(request, failsAfterMs === undefined ? 'answered' : 'server-error')
      this.#startNext()
    })
  }

  #startNext (): void {
    for (let next = this.#waiting.shift(); next !== undefined; next = this.#waiting.shift()) {
      if (!next.isCancelled) return this.#startService(next)
      this.#finish(next, 'refused')
    }
  }

  #finish (request: QueuedRequest, result: ServiceResult): void {
    this.requestCount--
    request.onFinished(result)
  }
}
