import type { TaskInstance } from '../model/index.ts'
import type { Cell } from './Cell.ts'

/** Interval of the checks, in ms. */
const CHECK_INTERVAL_MS = 1_000

/** Time without progress after which a task is logged, in ms: an order that is answered at once takes 10 ms. */
const STALLED_MS = 2_000

/** Most lines of one check: when many workers don't answer, all their orders wait. */
const MAX_LINES = 5

/** An order that was not answered at the last check. */
interface OpenOrder {
  run: number
  status: TaskInstance['status']
  /** Monotonic time of the check that saw the order first, in ms. */
  since: number
}

/** What is known of a worker's session beyond its state. */
export interface SessionState {
  hasSession: (worker: string) => boolean
  /** Whether task leases may be granted; without one no task can start. */
  mayRenewLeases: () => boolean
}

/** Logs tasks whose start or stop makes no progress, with what tells the causes apart, in a bounded number of lines. */
export class StalledOrderLog {
  readonly #cell: Cell
  readonly #session: SessionState
  #openOrders = new Map<TaskInstance, OpenOrder>()
  #checkedAt = -Infinity

  constructor (cell: Cell, session: SessionState) {
    this.#cell = cell
    this.#session = session
  }

  /** Checks all tasks if it is time. `now` is monotonic time in ms. */
  tick (now: number): void {
    if (now - this.#checkedAt < CHECK_INTERVAL_MS) return
    this.#checkedAt = now
    const openOrders = new Map<TaskInstance, OpenOrder>()
    let lines = 0
    for (const job of this.#cell.jobs.values()) {
      for (const task of job.tasks()) {
        const { status, run } = task
        if (status !== 'starting' && status !== 'stopping') continue
        const known = this.#openOrders.get(task)
        const order = known?.run === run && known.status === status ? known : { run, status, since: now }
        openOrders.set(task, order)
        if (now - order.since >= STALLED_MS && lines++ < MAX_LINES) this.#log(task, now - order.since)
      }
    }
    this.#openOrders = openOrders
  }

  #log (task: TaskInstance, forMs: number): void {
    const { step, index, status, run, worker: id = '' } = task
    const worker = this.#cell.workers.get(id)
    this.#cell.log.warn({
      job: step.job.id,
      task: `${step.name}.${index}`,
      run,
      worker: id,
      status,
      forMs: Math.round(forMs),
      isSent: task.orderSent,
      // Until then the worker has not confirmed the stop.
      isStopConfirmed: status === 'stopping' && task.startedAt < Infinity,
      hasSession: this.#session.hasSession(id),
      reachable: worker?.reachable,
      recordedAsLost: worker?.isRecordedAsLost,
      inherited: task.inherited,
      mayRenewLeases: this.#session.mayRenewLeases()
    }, 'order makes no progress')
  }
}
