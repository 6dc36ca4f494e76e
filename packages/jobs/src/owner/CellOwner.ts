import { throwUncaught, sleep, type Outcome } from '@gypsumspring/protocol'
import { ShareMeter } from '../accounts/ShareMeter.ts'
import { TrackedJob, decodeProgress, type Progress } from '../model/index.ts'
import { RENEWAL_GRACE_MS, STORE_OUTAGE_GRACE_MS, TICK_MS } from '../constants/index.ts'
import { readInstant } from '../instant/index.ts'
import { CONTROL_TABLE, type Ownership, type Predecessor, type Transfer } from '../ownership/index.ts'
import type {
  ConfigurationSource, MetricsRecorder, LogWriter, RecordStore, RowChanges, StoredRow, WorkerConnector, WorkerInventory,
  WorkerRegistry
} from '../ports.ts'
import {
  CANCELS_TABLE, CELL_PARTITION, JOBS_TABLE, PROGRESS_TABLE, decodeJob, toJobPartitions
} from '../records/index.ts'
import { findStepOutOfOrder } from '../records/findStepOutOfOrder/index.ts'
import type { Job, JobState, WorkerEntry } from '../types.ts'
import { orderSteps } from '../placement/orderSteps/index.ts'
import { AdviceDispatcher, type AdviceNode } from './AdviceDispatcher.ts'
import { BreakerRecord } from './BreakerRecord.ts'
import { Cell, readySteps } from './Cell.ts'
import { CellMembers, type TakeoverPromise } from './CellMembers.ts'
import { CrashRecord } from './CrashRecord.ts'
import { DrainRecord } from './DrainRecord.ts'
import { IncarnationRecord } from './IncarnationRecord.ts'
import { JobCleanup } from './JobCleanup.ts'
import { Rescheduler } from './Rescheduler.ts'
import { GroupCommit, type ControlRecords } from './GroupCommit.ts'
import { LostWorkerRecords } from './LostWorkerRecords.ts'
import { StalledOrderLog } from './StalledOrderLog.ts'
import { TablePoller } from './TablePoller.ts'
import { Placer } from './Placer.ts'
import { OwnerLoadLog } from './OwnerLoadLog.ts'
import { RunTimesRecord } from './RunTimesRecord.ts'
import { RunTracker } from './RunTracker.ts'
import { TakeoverRecord } from './TakeoverRecord.ts'
import { WorkerManager } from './WorkerManager.ts'
import { chooseLeaseMs, toLongestLeaseMs, type WorkerSession } from './WorkerSession.ts'
import { WorkerCircuitBreaker } from './WorkerCircuitBreaker.ts'
import { OccurrenceOpener } from './OccurrenceOpener.ts'
import { readWithRetry } from './readWithRetry.ts'

/** Services that the owner uses. */
export interface CellOwnerDependencies {
  store: RecordStore
  registry: WorkerRegistry
  connector: WorkerConnector
  inventory?: WorkerInventory
  configuration: ConfigurationSource
  /**
   * Asks nodes to make no more promises to the owner with a token. Resolves with the monotonic time by which the
   * promises of one of them are over, in ms; infinite if none answers.
   */
  endPromises: (token: number, nodes: ReadonlySet<string>) => Promise<number>
  log: LogWriter
  metrics: MetricsRecorder
}

export interface CellOwnerOptions {
  /** Name of this node; it must stay the same across restarts. */
  node: string
  /** Longest task lease that workers accept, in ms. */
  leaseLimitMs: number
  /** Longest time that a worker takes to stop a task, in ms. */
  stopTimeoutMs: number
  /** Time for which the state of an ended job can be queried, in ms. */
  keepEndedMs: number
  /** Bandwidth of this node's network link, in Mbit/s. */
  linkMbps: number
  /** Largest value of a row that the store accepts, in bytes. */
  maxRowBytes: number
  /** See `OccurrenceOpenerOptions`. */
  maxOpenTasks?: number
  /** Whether run times and speeds of workers are learned from ended runs. Default: yes. */
  learnsRunTimes?: boolean
}

/** Longest wait for the commit in flight when the owner stops, in ms; the store may be unavailable. */
const STOP_WAIT_MS = 2_500

/**
 * Pause after a placement round, as a multiple of its duration. While many steps wait, every event requests a round.
 * Without a pause the rounds took all CPU time and delayed orders to workers and their answers.
 */
const PLACEMENT_PAUSE_FACTOR = 3

/**
 * Partitions of accepted jobs that a new owner reads concurrently. With more, answers of workers would queue behind the
 * rows of all jobs.
 */
const MAX_JOB_READS = 8

/** The same for cancelled jobs, whose rows are small. */
const MAX_CANCEL_READS = 24

/**
 * Longest time for which tasks wait until a new owner has read the cancels in the partitions of their job, in ms. Some
 * partitions may give no answer for long, and callers allow 3 s for a cancel to take effect.
 */
const MAX_CANCEL_WAIT_MS = 2_000

/**
 * Steps for which a new owner requests advice before its first placement round. Naming workers for each takes time, in
 * which the owner's record stands still.
 */
const MAX_FIRST_REQUESTS = 64

/**
 * Longest time for which a placement round keeps the process from other work, in ms. With 900 waiting jobs the first
 * round of a new owner took 0.9 s, in which its heartbeats and its record stood still, so that it was replaced.
 */
const PLACEMENT_SLICE_MS = 20

/**
 * Schedules the jobs of a cell for as long as this node owns it: accepts jobs, places their tasks on workers and tracks
 * the tasks until they end.
 */
export class CellOwner {
  readonly cell: Cell
  readonly #dependencies: CellOwnerDependencies
  readonly #options: CellOwnerOptions
  readonly #ownership: Ownership
  readonly #advice: AdviceDispatcher
  readonly #placer: Placer
  readonly #tracker: RunTracker
  readonly #rescheduler: Rescheduler
  readonly #stalledOrders: StalledOrderLog
  readonly #load: OwnerLoadLog
  readonly #workerManager: WorkerManager
  readonly #control: ControlRecords
  readonly #commits: GroupCommit
  readonly #jobPoller: TablePoller
  readonly #cancelPoller: TablePoller
  readonly #cleanup: JobCleanup
  readonly #shares: ShareMeter
  /** Ids of cancelled jobs, also of those whose job row was not read yet. */
  readonly #cancelledIds = new Set<string>()
  readonly #opener: OccurrenceOpener
  readonly #abortController = new AbortController()
  readonly #onEnd: (reason: string) => void
  #recovered = false
  #placementRequested = false
  /** A placement round is under way. */
  #isPlacing = false
  /** A round was requested while another one was under way. */
  #isPlacementDue = false
  /** Monotonic time before which no placement round starts, in ms. */
  #nextPlacementAt = 0
  #committing: Promise<void> | undefined
  #commitsEnded = false
  #tickTimer: ReturnType<typeof setInterval> | undefined

  /** @param onEnd called once when the ownership is lost */
  constructor (
    dependencies: CellOwnerDependencies, ownership: Ownership, options: CellOwnerOptions,
    onEnd: (reason: string) => void
  ) {
    const { store, log, metrics } = dependencies
    const signal = this.#abortController.signal
    this.#dependencies = dependencies
    this.#options = options
    this.#ownership = ownership
    this.#onEnd = onEnd
    this.#load = new OwnerLoadLog(metrics, log)
    this.cell = new Cell(() => dependencies.configuration.current(), log, this.#load, {
      onChange: () => this.#requestPlacement(),
      onDirty: () => this.#commits.wake(),
      isCancelKnown: ({ id }) => this.#isCancelKnown(id)
    }, options)
    const cell = this.cell
    this.#shares = new ShareMeter((name) => cell.configuration()?.accounts?.findByName(name)?.weight)
    this.#opener = new OccurrenceOpener(cell, options)
    const breaker = new WorkerCircuitBreaker()
    const sessions = new Map<string, WorkerSession>()
    const crashes = new CrashRecord(cell)
    this.#advice = new AdviceDispatcher(cell)
    this.#placer = new Placer(cell, this.#advice, breaker, crashes, (task) => this.#tracker.stop(task, 'wait'))
    this.#tracker = new RunTracker(cell, breaker, crashes, sessions, (reason) => this.#handleOwnershipLost(reason))
    this.#rescheduler = new Rescheduler(cell, this.#tracker, options.stopTimeoutMs)
    this.#control = {
      lostWorkers: new LostWorkerRecords(cell, ownership.clock),
      members: new CellMembers(ownership.token, options.node),
      drains: new DrainRecord(cell, ownership.clock),
      takeovers: new TakeoverRecord(cell, ownership.clock),
      breakers: new BreakerRecord(cell, ownership.clock, breaker),
      crashes,
      incarnations: new IncarnationRecord(cell),
      runTimes: new RunTimesRecord(cell)
    }
    const { lostWorkers, members, drains, incarnations } = this.#control
    this.#commits = new GroupCommit(cell, this.#control, ownership, {
      onStartStored: (task) => this.#tracker.start(task).catch(throwUncaught),
      onRowTooLarge: (job) => this.#failTooLarge(job),
      onOwnershipLost: () => this.#handleOwnershipLost('another node has taken the cell over')
    }, options, signal)
    const tracker = this.#tracker
    const mayRenewLeases = () => ownership.mayGrantLeases && (ownership.unconfirmedMs < RENEWAL_GRACE_MS ||
      (ownership.unconfirmedMs < STORE_OUTAGE_GRACE_MS && members.hasAllPromises))
    this.#stalledOrders = new StalledOrderLog(cell, { hasSession: (id) => sessions.has(id), mayRenewLeases })
    this.#workerManager = new WorkerManager({
      ...dependencies, cell, tracker, breaker, drains, crashes, sessions, signal
    }, {
      token: ownership.token,
      leaseMs: chooseLeaseMs(options.leaseLimitMs),
      mayRenewLeases,
      waitUntilStored: (worker) => this.#commits.waitUntilStored(worker),
      onFenced: () => this.#handleOwnershipLost('a worker has accepted a higher fencing token'),
      earlierLeasesEnd: () => ownership.earlierLeasesEnd ?? this.#longestLeasesEnd,
      isRecordedAsLost: (id) => lostWorkers.has(id),
      recordedStart: (id) => incarnations.startOf(id),
      onLostWorkerFound: () => this.#commits.wake()
    })
    this.#cleanup = new JobCleanup(cell, store, options.keepEndedMs, (id) => {
      this.#cancelledIds.delete(id)
      this.#commits.removeProgress(id)
    }, signal)
    this.#cancelPoller = new TablePoller(store, CANCELS_TABLE, ({ key }) => this.cancel(key), signal, metrics, {
      maxConcurrentReads: MAX_CANCEL_READS, onComplete: () => this.#requestPlacement()
    })
    this.#jobPoller = new TablePoller(store, JOBS_TABLE, (row) => this.#handleJobRow(row), signal, metrics, {
      maxConcurrentReads: MAX_JOB_READS
    })
  }

  get token (): number {
    return this.#ownership.token
  }

  get isRecovered (): boolean {
    return this.#recovered
  }

  /** Restores the state of the cell from the store and the worker registry, and starts to schedule. */
  async start (): Promise<void> {
    const { log } = this.#dependencies
    this.#committing = this.#commits.run().finally(() => { this.#commitsEnded = true })
    this.#committing.catch(throwUncaught)
    this.#cancelPoller.run().catch(throwUncaught)
    const [listed, control, progress] = await Promise.all([
      this.#readWorkers(),
      this.#readUntilKnown(() => this.#readControl(), CONTROL_TABLE),
      this.#readUntilKnown(() => this.#dependencies.store.read(PROGRESS_TABLE, CELL_PARTITION), PROGRESS_TABLE)
    ])
    if (this.#isEnded || listed === undefined || control === undefined || progress === undefined) return
    const { predecessor } = this.#ownership
    const { lostWorkers, members, drains, takeovers, breakers, crashes, incarnations } = this.#control
    const followers = members.readFollowers(control.rows, predecessor?.token ?? this.token - 1)
    const earlierLeasesEnd = await this.#determineEarlierLeasesEnd(followers)
    if (this.#isEnded) return
    members.restore(control.rows)
    drains.restore(control.rows)
    incarnations.restore(control.rows)
    this.#control.runTimes.restore(control.rows)
    takeovers.restore(control.rows)
    takeovers.add(progress.version, earlierLeasesEnd)
    this.#ownership.earlierLeasesEnd = earlierLeasesEnd
    const lost = lostWorkers.restore(control.rows, followers !== undefined, earlierLeasesEnd)
    for (const worker of lost) this.#workerManager.addLost(worker)
    this.#restoreProgress(progress.rows)
    this.#shares.restore(this.cell.active, performance.now())
    crashes.restore(control.rows)
    for (const worker of listed.workers) this.#workerManager.add(worker)
    breakers.restore(control.rows)
    this.#recovered = true
    // The first leases wait for this commit.
    this.#commits.commitNow()
    this.#tickTimer = setInterval(() => this.#onTick(), TICK_MS)
    log.info({
      token: this.token,
      jobs: this.cell.active.size,
      workers: this.cell.workers.size,
      // Workers that don't answer keep their tasks until then at most.
      earlierLeasesEndInMs: Math.round(earlierLeasesEnd - performance.now()),
      tookMs: Math.round(performance.now() - this.#ownership.ownedBy)
    }, 'cell recovered')
    this.#workerManager.run(listed.version).catch(throwUncaught)
    this.#jobPoller.run().catch(throwUncaught)
    this.#cleanup.run().catch(throwUncaught)
    this.#requestFirstAdvice()
    this.#requestPlacement()
  }

  /** Stops scheduling, stores the progress, and transfers the cell to a successor or, without one, gives it up. */
  async stop (successor?: { node: string, address: string }): Promise<Transfer | undefined> {
    if (this.#isEnded) return undefined
    this.#commits.close()
    await Promise.race([this.#committing, sleep(STOP_WAIT_MS)])
    this.#shutDown()
    if (!this.#commitsEnded) this.#ownership.abandon()
    if (this.#ownership.isLost) return undefined
    return await this.#ownership.transfer(this.#commits.takeFinalRows(), successor)
  }

  /** Adds a job that is already stored. */
  accept (job: Job): void {
    if (!this.#recovered || this.#isEnded || this.cell.jobs.has(job.id)) return
    if (findStepOutOfOrder(job.spec.steps) >= 0) {
      this.#dependencies.log.warn({ job: job.id }, 'job that another node has announced is malformed')
      return
    }
    this.#addJob(job, undefined)
    this.#requestPlacement()
  }

  /** Cancels a job whose cancel row is already stored. */
  cancel (id: string): void {
    if (this.#isEnded) return
    this.#cancelledIds.add(id)
    const job = this.cell.jobs.get(id)
    if (job === undefined || job.cancelled || job.isOver) return
    job.cancelled = true
    this.cell.endJob(job, 'cancelled', 'cancelled by a caller')
    this.#tracker.stopJob(job)
  }

  /** State of a job as shown to callers; undefined when the job is not known. */
  stateOf (id: string): JobState | undefined {
    return this.cell.jobs.get(id)?.storedState
  }

  /** Counts the accepted jobs of a queue without a started task; undefined until all job rows have been read. */
  countPending (queue: string): number | undefined {
    if (!this.#jobPoller.isComplete) return undefined
    let count = 0
    for (const job of this.cell.active) if (!job.started && job.definition.queue.name === queue) count++
    return count
  }

  /** Whether the last confirmed commit is so old that leases may soon be renewed only with the followers' promises. */
  get needsPromises (): boolean {
    return this.#ownership.unconfirmedMs > RENEWAL_GRACE_MS / 2
  }

  /** Records a heartbeat of a follower. */
  recordHeartbeat (node: string, promise: TakeoverPromise | undefined): void {
    this.#control.members.recordHeartbeat(node, promise)
  }

  /** Adds a node through which the policy service can be called. */
  addNode (node: AdviceNode): void {
    this.#advice.addNode(node)
  }

  removeNode (id: string): void {
    this.#control.members.remove(id)
    this.#advice.removeNode(id)
  }

  get #isEnded (): boolean {
    return this.#abortController.signal.aborted
  }

  /** Asked for each waiting step in each placement round, so that the partitions of a job are looked up last. */
  #isCancelKnown (id: string): boolean {
    return this.#cancelPoller.isComplete || performance.now() - this.#ownership.ownedBy > MAX_CANCEL_WAIT_MS ||
      this.#cancelPoller.hasRead(toJobPartitions(id))
  }

  #handleOwnershipLost (reason: string): void {
    if (this.#isEnded) return
    this.#shutDown()
    this.#ownership.abandon()
    this.#onEnd(reason)
  }

  #shutDown (): void {
    clearInterval(this.#tickTimer)
    this.#tracker.close()
    this.#workerManager.close()
    this.#abortController.abort()
  }

  /** Reads until the store answers; undefined when the owner has ended. `what` is a label of a metric. */
  async #readUntilKnown<Value> (read: () => Promise<Outcome<Value>>, what: string): Promise<Value | undefined> {
    return await readWithRetry(read, what, this.#abortController.signal, this.#dependencies.metrics)
  }

  async #readWorkers (): Promise<{ workers: WorkerEntry[], version: number } | undefined> {
    const listed = await this.#readUntilKnown(() => this.#dependencies.registry.list(), 'workers')
    this.cell.registryReadAt = performance.now()
    return listed
  }

  async #readControl (): Promise<Outcome<RowChanges>> {
    const sentAt = readInstant()
    const answer = await this.#dependencies.store.read(CONTROL_TABLE, CELL_PARTITION)
    return answer.ifRight(({ nowMs }) => this.#ownership.clock.record(nowMs, sentAt))
  }

  /**
   * Restores the progress records that earlier owners stored. Job rows without a progress record are read later, since
   * their partitions may be unavailable.
   */
  #restoreProgress (rows: readonly StoredRow[]): void {
    for (const { key, value, version } of rows) {
      const progress = value === undefined ? undefined : decodeProgress(value)
      const startedBy = this.#control.takeovers.startedBy(version)
      if (progress !== undefined) this.#addJob(progress.job ?? placeholderJob(key), progress, startedBy)
      else this.#dependencies.log.warn({ job: key }, 'progress record is malformed')
    }
  }

  #handleJobRow ({ key, value }: StoredRow): void {
    if (value === undefined || this.cell.jobs.has(key)) return
    const job = decodeJob(value)
    if (job === undefined) {
      this.#dependencies.log.warn({ job: key }, 'job row is malformed')
      return
    }
    this.#addJob(job, undefined)
  }

  /** @param startedBy - Monotonic time by which the job's inherited runs have started, in ms, if it is known. */
  #addJob (job: Job, progress: Progress | undefined, startedBy?: number): void {
    const tracked = new TrackedJob(job, performance.now(), Date.now())
    this.cell.add(tracked)
    if (progress !== undefined) tracked.restore(progress, performance.now(), startedBy)
    for (const task of tracked.tasks()) if (task.isAssigned) this.#workerManager.addInheritedRun(task)
    if (tracked.isOver) {
      this.#tracker.stopJob(tracked)
      return
    }
    this.cell.active.add(tracked)
    if (this.#recovered) this.#shares.add(tracked, performance.now())
    this.cell.runTimes.apply(tracked)
    if (this.#cancelledIds.has(job.id)) {
      this.cancel(job.id)
      return
    }
    this.#opener.openDue(tracked)
    this.#requestAdvice(tracked)
    this.#requestPlacement()
  }

  /** Requests advice for the most urgent jobs that are restored. Placement rounds do so for the others. */
  #requestFirstAdvice (): void {
    const ordered = orderSteps([...readySteps(this.cell)], performance.now())
    const jobs = new Set(ordered.slice(0, MAX_FIRST_REQUESTS).map(({ step }) => step.job))
    for (const job of jobs) this.#requestAdvice(job)
  }

  /** Requests advice for a job at once: without it, the next placement round can't place its steps on any worker. */
  #requestAdvice (tracked: TrackedJob): void {
    if (tracked.definition.queue.advice === undefined || !this.#recovered) return
    const pool = this.cell.poolOf(tracked.definition)
    const workers = [...this.cell.workers.values()].filter(({ entry }) => entry.pool === pool)
    for (const steps of tracked.occurrences.values()) {
      for (const step of steps) {
        if (step.isDone || !step.isReady() || !this.cell.accounts.mayStart(step)) continue
        this.#advice.request(step, workers)
      }
    }
  }

  /**
   * Returns the monotonic time by which all leases that earlier owners granted are over, in ms.
   *
   * @param followers - Followers of the last owner that may have granted leases; undefined if they are not known.
   */
  async #determineEarlierLeasesEnd (followers: ReadonlySet<string> | undefined): Promise<number> {
    const { predecessor } = this.#ownership
    if (predecessor === undefined) return this.#ownership.ownedBy
    const lastRenewalBy = await this.#determineLastRenewal(predecessor, followers)
    return Math.max(this.#toEarlierLeasesEnd(predecessor.earlierLeasesEndAt), lastRenewalBy + this.#longestLeaseMs)
  }

  /** Converts the end of leases that an earlier owner has stored to monotonic time, in ms. */
  #toEarlierLeasesEnd (storedEndAt: number | null): number {
    const end = storedEndAt === null ? undefined : this.#ownership.clock.toMonotonic(storedEndAt)
    // The writer's wall clock may have been set ahead. No owner renews leases for longer after it was replaced.
    return Math.min(end ?? Infinity, this.#longestLeasesEnd)
  }

  /**
   * Returns the monotonic time by which an earlier owner has renewed its last lease, in ms. During an outage it needed
   * the promises of all its followers, so that one that makes no more of them is enough.
   */
  async #determineLastRenewal (
    { node, token, hasEnded, replacedBy }: Predecessor, followers: ReadonlySet<string> | undefined
  ): Promise<number> {
    const { clock, ownedBy } = this.#ownership
    const recorded = replacedBy === null ? undefined : clock.toMonotonic(replacedBy)
    const replacedAt = Math.min(ownedBy, recorded ?? ownedBy)
    if (hasEnded) return replacedAt
    // It was a former process of this node, or this one before it lost the cell.
    if (node === this.#options.node) return Math.min(ownedBy, replacedAt + STORE_OUTAGE_GRACE_MS)
    if (followers?.size === 0) return replacedAt + RENEWAL_GRACE_MS
    const promisesEnd = followers === undefined ? Infinity : await this.#dependencies.endPromises(token, followers)
    return Math.min(replacedAt + STORE_OUTAGE_GRACE_MS, Math.max(replacedAt + RENEWAL_GRACE_MS, promisesEnd))
  }

  /** Monotonic time by which leases of earlier owners are over in any case, in ms. */
  get #longestLeasesEnd (): number {
    return this.#ownership.ownedBy + STORE_OUTAGE_GRACE_MS + this.#longestLeaseMs
  }

  /** Time from a renewal until the lease is certainly over, in ms. */
  get #longestLeaseMs (): number {
    return toLongestLeaseMs(chooseLeaseMs(this.#options.leaseLimitMs))
  }

  /** Ends a job whose progress can't be stored. It would keep the progress of all other jobs from being stored. */
  #failTooLarge (job: TrackedJob): void {
    this.cell.log.warn({ job: job.id, maxBytes: this.#options.maxRowBytes }, 'progress is too large for a row')
    this.cell.endJob(job, 'failed', 'its progress is too large for a row')
    this.#tracker.stopJob(job)
  }

  #requestPlacement (): void {
    if (this.#isPlacing) {
      this.#isPlacementDue = true
      return
    }
    if (this.#placementRequested || !this.#recovered || this.#isEnded) return
    this.#placementRequested = true
    const place = () => {
      this.#placementRequested = false
      if (!this.#isEnded) this.#place(this.#placer.runStepwise(), 0)
    }
    const delayMs = this.#nextPlacementAt - performance.now()
    if (delayMs > 1) setTimeout(place, delayMs)
    else setImmediate(place)
  }

  /**
   * Runs a placement round in slices with other work between them.
   *
   * @param spentMs - Time that earlier slices of the round took, in ms.
   */
  #place (round: Generator<void>, spentMs: number): void {
    this.#isPlacing = true
    const startedAt = performance.now()
    let isOver = false
    while (!isOver && performance.now() - startedAt < PLACEMENT_SLICE_MS) isOver = round.next().done === true
    const endedAt = performance.now()
    const tookMs = spentMs + endedAt - startedAt
    if (!isOver) {
      setImmediate(() => { if (!this.#isEnded) this.#place(round, tookMs) })
      return
    }
    this.#isPlacing = false
    this.cell.metrics.recordDuration('placement_time', tookMs)
    this.#nextPlacementAt = endedAt + PLACEMENT_PAUSE_FACTOR * tookMs
    if (this.#isPlacementDue) {
      this.#isPlacementDue = false
      this.#requestPlacement()
    }
  }

  #onTick (): void {
    const now = performance.now()
    this.#opener.tick()
    this.#workerManager.tick(now)
    this.#control.crashes.tick(now)
    this.#rescheduler.tick(now)
    this.cell.runTimes.tick(this.cell, now)
    this.#stalledOrders.tick(now)
    this.#advice.tick()
    this.#requestPlacement()
    this.cell.metrics.set('jobs_active', this.cell.active.size)
    this.cell.metrics.set('workers', this.cell.workers.size)
    this.#load.tick(now, { token: this.token, jobs: this.cell.active.size, workers: this.cell.workers.size })
  }
}

/** Stands for an ended job, whose progress record no longer contains the job itself. */
function placeholderJob (id: string): Job {
  const queue = { name: '', pool: '', priority: 0, maxAttempts: 1, stretch: 1, targetLatencyMs: 0 }
  return { id, queue, acceptedAt: 0, spec: { payload: '', steps: [], occurrences: 0, firstRunAt: 0, intervalMs: 0 } }
}
