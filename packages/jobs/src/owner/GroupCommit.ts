import { encodeProgress, type TrackedJob, type TaskInstance } from '../model/index.ts'
import {
  MAX_BYTES_PER_COMMIT, MAX_COMMIT_TRANSFER_MS, MAX_ROWS_PER_COMMIT, OWNER_RENEW_MS
} from '../constants/index.ts'
import type { Ownership } from '../ownership/index.ts'
import { PROGRESS_TABLE } from '../records/index.ts'
import type { JobState } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import { Notifier } from '../notifier/Notifier.ts'
import type { BreakerRecord } from './BreakerRecord.ts'
import type { Cell } from './Cell.ts'
import type { CellMembers } from './CellMembers.ts'
import type { CrashRecord } from './CrashRecord.ts'
import type { DrainRecord } from './DrainRecord.ts'
import type { IncarnationRecord } from './IncarnationRecord.ts'
import { REMOVAL_ROWS, toRowAddress, type LostWorkerRecords } from './LostWorkerRecords.ts'
import type { RunTimesRecord } from './RunTimesRecord.ts'
import type { TakeoverRecord } from './TakeoverRecord.ts'

/** Commits that take longer are logged, in ms; a commit usually takes 13 ms. */
const SLOW_COMMIT_MS = 200

/** Most progress records of ended jobs that one commit removes. */
const MAX_REMOVALS_PER_COMMIT = 10

/** Longest wait for ended runs to be stored before a worker is polled again, in ms; polls renew its task leases. */
const STORED_WAIT_MS = 500

/** Bytes that a link transfers in 1 ms, for each Mbit/s. */
const BYTES_PER_MS_AND_MBPS = 125

/** Bytes on the wire for each byte of a row, which is sent in base64. */
const BASE64_EXPANSION = 4 / 3

interface Options {
  /** Bandwidth of this node's network link, in Mbit/s; limits the size of a commit. */
  linkMbps: number
  /** Largest value of a row that the store accepts, in bytes. */
  maxRowBytes: number
}

interface Batch {
  puts: Array<{ table: string, key: string, value: Uint8Array }>
  /** Jobs of the batch with the state that is written for them. */
  states: Array<[TrackedJob, JobState]>
  /** Runs whose start orders may be sent once the batch is stored. */
  starts: Array<{ task: TaskInstance, run: number }>
  /** Sequence number of the last ended run that this batch stores, by worker. */
  endSequences: Map<WorkerState, number>
  /** Ids of the workers whose records as lost are removed. */
  foundWorkers: string[]
}

/** What the owner stores beside the progress of jobs. */
export interface ControlRecords {
  lostWorkers: LostWorkerRecords
  members: CellMembers
  drains: DrainRecord
  takeovers: TakeoverRecord
  breakers: BreakerRecord
  crashes: CrashRecord
  incarnations: IncarnationRecord
  runTimes: RunTimesRecord
}

export interface CommitHooks {
  /** Called when a task assignment is stored, so that its start order may be sent. */
  onStartStored (task: TaskInstance): void
  /** Called for a job whose row the store would refuse; it has to end the job. */
  onRowTooLarge (job: TrackedJob): void
  /** Called when another node has taken over the cell. */
  onOwnershipLost (): void
}

/** Stores the progress of all changed jobs in batches, one commit at a time. */
export class GroupCommit {
  readonly #cell: Cell
  readonly #control: ControlRecords
  readonly #ownership: Ownership
  readonly #hooks: CommitHooks
  readonly #signal: AbortSignal
  readonly #maxBytes: number
  readonly #maxRowBytes: number
  /** Ids of ended jobs whose progress records are to be removed. */
  readonly #pendingRemovals: string[] = []
  readonly #workWaiters = new Notifier()
  readonly #storedWaiters = new Notifier()
  /** Set by `close`: no commit follows the one in flight. */
  #closing = false
  /** The next commit is made at once, also if nothing has changed. */
  #isDue = true

  constructor (
    cell: Cell, control: ControlRecords, ownership: Ownership, hooks: CommitHooks, options: Options, signal: AbortSignal
  ) {
    this.#cell = cell
    this.#control = control
    this.#ownership = ownership
    this.#hooks = hooks
    this.#signal = signal
    this.#maxRowBytes = options.maxRowBytes
    const transferableBytes = options.linkMbps * BYTES_PER_MS_AND_MBPS * MAX_COMMIT_TRANSFER_MS / BASE64_EXPANSION
    this.#maxBytes = Math.min(MAX_BYTES_PER_COMMIT, transferableBytes)
    signal.addEventListener('abort', () => {
      this.wake()
      this.#storedWaiters.notifyAll()
    })
  }

  /** Commits until the owner ends or `close` is called. */
  async run (): Promise<void> {
    // The first commit is made at once: others may already watch the record that a transfer has left.
    while (!this.#isOver) {
      if (!this.#isDue && this.#cell.dirty.size === 0 && !this.#hasUnstoredEnds()) await this.#waitForWork()
      if (this.#isOver) return
      this.#isDue = false
      const takenAt = performance.now()
      const batch = this.#takeBatch()
      this.#cell.metrics.recordDuration('commit_encode_time', performance.now() - takenAt)
      const found = batch.foundWorkers.map(toRowAddress)
      const removable = Math.min(MAX_REMOVALS_PER_COMMIT, MAX_ROWS_PER_COMMIT - batch.puts.length - found.length)
      const ended = this.#pendingRemovals.splice(0, Math.max(0, removable))
      const removes = [...found, ...ended.map((key) => ({ table: PROGRESS_TABLE, key }))]
      const sentAt = performance.now()
      const isOwner = await this.#ownership.commit(batch.puts, removes)
      const tookMs = Math.round(performance.now() - sentAt)
      if (tookMs > SLOW_COMMIT_MS) {
        this.#cell.log.warn({ tookMs, rows: batch.puts.length, isOwner }, 'the store is slow')
      }
      if (!isOwner) {
        this.#hooks.onOwnershipLost()
        return
      }
      this.#cell.metrics.recordDuration('commit_time', tookMs)
      if (!this.#signal.aborted) this.#handleCommitted(batch)
    }
  }

  /** Commits as soon as the commit in flight has finished, also if nothing has changed. */
  commitNow (): void {
    this.#isDue = true
    this.wake()
  }

  /** Wakes the commit loop to check for changes. */
  wake (): void {
    this.#workWaiters.notifyAll()
  }

  /**
   * Lets `run` end after the commit in flight. That commit has to finish first, since each commit expects the version
   * that the previous one wrote.
   */
  close (): void {
    this.#closing = true
    this.wake()
  }

  /** Returns the rows for a final commit, which the caller makes. */
  takeFinalRows (): Batch['puts'] {
    return this.#takeBatch().puts
  }

  /** Schedules the removal of an ended job's progress record with a later commit. */
  removeProgress (id: string): void {
    this.#pendingRemovals.push(id)
  }

  /**
   * Resolves when the ended runs reported by a worker are stored, or after `STORED_WAIT_MS`. Polling the worker earlier
   * would only return the same ends again.
   */
  async waitUntilStored (worker: WorkerState): Promise<void> {
    const deadline = performance.now() + STORED_WAIT_MS
    while (worker.storedEndSequence < worker.processedEndSequence && !this.#signal.aborted) {
      const remainingMs = deadline - performance.now()
      if (remainingMs <= 0) return
      await this.#storedWaiters.wait(remainingMs)
    }
  }

  get #isOver (): boolean {
    return this.#closing || this.#signal.aborted
  }

  #hasUnstoredEnds (): boolean {
    for (const worker of this.#cell.workers.values()) {
      if (worker.storedEndSequence < worker.processedEndSequence) return true
    }
    return false
  }

  /** Waits until there is something to store or the ownership has to be renewed. */
  async #waitForWork (): Promise<void> {
    await this.#workWaiters.wait(OWNER_RENEW_MS)
    // Include changes made in the rest of this event loop iteration.
    await new Promise((resolve) => setImmediate(resolve))
  }

  #takeBatch (): Batch {
    const cell = this.#cell
    const { lostWorkers, members, drains, takeovers, breakers, crashes, incarnations, runTimes } = this.#control
    // The row of the members tells the next owner that it may rely on the records of lost workers.
    const trusted = lostWorkers.hasUntrusted ? [] : [members]
    // The crashes come with or before the next runs of their tasks, and the incarnations with or after the crashes.
    const records = [...trusted, takeovers, drains, breakers, crashes, incarnations, runTimes, lostWorkers]
    const puts = records.flatMap((record) => record.takeWrites())
    const maxRows = MAX_ROWS_PER_COMMIT - (lostWorkers.hasRecords ? REMOVAL_ROWS : 0)
    const batch: Batch = { puts, states: [], starts: [], endSequences: new Map(), foundWorkers: [] }
    let bytes = 0
    for (const job of this.#prioritizeDirtyJobs()) {
      if (batch.puts.length >= maxRows || bytes > this.#maxBytes) break
      const value = this.#encode(job)
      cell.dirty.delete(job)
      bytes += value.length
      batch.puts.push({ table: PROGRESS_TABLE, key: job.id, value })
      batch.states.push([job, job.state])
      for (const task of job.tasks()) {
        if (task.status === 'starting' && !task.orderSent) batch.starts.push({ task, run: task.run })
      }
    }
    // While jobs are still to be written, ended runs stay unacknowledged: workers report them again to a new owner.
    if (cell.dirty.size === 0) {
      for (const worker of cell.workers.values()) {
        const { storedEndSequence, processedEndSequence } = worker
        if (storedEndSequence < processedEndSequence) batch.endSequences.set(worker, processedEndSequence)
      }
    }
    batch.foundWorkers = lostWorkers.takeRemovals(cell.dirty.size === 0, MAX_ROWS_PER_COMMIT - puts.length)
    return batch
  }

  #encode (job: TrackedJob): Uint8Array {
    const value = encodeProgress(job)
    if (value.length <= this.#maxRowBytes) return value
    this.#hooks.onRowTooLarge(job)
    return encodeProgress(job, false)
  }

  /** Sorts by queue priority when more jobs wait than fit into one commit, as happens while the store is slow. */
  #prioritizeDirtyJobs (): Iterable<TrackedJob> {
    const { dirty } = this.#cell
    if (dirty.size <= MAX_ROWS_PER_COMMIT) return dirty
    return [...dirty].sort((a, b) => a.definition.queue.priority - b.definition.queue.priority)
  }

  #handleCommitted (batch: Batch): void {
    for (const [job, state] of batch.states) job.storedState = state
    for (const [worker, sequence] of batch.endSequences) {
      worker.storedEndSequence = Math.max(worker.storedEndSequence, sequence)
    }
    this.#control.members.handleWritten()
    this.#control.lostWorkers.handleRemoved(batch.foundWorkers)
    for (const { task, run } of batch.starts) {
      if (task.status === 'starting' && task.run === run && !task.orderSent) this.#hooks.onStartStored(task)
    }
    if (batch.endSequences.size > 0) this.#storedWaiters.notifyAll()
  }
}
