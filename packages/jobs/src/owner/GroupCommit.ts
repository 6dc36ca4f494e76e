import { encodeProgress, type TrackedJob, type TaskInstance } from '../model/index.ts'
import { MAX_BYTES_PER_COMMIT, MAX_ROWS_PER_COMMIT, OWNER_RENEW_MS } from '../constants/index.ts'
import type { Ownership } from '../ownership/index.ts'
import { PROGRESS_TABLE } from '../records/index.ts'
import type { JobState } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import { Notifier } from '../notifier/Notifier.ts'
import type { Cell } from './Cell.ts'

/** Commits that take longer are logged, in ms; usual ones take 13 ms. */
const SLOW_COMMIT_MS = 200

/** Ended jobs whose rows are removed with one commit. */
const MAX_FORGOTTEN_PER_COMMIT = 10

/** Longest wait for ends to be stored before a worker is looked at again, in ms; its leases must go on. */
const STORED_WAIT_MS = 500

interface Batch {
  puts: Array<{ table: string, key: string, value: Uint8Array }>
  /** Jobs of the batch with the state that its rows hold. */
  states: Array<[TrackedJob, JobState]>
  orders: Array<{ task: TaskInstance, run: number }>
  /** Ends that are stored with this batch, by worker. */
  ends: Map<WorkerState, number>
}

export interface CommitHooks {
  /** The start of a task is stored, so its order may be sent. */
  order (task: TaskInstance): void
  /** Another node has taken the cell over. */
  lost (): void
}

/** Writes all progress that has changed with one commit after the other. */
export class GroupCommit {
  readonly #cell: Cell
  readonly #ownership: Ownership
  readonly #hooks: CommitHooks
  readonly #ended: AbortSignal
  /** Ended jobs whose rows are to be removed. */
  readonly #forgotten: string[] = []
  readonly #work = new Notifier()
  readonly #stored = new Notifier()
  /** The commit that is under way is the last one. */
  #closing = false

  constructor (cell: Cell, ownership: Ownership, hooks: CommitHooks, ended: AbortSignal) {
    this.#cell = cell
    this.#ownership = ownership
    this.#hooks = hooks
    this.#ended = ended
    ended.addEventListener('abort', () => {
      this.wake()
      this.#stored.notifyAll()
    })
  }

  /** Commits until the owner ends or `close` was called. */
  async run (): Promise<void> {
    while (!this.#isOver) {
      if (this.#cell.dirty.size === 0 && !this.#hasUnstoredEnds()) await this.#waitForWork()
      if (this.#isOver) return
      const batch = this.#takeBatch()
      const removable = Math.min(MAX_FORGOTTEN_PER_COMMIT, MAX_ROWS_PER_COMMIT - batch.puts.length)
      const removes = this.#forgotten.splice(0, removable).map((key) => ({ table: PROGRESS_TABLE, key }))
      const sentAt = performance.now()
      const isOwner = await this.#ownership.commit(batch.puts, removes)
      const tookMs = Math.round(performance.now() - sentAt)
      if (tookMs > SLOW_COMMIT_MS) {
        this.#cell.log.warn({ tookMs, rows: batch.puts.length, isOwner }, 'the store is slow')
      }
      if (!isOwner) {
        this.#hooks.lost()
        return
      }
      this.#cell.counters.recordDuration('commit_time', tookMs)
      if (!this.#ended.aborted) this.#applyStored(batch)
    }
  }

  /** There may be something to store. */
  wake (): void {
    this.#work.notifyAll()
  }

  /** Ends `run` with the commit that is under way: commits form a chain. */
  close (): void {
    this.#closing = true
    this.wake()
  }

  /** Rows for a last commit, which the caller makes. */
  takeLastRows (): Batch['puts'] {
    return this.#takeBatch().puts
  }

  /** Removes the rows of an ended job with a later commit. */
  forget (id: string): void {
    this.#forgotten.push(id)
  }

  /** Resolves when the ends received so far are stored, or after a short wait. */
  stored (): Promise<void> {
    return this.#stored.wait(STORED_WAIT_MS)
  }

  get #isOver (): boolean {
    return this.#closing || this.#ended.aborted
  }

  #hasUnstoredEnds (): boolean {
    for (const worker of this.#cell.workers.values()) {
      if (worker.storedEndSequence < worker.processedEndSequence) return true
    }
    return false
  }

  /** Waits until there is something to store, or the ownership has to be renewed. */
  async #waitForWork (): Promise<void> {
    await this.#work.wait(OWNER_RENEW_MS)
    // Lets the events of this turn of the loop join the commit.
    await new Promise((resolve) => setImmediate(resolve))
  }

  #takeBatch (): Batch {
    const cell = this.#cell
    const batch: Batch = { puts: [], states: [], orders: [], ends: new Map() }
    let bytes = 0
    for (const job of this.#orderDirty()) {
      if (batch.puts.length >= MAX_ROWS_PER_COMMIT || bytes > MAX_BYTES_PER_COMMIT) break
      cell.dirty.delete(job)
      const value = encodeProgress(job)
      bytes += value.length
      batch.puts.push({ table: PROGRESS_TABLE, key: job.id, value })
      batch.states.push([job, job.state])
      for (const task of job.tasks()) {
        if (task.status === 'starting' && !task.orderSent) batch.orders.push({ task, run: task.run })
      }
    }
    // Ends of a job that is still to be written must be listed again if this owner is lost.
    if (cell.dirty.size === 0) {
      for (const worker of cell.workers.values()) {
        if (worker.storedEndSequence < worker.processedEndSequence) batch.ends.set(worker, worker.processedEndSequence)
      }
    }
    return batch
  }

  /** While a slow store lets more jobs wait than one commit takes, those of urgent queues go first. */
  #orderDirty (): Iterable<TrackedJob> {
    const { dirty } = this.#cell
    if (dirty.size <= MAX_ROWS_PER_COMMIT) return dirty
    return [...dirty].sort((a, b) => a.job.queue.priority - b.job.queue.priority)
  }

  #applyStored (batch: Batch): void {
    for (const [job, state] of batch.states) job.storedState = state
    for (const [worker, sequence] of batch.ends) worker.storedEndSequence = Math.max(worker.storedEndSequence, sequence)
    for (const { task, run } of batch.orders) {
      if (task.status === 'starting' && task.run === run && !task.orderSent) this.#hooks.order(task)
    }
    if (batch.ends.size > 0) this.#stored.notifyAll()
  }
}
