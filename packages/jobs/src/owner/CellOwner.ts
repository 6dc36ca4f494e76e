import { failureOf, valueOf, type Outcome } from '@gypsumspring/protocol'
import { sleep } from '@gypsumspring/protocol'
import { JobRun, decodeProgress, encodeProgress, type Progress, type TaskRun } from '../book/index.ts'
import {
  CLOCK_DRIFT, INTAKE_READ_MS, LEASE_SLACK_MS, MAX_BYTES_PER_COMMIT, MAX_ROWS_PER_COMMIT, OWNER_ORPHAN_MS,
  OWNER_RENEW_MS,
  TICK_MS, UNLISTED_GRACE_MS
} from '../constants/index.ts'
import type { Ownership, Transfer } from '../ownership/index.ts'
import type {
  ConfigurationSource, Counters, DecisionLog, RecordStore, RowChanges, StoredRow, WorkerLinks, WorkerRegistry
} from '../ports.ts'
import {
  CANCELS_TABLE, CELL_PARTITION, JOBS_TABLE, PROGRESS_TABLE, decodeJob, listJobPartitions,
  toJobPartitions
} from '../records/index.ts'
import type { Job, JobState, WorkerEntry } from '../types.ts'
import { WorkerState } from '../workers/WorkerState.ts'
import { AdviceDesk, type AdvisingNode } from './AdviceDesk.ts'
import { Cell } from './Cell.ts'
import { Evacuation } from './Evacuation.ts'
import { Placer, listForAdvice } from './Placer.ts'
import { RunTracker } from './RunTracker.ts'
import { WorkerSession, chooseLease } from './WorkerSession.ts'
import { WorkerTrust } from './WorkerTrust.ts'

export interface CellOwnerParts {
  store: RecordStore
  registry: WorkerRegistry
  links: WorkerLinks
  configuration: ConfigurationSource
  log: DecisionLog
  counters: Counters
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

interface Batch {
  puts: Array<{ table: string, key: string, value: Uint8Array }>
  /** Jobs of the batch with the state that its rows hold. */
  states: Array<[JobRun, JobState]>
  orders: Array<{ task: TaskRun, run: number }>
  /** Ends that are stored with this batch, by worker. */
  ends: Map<WorkerState, number>
}

/** Longest wait for ends to be stored before a worker is looked at again, in ms; its leases must go on. */
const STORED_WAIT_MS = 500

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
  readonly #trust = new WorkerTrust()
  readonly #sessions = new Map<string, WorkerSession>()
  readonly #cancels = new Set<string>()
  readonly #claimedAt = performance.now()
  readonly #onEnd: (reason: string) => void
  #recovered = false
  #stopped = false
  #placing = false
  #wakeCommit: (() => void) | undefined
  #committing: Promise<void> | undefined
  #commitsEnded = false
  /** The commit that is under way is the last one but the transfer. */
  #leaving = false
  #flushWaiters: Array<() => void> = []
  /** Ended jobs whose rows are to be removed. */
  readonly #forgotten: string[] = []
  #tick: ReturnType<typeof setInterval> | undefined

  /** @param onEnd called once when the ownership was lost */
  constructor (parts: CellOwnerParts, ownership: Ownership, options: CellOwnerOptions, onEnd: (reason: string) =>
  void) {
    this.#parts = parts
    this.#options = options
    this.#ownership = ownership
    this.#onEnd = onEnd
    this.cell = new Cell(() => parts.configuration.current(), parts.log, parts.counters, {
      onChange: () => this.#requestPlacing(),
      onDirty: () => this.#wakeCommit?.()
    })
    this.#desk = new AdviceDesk(this.cell)
    this.#placer = new Placer(this.cell, this.#desk, this.#trust)
    this.#tracker = new RunTracker(this.cell, this.#trust, this.#sessions, (reason) => this.#lose(reason))
    this.#evacuation = new Evacuation(this.cell, this.#tracker, options.stopTimeoutMs)
  }

  get token (): number {
    return this.#ownership.token
  }

  get isRecovered (): boolean {
    return this.#recovered
  }

  /** Reads what lasts and starts to decide. */
  async start (): Promise<void> {
    const { log } = this.#parts
    this.#committing = this.#commitLoop().finally(() => { this.#commitsEnded = true })
    this.#run(this.#committing)
    const [listed, isRead] = await Promise.all([
      this.#insist('workers', () => this.#parts.registry.list()), this.#readTaken()
    ])
    if (listed === undefined || !isRead) return
    for (const worker of listed.workers) this.#addWorker(worker)
    this.#recovered = true
    this.#tick = setInterval(() => this.#onTick(), TICK_MS)
    log.info({
      token: this.token,
      jobs: this.cell.active.size,
      workers: this.cell.workers.size,
      tookMs: Math.round(performance.now() - this.#claimedAt)
    }, 'cell recovered')
    for (const session of this.#sessions.values()) this.#run(session.run())
    this.#run(this.#watchRegistry(listed.version))
    this.#run(this.#watchIntake(CANCELS_TABLE, (row) => this.cancel(row.key)))
    this.#run(this.#watchIntake(JOBS_TABLE, (row) => this.#takeJobRow(row)))
    for (const job of this.cell.active) this.#askAhead(job)
    this.#requestPlacing()
  }

  /** Stops deciding, stores what is known, and transfers the cell, or gives it up when there is no successor. */
  async stop (successor?: { node: string, address: string }): Promise<Transfer | undefined> {
    if (this.#stopped) return undefined
    // Commits form a chain: the last one has to wait for the one that is under way.
    this.#leaving = true
    this.#wakeCommit?.()
    await Promise.race([this.#committing, sleep(STOP_WAIT_MS)])
    this.#end()
    if (!this.#commitsEnded) this.#ownership.abandon()
    if (this.#ownership.isLost) return undefined
    return await this.#ownership.transfer(this.#takeBatch().puts, successor)
  }

  /** Takes in a job that was stored. */
  accept (job: Job): void {
    if (!this.#recovered || this.#stopped || this.cell.jobs.has(job.id)) return
    this.#addJob(job, undefined)
    this.#requestPlacing()
  }

  /** Cancels a job whose cancelling was stored. */
  cancel (id: string): void {
    if (this.#stopped) return
    this.#cancels.add(id)
    const job = this.cell.jobs.get(id)
    if (job === undefined || job.cancelled || job.isOver) return
    job.cancelled = true
    this.cell.endJob(job, 'cancelled', 'cancelled by its owner')
    this.#tracker.stopJob(job)
  }

  /** State to show for a job; undefined when no such job is known. */
  stateOf (id: string): JobState | undefined {
    return this.cell.jobs.get(id)?.shownState
  }

  /** Accepted jobs of a queue of which no task has started. */
  countPending (queue: string): number {
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

  #run (task: Promise<void>): void {
    task.catch((error) => { process.nextTick(() => { throw error }) })
  }

  #lose (reason: string): void {
    if (this.#stopped) return
    this.#end()
    this.#ownership.abandon()
    this.#onEnd(reason)
  }

  #end (): void {
    this.#stopped = true
    clearInterval(this.#tick)
    this.#tracker.close()
    for (const session of this.#sessions.values()) session.close()
    this.#wakeCommit?.()
    for (const resolve of this.#flushWaiters.splice(0)) resolve()
  }

  /** Repeats a read until it succeeds or the owner has stopped. */
  async #insist<Value> (what: string, read: () => Promise<Outcome<Value>>): Promise<Value | undefined> {
    while (!this.#stopped) {
      const outcome = await read()
      const value = valueOf(outcome)
      if (value !== undefined) return value
      this.#parts.counters.count('store_retries', { what })
      await sleep(100)
    }
    return undefined
  }

  /**
   * Reads what earlier owners stored. Jobs that none of them took in are read later, since their partitions may be
   * away.
   */
  async #readTaken (): Promise<boolean> {
    const read = await this.#insist(PROGRESS_TABLE, () => this.#parts.store.read(PROGRESS_TABLE, CELL_PARTITION))
    if (this.#stopped || read === undefined) return false
    for (const { key, value } of read.rows) {
      const progress = value === undefined ? undefined : decodeProgress(value)
      if (progress !== undefined) this.#addJob(progress.job ?? endedJob(key), progress)
      else this.#parts.log.warn({ job: key }, 'progress record can not be read')
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
    const run = new JobRun(job, performance.now(), Date.now())
    this.cell.jobs.set(job.id, run)
    if (progress !== undefined) run.restore(progress, performance.now())
    for (const task of run.tasks()) if (task.hasRun) this.#holdInherited(task)
    if (run.isOver) return
    this.cell.active.add(run)
    if (this.#cancels.has(job.id)) {
      this.cancel(job.id)
      return
    }
    this.#openOccurrences(run)
    this.#askAhead(run)
    this.#requestPlacing()
  }

  /** Asks for advice before the first placing, since a step without advice has no worker. */
  #askAhead (run: JobRun): void {
    const terms = run.job.queue.advice
    if (terms === undefined || !this.#recovered) return
    const pool = this.cell.poolOf(run.job)
    const workers = [...this.cell.workers.values()].filter(({ entry }) => entry.pool === pool)
    for (const steps of run.occurrences.values()) {
      for (const step of steps) {
        if (!step.isDone && step.isReady()) {
          this.#desk.ask(step, terms, listForAdvice(step,
            workers))
        }
      }
    }
  }

  /** Counts a run of an earlier owner on its worker, which may no longer be registered. */
  #holdInherited (task: TaskRun): void {
    const id = task.worker!
    let worker = this.cell.workers.get(id)
    if (worker === undefined) {
      worker = new WorkerState(unknownEntry(id), this.#inheritedLeaseEnd())
      worker.unlistedSince = performance.now()
      this.cell.workers.set(id, worker)
    }
    worker.add(task)
  }

  /** Time by which leases that an earlier owner gave have ended, when a worker can't be asked. */
  #inheritedLeaseEnd (): number {
    const orphanMs = this.#options.predecessorEnded ? 0 : OWNER_ORPHAN_MS
    return this.#claimedAt + orphanMs + chooseLease(this.#options.leaseLimitMs) * (1 + CLOCK_DRIFT) + LEASE_SLACK_MS
  }

  #openOccurrences (run: JobRun): void {
    const now = Date.now()
    for (let occurrence = 0; occurrence < run.occurrenceCount; occurrence++) {
      if (run.dueAt(occurrence) > now) return
      if (run.finishedOccurrences.has(occurrence) || run.occurrences.has(occurrence)) continue
      run.open(occurrence, performance.now())
    }
  }

  #addWorker (entry: WorkerEntry): void {
    const known = this.cell.workers.get(entry.id)
    if (known !== undefined && this.#sessions.has(entry.id)) {
      this.#updateWorker(known, entry)
      return
    }
    const worker = known ?? new WorkerState(entry, this.#inheritedLeaseEnd())
    this.cell.workers.set(entry.id, worker)
    const session = new WorkerSession(worker, this.#parts.links.open(entry), {
      token: this.token,
      leaseMs: chooseLease(this.#options.leaseLimitMs),
      mayRenew: () => performance.now() - this.#ownership.confirmedAt < OWNER_ORPHAN_MS,
      receive: (state, view, sentAt) => this.#tracker.receive(state, view, sentAt),
      stored: () => this.#nextFlush(),
      fenced: () => this.#lose('a worker has seen a higher token'),
      gone: (state) => this.#removeWorker(state, 'another incarnation answers'),
      reachabilityChanged: (state) => {
        this.#parts.log.info({ worker: state.id, reachable: state.reachable }, 'worker reachability changed')
        if (state.reachable) this.#requestPlacing()
      }
    })
    this.#sessions.set(entry.id, session)
    this.#updateWorker(worker, entry)
    if (this.#recovered) this.#run(session.run())
  }

  #updateWorker (worker: WorkerState, entry: WorkerEntry): void {
    if (entry.draining && worker.leavesAt === undefined) {
      worker.leavesAt = performance.now() + (entry.leavesInMs ?? DEFAULT_LEAVE_MS)
      this.#parts.log.info({ worker: entry.id, leavesInMs: entry.leavesInMs }, 'worker is draining')
    }
    worker.entry = entry
    worker.unlistedSince = undefined
    this.#requestPlacing()
  }

  #removeWorker (worker: WorkerState, reason: string): void {
    if (this.cell.workers.get(worker.id) !== worker) return
    this.#tracker.loseTasks(worker, reason)
    this.#sessions.get(worker.id)?.close()
    this.#sessions.delete(worker.id)
    this.cell.workers.delete(worker.id)
    this.#trust.forget(worker.id)
    this.#parts.log.info({ worker: worker.id, reason }, 'worker removed')
  }

  async #watchRegistry (from: number): Promise<void> {
    let version = from
    while (!this.#stopped) {
      const outcome = await this.#parts.registry.changes(version, REGISTRY_WAIT_MS)
      const changes = valueOf(outcome)
      if (changes !== undefined) {
        version = changes.version
        for (const worker of changes.workers) this.#addWorker(worker)
        for (const id of changes.removed) this.#unlist(id)
        continue
      }
      await sleep(100)
      if (failureOf(outcome)?.reason === 'not-found') version = await this.#reloadRegistry(version)
    }
  }

  async #reloadRegistry (version: number): Promise<number> {
    const listed = await this.#insist('workers', () => this.#parts.registry.list())
    if (listed === undefined) return version
    const present = new Set(listed.workers.map(({ id }) => id))
    for (const worker of listed.workers) this.#addWorker(worker)
    for (const id of this.cell.workers.keys()) if (!present.has(id)) this.#unlist(id)
    return listed.version
  }

  #unlist (id: string): void {
    const worker = this.cell.workers.get(id)
    if (worker !== undefined) worker.unlistedSince ??= performance.now()
  }

  /** Reads rows that other nodes wrote: all of them at first, then those of which no notification arrived. */
  async #watchIntake (table: string, take: (row: StoredRow) => void): Promise<void> {
    let version = await this.#readIntake(table, take)
    while (!this.#stopped) {
      await sleep(INTAKE_READ_MS)
      const outcome = await this.#parts.store.changes(table, version, 0)
      const changes = valueOf(outcome)
      if (changes !== undefined) {
        version = changes.version
        for (const row of changes.rows) if (row.value !== undefined) take(row)
      } else if (failureOf(outcome)?.reason === 'not-found') version = await this.#readIntake(table, take)
    }
  }

  async #readIntake (table: string, take: (row: StoredRow) => void): Promise<number> {
    const reads = await Promise.all(listJobPartitions().map(async (partition) => {
      const read = await this.#insist(table, () => this.#parts.store.read(table, partition))
      for (const row of read?.rows ?? []) take(row)
      return read
    }))
    return oldestVersion(reads)
  }

  #requestPlacing (): void {
    if (this.#placing || !this.#recovered || this.#stopped) return
    this.#placing = true
    setImmediate(() => {
      this.#placing = false
      if (!this.#stopped) this.#placer.run()
    })
  }

  #onTick (): void {
    const now = performance.now()
    for (const job of this.cell.active) if (job.spec.occurrences > 0) this.#openOccurrences(job)
    for (const worker of [...this.cell.workers.values()]) this.#checkWorker(worker, now)
    this.#evacuation.tick(now)
    this.#desk.tick()
    this.#requestPlacing()
    this.#forgetEnded()
    this.cell.counters.set('jobs_active', this.cell.active.size)
    this.cell.counters.set('workers', this.cell.workers.size)
  }

  #checkWorker (worker: WorkerState, now: number): void {
    if (worker.reachable) return
    if (worker.leaseEndsBy < now) this.#tracker.loseTasks(worker, 'lease ended without an answer')
    const unlistedMs = worker.unlistedSince === undefined ? 0 : now - worker.unlistedSince
    if (unlistedMs > UNLISTED_GRACE_MS && worker.tasks.size === 0) this.#removeWorker(worker, 'not registered any more')
  }

  #forgetEnded (): void {
    const before = Date.now() - this.#options.keepEndedMs
    for (const [id, job] of this.cell.jobs) {
      if (!job.isOver || job.endedAt > before || this.cell.dirty.has(job)) continue
      this.cell.jobs.delete(id)
      this.#forgotten.push(id)
    }
  }

  #nextFlush (): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, STORED_WAIT_MS)
      this.#flushWaiters.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  async #commitLoop (): Promise<void> {
    while (!this.#stopped && !this.#leaving) {
      if (this.cell.dirty.size === 0 && !this.#hasUnstoredEnds()) await this.#waitForWork()
      if (this.#stopped || this.#leaving) return
      const batch = this.#takeBatch()
      const removes = this.#forgotten.splice(0, MAX_FORGOTTEN_PER_COMMIT).map((key) => ({ table: PROGRESS_TABLE, key }))
      const sentAt = performance.now()
      const isOwner = await this.#ownership.commit(batch.puts, removes)
      const tookMs = Math.round(performance.now() - sentAt)
      if (tookMs > SLOW_COMMIT_MS) {
        this.#parts.log.warn({ tookMs, rows: batch.puts.length, isOwner }, 'the store is slow')
      }
      if (!isOwner) {
        this.#lose('another node has taken the cell over')
        return
      }
      this.#parts.counters.recordDuration('commit_time', tookMs)
      if (!this.#stopped) this.#applyStored(batch)
      await this.#removeRecords(new Set(removes.map(({ key }) => key)))
    }
  }

  #hasUnstoredEnds (): boolean {
    for (const worker of this.cell.workers.values()) if (worker.storedEnds < worker.processedEnds) return true
    return false
  }

  /** Waits until there is something to store, or the ownership has to be renewed. */
  async #waitForWork (): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, OWNER_RENEW_MS)
      this.#wakeCommit = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this.#wakeCommit = undefined
    // Lets the events of this turn of the loop join the commit.
    await new Promise((resolve) => setImmediate(resolve))
  }

  #takeBatch (): Batch {
    const batch: Batch = { puts: [], states: [], orders: [], ends: new Map() }
    let bytes = 0
    for (const job of this.cell.dirty) {
      if (batch.puts.length >= MAX_ROWS_PER_COMMIT || bytes > MAX_BYTES_PER_COMMIT) break
      this.cell.dirty.delete(job)
      const value = encodeProgress(job)
      bytes += value.length
      batch.puts.push({ table: PROGRESS_TABLE, key: job.id, value })
      batch.states.push([job, job.state])
      for (const task of job.tasks()) {
        if (task.status === 'starting' && !task.ordered) batch.orders.push({ task, run: task.run })
      }
    }
    // Ends of a job that is still to be written must be listed again if this owner is lost.
    if (this.cell.dirty.size === 0) {
      for (const worker of this.cell.workers.values()) {
        if (worker.storedEnds < worker.processedEnds) batch.ends.set(worker, worker.processedEnds)
      }
    }
    return batch
  }

  #applyStored (batch: Batch): void {
    for (const [job, state] of batch.states) job.shownState = state
    for (const [worker, sequence] of batch.ends) worker.storedEnds = Math.max(worker.storedEnds, sequence)
    for (const { task, run } of batch.orders) {
      if (task.status === 'starting' && task.run === run && !task.ordered) this.#run(this.#tracker.start(task))
    }
    if (batch.ends.size > 0) for (const resolve of this.#flushWaiters.splice(0)) resolve()
  }

  /**
   * Removes the records of forgotten jobs that other nodes wrote. Repeated by nobody: a leftover is read and
   * forgotten again.
   */
  async #removeRecords (ids: Set<string>): Promise<void> {
    for (const id of ids) {
      this.#cancels.delete(id)
      const removes = [{ table: JOBS_TABLE, key: id }, { table: CANCELS_TABLE, key: id }]
      await Promise.all(toJobPartitions(id).map((partition) =>
        this.#parts.store.commit({ partition, expected: [], puts: [], removes })))
    }
  }
}

/** Longest wait for the commit that is under way when the owner stops, in ms; the store may be away. */
const STOP_WAIT_MS = 2_500

/** Commits that take longer are logged, in ms; usual ones take 13 ms. */
const SLOW_COMMIT_MS = 200

/** Least time that a draining worker stays when it doesn't say, in ms. */
const DEFAULT_LEAVE_MS = 2_000

/** Longest wait of one read of the changes of the registry, in ms. */
const REGISTRY_WAIT_MS = 1_000

/** Ended jobs whose rows are removed with one commit. */
const MAX_FORGOTTEN_PER_COMMIT = 10

/** Stands for a job that is over; its steps are not kept. */
function endedJob (id: string): Job {
  const queue = { name: '', pool: '', priority: 0, maxAttempts: 1, stretch: 1, targetLatencyMs: 0 }
  return { id, queue, acceptedAt: 0, spec: { payload: '', steps: [], occurrences: 0, firstRunAt: 0, intervalMs: 0 } }
}

function unknownEntry (id: string): WorkerEntry {
  return {
    id,
    pool: '',
    address: '',
    failureDomain: '',
    draining: true,
    leavesInMs: undefined,
    capacity: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    labels: []
  }
}

function oldestVersion (reads: Array<RowChanges | undefined>): number {
  return Math.min(...reads.map((read) => read?.version ?? 0))
}
