import { rethrow, sleep } from '@gypsumspring/protocol'
import { TrackedJob, decodeProgress, type Progress } from '../model/index.ts'
import { CLOCK_DRIFT, LEASE_SLACK_MS, STORE_OUTAGE_GRACE_MS, TICK_MS } from '../constants/index.ts'
import type { Ownership, Transfer } from '../ownership/index.ts'
import type {
  ConfigurationSource, MetricsRecorder, LogWriter, RecordStore, StoredRow, WorkerConnector, WorkerRegistry
} from '../ports.ts'
import {
  CANCELS_TABLE, CELL_PARTITION, JOBS_TABLE, PROGRESS_TABLE, decodeJob
} from '../records/index.ts'
import type { Job, JobState } from '../types.ts'
import { AdviceDesk, type AdvisingNode } from './AdviceDesk.ts'
import { Cell } from './Cell.ts'
import { Cleanup } from './Cleanup.ts'
import { Evacuation } from './Evacuation.ts'
import { GroupCommit } from './GroupCommit.ts'
import { Intake } from './Intake.ts'
import { Placer } from './Placer.ts'
import { RunTracker } from './RunTracker.ts'
import { WorkerRoster } from './WorkerRoster.ts'
import { chooseLease, type WorkerSession } from './WorkerSession.ts'
import { WorkerTrust } from './WorkerTrust.ts'
import { readUntilDone } from './readUntilDone.ts'

export interface CellOwnerParts {
  store: RecordStore
  registry: WorkerRegistry
  links: WorkerConnector
  configuration: ConfigurationSource
  log: LogWriter
  counters: MetricsRecorder
}

export interface CellOwnerOptions {
  /** Longest lease that workers accept, in ms. */
  leaseLimitMs: number
  /** Longest time that a stop takes on a worker, in ms. */
  stopTimeoutMs: number
  /** Time for which the state of an ended job can be asked for, in ms. */
  keepEndedMs: number
  /** The previous owner has ended for certain, so that it renews no leases any more. */
  predecessorEnded: boolean
}

/** Longest wait for the commit that is under way when the owner stops, in ms; the store may be away. */
const STOP_WAIT_MS = 2_500

/**
 * Rest after a round of placing, as a multiple of its time. While many steps wait each event asks for a round; without
 * a rest they took all processor time, and orders and answers of workers waited.
 */
const PLACING_REST_FACTOR = 3

/** Decides for a cell: takes jobs in, places tasks, and follows them to their end. Lives as long as its ownership. */
export class CellOwner {
  readonly cell: Cell
  readonly #parts: CellOwnerParts
  readonly #options: CellOwnerOptions
  readonly #ownership: Ownership
  readonly #desk: AdviceDesk
  readonly #placer: Placer
  readonly #tracker: RunTracker
  readonly #evacuation: Evacuation
  readonly #roster: WorkerRoster
  readonly #commits: GroupCommit
  readonly #jobs: Intake
  readonly #cancels: Intake
  readonly #cleanup: Cleanup
  readonly #cancelled = new Set<string>()
  readonly #claimedAt = performance.now()
  readonly #ended = new AbortController()
  readonly #onEnd: (reason: string) => void
  #recovered = false
  #placing = false
  /** Steady time before which no round of placing starts, in ms. */
  #restUntil = 0
  #committing: Promise<void> | undefined
  #commitsEnded = false
  #tick: ReturnType<typeof setInterval> | undefined

  /** @param onEnd called once when the ownership was lost */
  constructor (
    parts: CellOwnerParts, ownership: Ownership, options: CellOwnerOptions, onEnd: (reason: string) => void
  ) {
    const { store, log, counters } = parts
    const ended = this.#ended.signal
    this.#parts = parts
    this.#options = options
    this.#ownership = ownership
    this.#onEnd = onEnd
    this.cell = new Cell(() => parts.configuration.current(), log, counters, {
      onChange: () => this.#requestPlacing(),
      onDirty: () => this.#commits.wake()
    })
    const cell = this.cell
    const trust = new WorkerTrust()
    const sessions = new Map<string, WorkerSession>()
    this.#desk = new AdviceDesk(cell)
    this.#placer = new Placer(cell, this.#desk, trust)
    this.#tracker = new RunTracker(cell, trust, sessions, (reason) => this.#lose(reason))
    this.#evacuation = new Evacuation(cell, this.#tracker, options.stopTimeoutMs)
    this.#commits = new GroupCommit(cell, ownership, {
      order: (task) => this.#tracker.start(task).catch(rethrow),
      lost: () => this.#lose('another node has taken the cell over')
    }, ended)
    this.#roster = new WorkerRoster({ ...parts, cell, tracker: this.#tracker, trust, sessions, ended }, {
      token: ownership.token,
      leaseMs: chooseLease(options.leaseLimitMs),
      mayRenew: () => performance.now() - ownership.confirmedAt < STORE_OUTAGE_GRACE_MS,
      stored: () => this.#commits.stored(),
      fenced: () => this.#lose('a worker has seen a higher token'),
      inheritedLeaseEnd: () => this.#inheritedLeaseEnd()
    })
    this.#cleanup = new Cleanup(cell, store, options.keepEndedMs, (id) => {
      this.#cancelled.delete(id)
      this.#commits.forget(id)
    }, ended)
    this.#cancels = new Intake(store, CANCELS_TABLE, ({ key }) => this.cancel(key), ended, counters)
    this.#jobs = new Intake(store, JOBS_TABLE, (row) => this.#takeJobRow(row), ended, counters)
  }

  get token (): number {
    return this.#ownership.token
  }

  get isRecovered (): boolean {
    return this.#recovered
  }

  /** Reads what lasts and starts to decide. */
  async start (): Promise<void> {
    const { log, registry, counters } = this.#parts
    this.#committing = this.#commits.run().finally(() => { this.#commitsEnded = true })
    this.#committing.catch(rethrow)
    const [listed, isRead] = await Promise.all([
      readUntilDone(() => registry.list(), 'workers', this.#ended.signal, counters), this.#readTaken()
    ])
    if (listed === undefined || !isRead) return
    for (const worker of listed.workers) this.#roster.add(worker)
    this.#recovered = true
    this.#tick = setInterval(() => this.#onTick(), TICK_MS)
    log.info({
      token: this.token,
      jobs: this.cell.active.size,
      workers: this.cell.workers.size,
      tookMs: Math.round(performance.now() - this.#claimedAt)
    }, 'cell recovered')
    this.#roster.run(listed.version).catch(rethrow)
    this.#cancels.run().catch(rethrow)
    this.#jobs.run().catch(rethrow)
    this.#cleanup.run().catch(rethrow)
    for (const job of this.cell.active) this.#askAhead(job)
    this.#requestPlacing()
  }

  /** Stops deciding, stores what is known, and transfers the cell, or gives it up when there is no successor. */
  async stop (successor?: { node: string, address: string }): Promise<Transfer | undefined> {
    if (this.#isEnded) return undefined
    this.#commits.close()
    await Promise.race([this.#committing, sleep(STOP_WAIT_MS)])
    this.#end()
    if (!this.#commitsEnded) this.#ownership.abandon()
    if (this.#ownership.isLost) return undefined
    return await this.#ownership.transfer(this.#commits.takeLastRows(), successor)
  }

  /** Takes in a job that was stored. */
  accept (job: Job): void {
    if (!this.#recovered || this.#isEnded || this.cell.jobs.has(job.id)) return
    this.#addJob(job, undefined)
    this.#requestPlacing()
  }

  /** Cancels a job whose cancelling was stored. */
  cancel (id: string): void {
    if (this.#isEnded) return
    this.#cancelled.add(id)
    const job = this.cell.jobs.get(id)
    if (job === undefined || job.cancelled || job.isOver) return
    job.cancelled = true
    this.cell.endJob(job, 'cancelled', 'cancelled by its owner')
    this.#tracker.stopJob(job)
  }

  /** State to show for a job; undefined when no such job is known. */
  stateOf (id: string): JobState | undefined {
    return this.cell.jobs.get(id)?.storedState
  }

  /** Accepted jobs of a queue of which no task has started; undefined while some of them were not read yet. */
  countPending (queue: string): number | undefined {
    if (!this.#jobs.isComplete) return undefined
    let count = 0
    for (const job of this.cell.active) if (!job.started && job.job.queue.name === queue) count++
    return count
  }

  addNode (node: AdvisingNode): void {
    this.#desk.addNode(node)
  }

  removeNode (id: string): void {
    this.#desk.removeNode(id)
  }

  get #isEnded (): boolean {
    return this.#ended.signal.aborted
  }

  #lose (reason: string): void {
    if (this.#isEnded) return
    this.#end()
    this.#ownership.abandon()
    this.#onEnd(reason)
  }

  #end (): void {
    clearInterval(this.#tick)
    this.#tracker.close()
    this.#roster.close()
    this.#ended.abort()
  }

  /**
   * Reads what earlier owners stored. Jobs that none of them took in are read later, since their partitions may be
   * away.
   */
  async #readTaken (): Promise<boolean> {
    const { store, log, counters } = this.#parts
    const read = await readUntilDone(() => store.read(PROGRESS_TABLE, CELL_PARTITION), PROGRESS_TABLE,
      this.#ended.signal, counters)
    if (this.#isEnded || read === undefined) return false
    for (const { key, value } of read.rows) {
      const progress = value === undefined ? undefined : decodeProgress(value)
      if (progress !== undefined) this.#addJob(progress.job ?? endedJob(key), progress)
      else log.warn({ job: key }, 'progress record can not be read')
    }
    return true
  }

  #takeJobRow ({ key, value }: StoredRow): void {
    if (value === undefined || this.cell.jobs.has(key)) return
    const job = decodeJob(value)
    if (job === undefined) {
      this.#parts.log.warn({ job: key }, 'job record can not be read')
      return
    }
    this.#addJob(job, undefined)
  }

  #addJob (job: Job, progress: Progress | undefined): void {
    const run = new TrackedJob(job, performance.now(), Date.now())
    this.cell.jobs.set(job.id, run)
    if (progress !== undefined) run.restore(progress, performance.now())
    for (const task of run.tasks()) if (task.isAssigned) this.#roster.holdInherited(task)
    if (run.isOver) return
    this.cell.active.add(run)
    if (this.#cancelled.has(job.id)) {
      this.cancel(job.id)
      return
    }
    this.#openOccurrences(run)
    this.#askAhead(run)
    this.#requestPlacing()
  }

  /** Asks for advice before the first placing, since a step without advice has no worker. */
  #askAhead (run: TrackedJob): void {
    if (run.job.queue.advice === undefined || !this.#recovered) return
    const pool = this.cell.poolOf(run.job)
    const workers = [...this.cell.workers.values()].filter(({ entry }) => entry.pool === pool)
    for (const steps of run.occurrences.values()) {
      for (const step of steps) {
        if (!step.isDone && step.isReady()) this.#desk.ask(step, workers)
      }
    }
  }

  /** Time by which leases that an earlier owner gave have ended, when a worker can't be asked. */
  #inheritedLeaseEnd (): number {
    const orphanMs = this.#options.predecessorEnded ? 0 : STORE_OUTAGE_GRACE_MS
    return this.#claimedAt + orphanMs + chooseLease(this.#options.leaseLimitMs) * (1 + CLOCK_DRIFT) + LEASE_SLACK_MS
  }

  #openOccurrences (run: TrackedJob): void {
    const now = Date.now()
    for (let occurrence = 0; occurrence < run.occurrenceCount; occurrence++) {
      if (run.dueAt(occurrence) > now) return
      if (run.finishedOccurrences.has(occurrence) || run.occurrences.has(occurrence)) continue
      run.openOccurrence(occurrence, performance.now())
    }
  }

  #requestPlacing (): void {
    if (this.#placing || !this.#recovered || this.#isEnded) return
    this.#placing = true
    const place = () => {
      this.#placing = false
      if (this.#isEnded) return
      const startedAt = performance.now()
      this.#placer.run()
      const endedAt = performance.now()
      this.#restUntil = endedAt + PLACING_REST_FACTOR * (endedAt - startedAt)
    }
    const restMs = this.#restUntil - performance.now()
    if (restMs > 1) setTimeout(place, restMs)
    else setImmediate(place)
  }

  #onTick (): void {
    const now = performance.now()
    for (const job of this.cell.active) if (job.spec.occurrences > 0) this.#openOccurrences(job)
    this.#roster.tick(now)
    this.#evacuation.tick(now)
    this.#desk.tick()
    this.#requestPlacing()
    this.cell.counters.set('jobs_active', this.cell.active.size)
    this.cell.counters.set('workers', this.cell.workers.size)
  }
}

/** Stands for a job that is over; its steps are not kept. */
function endedJob (id: string): Job {
  const queue = { name: '', pool: '', priority: 0, maxAttempts: 1, stretch: 1, targetLatencyMs: 0 }
  return { id, queue, acceptedAt: 0, spec: { payload: '', steps: [], occurrences: 0, firstRunAt: 0, intervalMs: 0 } }
}
