import { failureOf, throwUncaught, sleep, valueOf } from '@gypsumspring/protocol'
import type { TaskInstance } from '../model/index.ts'
import { MAX_IDLE_POLLS_PER_S, MAX_POLL_WAIT_MS, POLL_WAIT_MS, UNLISTED_GRACE_MS } from '../constants/index.ts'
import type { WorkerConnector, WorkerInventory, WorkerRegistry } from '../ports.ts'
import type { WorkerEntry, WorkerReport } from '../types.ts'
import { AnswerLoss } from '../workers/AnswerLoss.ts'
import { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'
import type { CrashRecord } from './CrashRecord.ts'
import type { DrainRecord } from './DrainRecord.ts'
import { EndedWorkerDetector } from './EndedWorkerDetector.ts'
import type { RunTracker } from './RunTracker.ts'
import { WorkerSession, toLongestLeaseMs, type WorkerSessionContext } from './WorkerSession.ts'
import type { WorkerCircuitBreaker } from './WorkerCircuitBreaker.ts'
import type { LostWorker } from './LostWorkerRecords.ts'
import { readWithRetry } from './readWithRetry.ts'

/** Time until a draining worker is assumed to leave when its entry gives none, in ms. */
const DEFAULT_DRAIN_MS = 2_000

/** Longest wait of one registry read for new changes, in ms. */
const REGISTRY_WAIT_MS = 1_000

/** Delay after a failed registry read, in ms. */
const REGISTRY_RETRY_DELAY_MS = 100

/** Parts of the owner that the manager uses. */
export interface WorkerManagerDependencies {
  cell: Cell
  registry: WorkerRegistry
  connector: WorkerConnector
  inventory?: WorkerInventory
  tracker: RunTracker
  breaker: WorkerCircuitBreaker
  drains: DrainRecord
  crashes: CrashRecord
  /** Sessions by worker id; shared with the tracker, which sends orders through them. */
  sessions: Map<string, WorkerSession>
  /** Aborted when the owner ends. */
  signal: AbortSignal
}

/** What the manager and its sessions need from the owner of the cell. */
export interface WorkerManagerContext extends Pick<
  WorkerSessionContext, 'token' | 'leaseMs' | 'mayRenewLeases' | 'waitUntilStored'
> {
  /** Called when a worker has already accepted a higher token, from a newer owner. */
  onFenced (): void
  /** Monotonic time by which all task leases granted by earlier owners are over, in ms. */
  earlierLeasesEnd (): number
  /** Whether the store has, or may have, a record of a worker as lost. */
  isRecordedAsLost (id: string): boolean
  /** Start of the last incarnation of a worker that an earlier owner has known, by the worker's clock, in Unix ms. */
  recordedStart (id: string): number | undefined
  /** Called when a worker that is recorded as lost answers. */
  onLostWorkerFound (): void
}

/** Tracks the workers of a cell as the registry lists, changes and removes them, with a session for each. */
export class WorkerManager {
  readonly #dependencies: WorkerManagerDependencies
  readonly #context: WorkerManagerContext
  readonly #answerLoss = new AnswerLoss()
  readonly #endedWorkers: EndedWorkerDetector | undefined
  #started = false

  constructor (dependencies: WorkerManagerDependencies, context: WorkerManagerContext) {
    this.#dependencies = dependencies
    this.#context = context
    const { cell, inventory, signal } = dependencies
    if (inventory === undefined) return
    this.#endedWorkers = new EndedWorkerDetector(cell, inventory, (worker) => {
      this.#remove(worker, 'the inventory shows that it has ended')
    }, signal)
  }

  /** Starts the sessions and follows the registry from a version on. */
  async run (version: number): Promise<void> {
    this.#started = true
    await Promise.all([
      ...[...this.#dependencies.sessions.values()].map((session) => session.run()), this.#watchRegistry(version)
    ])
  }

  close (): void {
    for (const session of this.#dependencies.sessions.values()) session.close()
  }

  add (entry: WorkerEntry): void {
    const { cell, sessions } = this.#dependencies
    const known = cell.workers.get(entry.id)
    if (known !== undefined && sessions.has(entry.id)) {
      this.#update(known, entry)
      return
    }
    const worker = known ?? this.#createState(entry)
    cell.workers.set(entry.id, worker)
    this.#openSession(worker, entry)
    this.#update(worker, entry)
  }

  /**
   * Adds a worker that an earlier owner has recorded as lost. If that owner knew its address, it is polled, since it
   * may be reachable again.
   */
  addLost ({ entry, leaseEndsBy }: LostWorker): void {
    const worker = this.#addUnlisted(entry, leaseEndsBy)
    if (entry.address !== '') this.#openSession(worker, entry)
  }

  #openSession (worker: WorkerState, entry: WorkerEntry): void {
    const { cell, sessions, connector, tracker } = this.#dependencies
    const { token, leaseMs, mayRenewLeases, waitUntilStored, onFenced } = this.#context
    const session = new WorkerSession(worker, entry.address, connector.open(entry), {
      token,
      leaseMs,
      log: cell.log,
      answerLoss: this.#answerLoss,
      pollWaitMs: () => choosePollWaitMs(cell.workers.size),
      mayRenewLeases,
      waitUntilStored,
      onFenced,
      onReport: (state, report, sentAt) => tracker.reconcile(state, report, sentAt),
      onRestart: (state, report) => this.#handleRestart(state, report),
      onExpired: (state) => {
        // Several calls tell it, some of them after the next incarnation was added and its entry has changed.
        if (cell.workers.get(state.id) !== state) return
        this.#remove(state, 'another incarnation answers')
        // The next incarnation may have registered at another address before the end of this one was noticed.
        if (state.unlistedSince === undefined && state.entry.address !== session.address) this.add(state.entry)
      },
      onReachabilityChange: (state) => {
        this.#dependencies.crashes.recordReachability(state)
        cell.log.info({ worker: state.id, reachable: state.reachable }, 'worker reachability changed')
        if (!state.reachable) return
        cell.notifyChange()
        if (state.isRecordedAsLost) this.#context.onLostWorkerFound()
      }
    })
    sessions.set(entry.id, session)
    if (this.#started) session.run().catch(throwUncaught)
  }

  /** Replaces a worker by its next incarnation, which knows nothing of it and has shown itself with a report. */
  #handleRestart (worker: WorkerState, report: WorkerReport): void {
    const { cell } = this.#dependencies
    if (cell.workers.get(worker.id) !== worker) return
    const { entry, unlistedSince, startedAt: previousStartedAt, storedEndSequence, processedEndSequence } = worker
    cell.metrics.count('workers_restarted')
    cell.log.warn({
      worker: worker.id,
      startedAt: report.startedAt,
      previousStartedAt,
      tasks: worker.tasks.size,
      clockMs: report.clockMs,
      // Numbers of the previous incarnation; the poll that was answered has acknowledged ends up to the stored one.
      storedEnd: storedEndSequence,
      processedEnd: processedEndSequence,
      listedEnds: report.ended.map(({ sequence }) => sequence),
      running: report.running.length
    }, 'worker has started again under its id')
    this.#end(worker, 'started again')
    const next = this.#createState(entry, performance.now() + toLongestLeaseMs(this.#context.leaseMs))
    next.startedAt = report.startedAt
    cell.workers.set(worker.id, next)
    this.#openSession(next, entry)
    this.#update(next, entry)
    next.unlistedSince = unlistedSince
  }

  /** Adds a worker that the registry has not listed to this owner. */
  #addUnlisted (entry: WorkerEntry, leaseEndsBy?: number): WorkerState {
    const worker = this.#createState(entry, leaseEndsBy)
    worker.unlistedSince = performance.now()
    this.#dependencies.cell.workers.set(entry.id, worker)
    return worker
  }

  #createState (entry: WorkerEntry, leaseEndsBy = this.#context.earlierLeasesEnd()): WorkerState {
    const worker = new WorkerState(entry, leaseEndsBy)
    worker.isRecordedAsLost = this.#context.isRecordedAsLost(entry.id)
    // The tasks that are stored for the worker were placed on this incarnation.
    worker.startedAt = this.#context.recordedStart(entry.id)
    return worker
  }

  /** Adds a run started by an earlier owner to its worker, which may no longer be registered. */
  addInheritedRun (task: TaskInstance): void {
    const id = task.worker!
    const worker = this.#dependencies.cell.workers.get(id) ?? this.#addUnlisted(placeholderEntry(id))
    worker.add(task)
  }

  /**
   * Handles unreachable workers: requeues their tasks when the lease has ended, and removes those that have ended by
   * the inventory, and those without tasks that the registry has not listed for `UNLISTED_GRACE_MS`.
   */
  tick (now: number): void {
    for (const worker of [...this.#dependencies.cell.workers.values()]) {
      if (worker.reachable) continue
      this.#followAddress(worker)
      if (worker.leaseEndsBy < now) {
        this.#handleLoss(worker, 'lease ended without an answer', false)
      }
      const unlistedMs = worker.unlistedSince === undefined ? 0 : now - worker.unlistedSince
      if (unlistedMs > UNLISTED_GRACE_MS && !worker.isInUse) this.#remove(worker, 'not registered any more')
    }
    this.#endedWorkers?.tick(now)
  }

  /** Calls a worker that doesn't answer where its entry says, which may be that of its next incarnation. */
  #followAddress (worker: WorkerState): void {
    const { sessions } = this.#dependencies
    const session = sessions.get(worker.id)
    if (session === undefined || worker.entry.address === session.address) return
    session.close()
    this.#openSession(worker, worker.entry)
  }

  #update (worker: WorkerState, entry: WorkerEntry): void {
    const { cell, drains } = this.#dependencies
    if (!entry.draining) {
      // The entry of the next incarnation doesn't show that this one, which has not been missed yet, left unplanned.
      if (worker.mayOwn(entry)) drains.remove(entry.id)
      worker.leavesAt = undefined
    } else if (worker.leavesAt === undefined) {
      const now = performance.now()
      worker.leavesAt = drains.add(entry.id, now + (entry.leavesInMs ?? DEFAULT_DRAIN_MS))
      const remainingMs = Math.round(worker.leavesAt - now)
      cell.log.info({ worker: entry.id, leavesInMs: entry.leavesInMs, remainingMs }, 'worker is draining')
    }
    worker.entry = entry
    worker.unlistedSince = undefined
    cell.notifyChange()
  }

  /**
   * Handles the tasks of a worker that is lost.
   *
   * @param isCertain - Whether the worker has ended; without it, it may be out of reach.
   */
  #handleLoss (worker: WorkerState, reason: string, isCertain: boolean): void {
    const { tracker, drains } = this.#dependencies
    tracker.releaseAllLingering(worker)
    if (worker.tasks.size === 0) return
    // A worker that drains is expected to leave.
    if (drains.has(worker.id)) tracker.requeueLostTasks(worker, reason)
    else tracker.handleCrash(worker, reason, isCertain)
  }

  #remove (worker: WorkerState, reason: string): void {
    const { cell } = this.#dependencies
    if (cell.workers.get(worker.id) !== worker) return
    this.#end(worker, reason)
    cell.workers.delete(worker.id)
    cell.log.info({ worker: worker.id, reason }, 'worker removed')
  }

  /** Handles the end of an incarnation, and forgets what is known of it by its id, which may be used again. */
  #end (worker: WorkerState, reason: string): void {
    const { cell, sessions, breaker, drains } = this.#dependencies
    const { id } = worker
    this.#handleLoss(worker, reason, true)
    sessions.get(id)?.close()
    sessions.delete(id)
    breaker.remove(id)
    drains.remove(id)
    for (const job of cell.active) {
      for (const steps of job.occurrences.values()) for (const { advice } of steps) advice.forget(id)
    }
  }

  async #watchRegistry (from: number): Promise<void> {
    const { cell, registry, signal } = this.#dependencies
    let version = from
    while (!signal.aborted) {
      const outcome = await registry.changes(version, REGISTRY_WAIT_MS)
      const changes = valueOf(outcome)
      if (changes !== undefined) {
        version = changes.version
        for (const worker of changes.workers) this.add(worker)
        for (const id of changes.removed) this.#markUnlisted(id)
        cell.registryReadAt = performance.now()
        continue
      }
      await sleep(REGISTRY_RETRY_DELAY_MS)
      if (failureOf(outcome)?.reason === 'not-found') version = await this.#reload(version)
    }
  }

  async #reload (version: number): Promise<number> {
    const { registry, signal, cell } = this.#dependencies
    const listed = await readWithRetry(() => registry.list(), 'workers', signal, cell.metrics)
    if (listed === undefined) return version
    const present = new Set(listed.workers.map(({ id }) => id))
    for (const worker of listed.workers) this.add(worker)
    for (const id of cell.workers.keys()) if (!present.has(id)) this.#markUnlisted(id)
    cell.registryReadAt = performance.now()
    return listed.version
  }

  #markUnlisted (id: string): void {
    const worker = this.#dependencies.cell.workers.get(id)
    if (worker !== undefined) worker.unlistedSince ??= performance.now()
  }
}

/** Time that the polls of a cell with this number of workers wait for a run to end, in ms. */
function choosePollWaitMs (workers: number): number {
  return Math.round(Math.min(Math.max(POLL_WAIT_MS, 1_000 * workers / MAX_IDLE_POLLS_PER_S), MAX_POLL_WAIT_MS))
}

/** Stands for the entry of a worker whose runs are known, but which the registry doesn't list or hasn't listed yet. */
function placeholderEntry (id: string): WorkerEntry {
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
