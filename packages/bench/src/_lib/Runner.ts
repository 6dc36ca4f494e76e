import type { EventQueue } from './EventQueue.ts'

interface Job {
  serviceMs: number
  done: (result: 'answered' | 'server-error' | 'refused') => void
  dropped: boolean
}

interface RunnerOptions {
  slots: number
  connections: number
  slowdown?: number
  /** Answers every request with an error after this time instead of serving it. */
  failsAfterMs?: number
}

/** A runner as a queue with parallel servers; further requests wait in it, up to its connections. */
export class Runner {
  /** Requests at the runner now, and at most so far. */
  present = 0
  maxPresent = 0
  #serving = 0
  readonly #waiting: Job[] = []
  readonly #events: EventQueue
  readonly #options: RunnerOptions

  constructor (events: EventQueue, options: RunnerOptions) {
    this.#events = events
    this.#options = options
  }

  get fails (): boolean {
    return this.#options.failsAfterMs !== undefined
  }

  /** Returns a function that gives the request up; work that has begun is finished all the same. */
  offer (serviceMs: number, done: Job['done']): () => void {
    const job = { serviceMs, done, dropped: false }
    if (this.present >= this.#options.connections) {
      done('refused')
      return () => {}
    }
    this.maxPresent = Math.max(this.maxPresent, ++this.present)
    if (this.#serving < this.#options.slots) this.#serve(job)
    else this.#waiting.push(job)
    return () => { job.dropped = true }
  }

  #serve (job: Job): void {
    this.#serving++
    const { failsAfterMs, slowdown = 1 } = this.#options
    this.#events.add(this.#events.now + (failsAfterMs ?? job.serviceMs * slowdown), () => {
      this.#serving--
      this.#leave(job, failsAfterMs === undefined ? 'answered' : 'server-error')
      this.#serveNext()
    })
  }

  #serveNext (): void {
    for (let next = this.#waiting.shift(); next !== undefined; next = this.#waiting.shift()) {
      if (!next.dropped) return this.#serve(next)
      this.#leave(next, 'refused')
    }
  }

  #leave (job: Job, result: 'answered' | 'server-error' | 'refused'): void {
    this.present--
    job.done(result)
  }
}
