import { Type, type Static } from '@sinclair/typebox'
import type { TaskInstance } from '../model/index.ts'
import { isCrashSuspect, isCrashCause } from '../placement/isCrashCause/index.ts'
import { SURVIVAL_MS, classifyCrash, hasSurvived, type CrashEvidence, type AffectedRun } from '../placement/classifyCrash/index.ts'
import type { Commit, StoredRow } from '../ports.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'
import { ControlRow } from './ControlRow.ts'

/** Time after the confirmed start of a suspect for which no other task starts on its worker, in ms. */
const ISOLATION_MS = 500

/**
 * Time after the confirmed start of a suspect for which no other one starts on its worker, in ms. A crash is noticed up
 * to half a second late, and would count as that of the later one alone.
 */
const SUSPECT_INTERVAL_MS = 2_000

/** Longest wait of a suspect for another isolated one of its job, in ms. */
const MAX_ISOLATION_WAIT_MS = 1_000

/**
 * Longest wait of a suspect of a single crash for a worker of its own, in ms. A crash right after the starts of many
 * tasks makes suspects of all of them, most of which are not its cause.
 */
const MAX_SINGLE_WAIT_MS = 2_000

/** Time between the losses of two workers up to which they may have one cause, in ms: silent workers time out. */
const COINCIDENCE_MS = 800

/** A loss within this time after an order for a task that is no suspect is explained by it, in ms. */
const EXPLAINED_MS = 100

/** Time for which the loss of a worker is remembered, in ms; longer than leases last. */
const KEEP_LOSS_MS = 30_000

/** Most tasks in the record, so that it stays below 50 kB. Those with least evidence are left out. */
const MAX_TASKS = 400

/** Cost of each task that the crash of a suspect's worker would end too, in units of one worker's capacity. */
const NEIGHBOR_COST = 2

/** Cost of a worker that suspects would have to share, so that they do so only where all workers are taken. */
const SHARED_ISOLATION_COST = 1_000_000

// The store holds indices into this list, so its order must not change.
const EVIDENCE = ['weak', 'present', 'last', 'alone'] as const

/**
 * For each task the occurrence, step and index after the id of its job, and for each worker that ended under it since
 * it last survived a run, the worker's incarnation and the evidence.
 */
const CrashesRow = Type.Array(Type.Tuple([
  Type.String(), Type.Integer(), Type.Integer(), Type.Integer(),
  Type.Array(Type.Tuple([Type.String(), Type.Integer({ minimum: 0, maximum: EVIDENCE.length - 1 })]))
]))

interface Crash {
  /** Incarnation of the worker. */
  worker: string
  evidence: CrashEvidence
}

/**
 * Counts for each task the workers that ended unplanned while it was there, and stores the counts with the next commit,
 * so that the task's next run can't start before. Suspects start isolated: on workers that get no other task for a
 * while, and apart from other suspects. Those of a single crash that have waited for long may start together.
 */
export class CrashRecord {
  readonly #cell: Cell
  readonly #row: ControlRow<typeof CrashesRow>
  readonly #crashes = new Map<TaskInstance, Crash[]>()
  /** The suspects that were started last on each worker; several if they were started together. */
  readonly #isolated = new Map<string, Set<TaskInstance>>()
  /** Incarnations that don't answer or have ended: since when, in monotonic ms, and whether an order explains it. */
  readonly #losses = new Map<string, { at: number, isExplained: boolean }>()
  #isChanged = false

  constructor (cell: Cell) {
    this.#cell = cell
    this.#row = new ControlRow('crashes', CrashesRow, 'tasks on workers that crashed', cell.log)
  }

  /** Restores the counts of the known tasks from the rows of `CONTROL_TABLE`. */
  restore (rows: readonly StoredRow[]): void {
    for (const [job, occurrence, step, index, crashes] of this.#row.read(rows) ?? []) {
      const task = this.#cell.findTask({ job, occurrence, step, index })
      if (task === undefined || task.status === 'done' || task.step.job.isOver) continue
      this.#crashes.set(task, crashes.map(([worker, evidence]) => ({ worker, evidence: EVIDENCE[evidence]! })))
      if (task.isAssigned) this.recordStart(task, { id: task.worker! })
    }
  }

  /** Returns the row to write with the next commit, if the counts have changed. */
  takeWrites (): Commit['puts'] {
    if (!this.#isChanged) return []
    this.#isChanged = false
    this.#prune()
    const rows = [...this.#crashes].map(([{ key }, crashes]): Static<typeof CrashesRow>[number] => [
      key.job, key.occurrence, key.step, key.index,
      crashes.map(({ worker, evidence }) => [worker, EVIDENCE.indexOf(evidence)])
    ])
    return this.#row.toWrites(rows)
  }

  isSuspect (task: TaskInstance): boolean {
    const crashes = this.#crashes.get(task)
    return crashes !== undefined && isCrashSuspect(crashes.map(toEvidence))
  }

  hasSuspectsAmong (tasks: readonly TaskInstance[]): boolean {
    return this.#crashes.size > 0 && tasks.some((task) => this.isSuspect(task))
  }

  /** Whether suspicions let a task start on a worker now. */
  mayStart (task: TaskInstance, worker: WorkerState, now: number): boolean {
    if (this.#crashes.size === 0) return true
    const isolated = this.#findIsolated(worker.id, now)
    if (isolated !== undefined && !isolated.has(task)) return this.#mayShareIsolation(task, isolated, now)
    if (!this.isSuspect(task)) return true
    if (this.#hasRecentSuspect(worker, now)) return false
    // Others may never start apart: a gang may have one worker for several members.
    if (now - task.waitingSince >= MAX_ISOLATION_WAIT_MS) return true
    // Members of a gang are placed before any of them is assigned.
    if ([...worker.tasks].some((other) => other.status === 'starting' && this.isSuspect(other))) return false
    return !this.#hasIsolatedSuspectOf(task, now)
  }

  /** Cost of a worker for a task, beside others, in units of one worker's capacity. */
  computeCost (task: TaskInstance, worker: WorkerState): number {
    if (this.#crashes.size === 0 || !this.isSuspect(task)) return 0
    const isolated = this.#findIsolated(worker.id, this.#cell.now())
    return NEIGHBOR_COST * worker.tasks.size + (isolated === undefined ? 0 : SHARED_ISOLATION_COST)
  }

  /** Records an assignment. */
  recordStart (task: TaskInstance, worker: Pick<WorkerState, 'id'>): void {
    if (!this.isSuspect(task)) return
    const now = this.#cell.now()
    const isolated = this.#findIsolated(worker.id, now)
    if (isolated !== undefined && this.#mayShareIsolation(task, isolated, now)) isolated.add(task)
    else this.#isolated.set(worker.id, new Set([task]))
  }

  /** Records that a worker doesn't answer any more, or answers again. */
  recordReachability (worker: WorkerState): void {
    if (worker.reachable) {
      this.#losses.delete(worker.incarnation)
      this.#retract(worker.incarnation)
      // What was counted before the worker had told its start: it may have been this incarnation.
      this.#retract(worker.id)
    } else this.#losses.set(worker.incarnation, this.#toLoss(worker))
  }

  /** Clears a task whose run has ended by itself or lasted: it doesn't end each worker that starts it. */
  clear (task: TaskInstance): void {
    // Otherwise a later owner would restore evidence that the task has outlived.
    if (this.#crashes.delete(task)) this.#isChanged = true
  }

  /** Clears tasks that have survived a start, and forgets old losses. `now` is monotonic time in ms. */
  tick (now: number): void {
    for (const [task] of this.#crashes) {
      const { status, startedAt, step } = task
      if (status === 'done' || step.job.isOver || (status === 'running' && now - startedAt > SURVIVAL_MS &&
        this.#cell.workers.get(task.worker!)?.reachable === true)) this.clear(task)
    }
    for (const [incarnation, { at }] of this.#losses) if (now - at > KEEP_LOSS_MS) this.#losses.delete(incarnation)
    // While a worker doesn't answer, it is open whether its suspect has survived.
    for (const id of this.#isolated.keys()) {
      if (this.#cell.workers.get(id)?.reachable !== false && this.#findIsolated(id, now) === undefined) {
        this.#isolated.delete(id)
      }
    }
    this.#cell.metrics.set('crash_suspects', [...this.#crashes.keys()].filter((task) => this.isSuspect(task)).length)
  }

  /**
   * Records the unplanned end of a worker, before its tasks are requeued.
   *
   * @param isCertain - Whether the worker has ended. Otherwise it may answer again, and its record is withdrawn then.
   * @returns The tasks that cause the ends of several workers.
   */
  recordCrash (worker: WorkerState, isCertain: boolean): TaskInstance[] {
    const loss = this.#losses.get(worker.incarnation) ?? this.#toLoss(worker)
    // When a worker was lost that never answered this owner is not known.
    if (worker.hasAnswered) this.#losses.set(worker.incarnation, loss)
    const tasks = [...worker.tasks].filter(({ mayHaveBegun, step: { job } }) =>
      mayHaveBegun && !job.isOver && !job.cancelled)
    const unexplainedLosses = this.#countUnexplained(worker, loss.at)
    const runs = tasks.map((task) => this.#toAffectedRun(task, worker.id, loss.at))
    const evidence = classifyCrash(runs, { unexplainedLosses, workers: this.#cell.workers.size, isCertain })
    this.#isolated.delete(worker.id)
    this.#cell.metrics.count('worker_crashes', { cause: unexplainedLosses > 0 ? 'common' : 'single' })
    return tasks.filter((task, index) =>
      this.#add(task, worker, evidence[index], runs[index]!, unexplainedLosses))
  }

  /** Adds evidence against a task. Returns whether the task is to be given up. */
  #add (
    task: TaskInstance, worker: WorkerState, evidence: CrashEvidence | undefined, affected: AffectedRun,
    unexplainedLosses: number
  ): boolean {
    if (evidence === undefined) {
      if (hasSurvived(affected)) this.clear(task)
      return false
    }
    const earlier = this.#crashes.get(task) ?? []
    // An owner may end after it has stored the record and before it has stored that the task waits again.
    if (earlier.some((crash) => crash.worker === worker.incarnation)) return isCrashCause(earlier.map(toEvidence))
    const crashes = [...earlier, { worker: worker.incarnation, evidence }]
    this.#crashes.set(task, crashes)
    this.#isChanged = true
    this.#cell.metrics.count('task_crashes', { evidence })
    if (this.isSuspect(task)) {
      const { step, index, run } = task
      const ageMs = affected.ageMs === undefined ? undefined : Math.round(affected.ageMs)
      const { id, startedAt } = worker
      this.#cell.log.warn({
        job: step.job.id,
        task: `${step.name}.${index}`,
        run,
        worker: id,
        startedAt,
        crashes: crashes.length,
        evidence,
        ageMs,
        unexplainedLosses
      }, 'task may have crashed its worker')
    }
    return isCrashCause(crashes.map(toEvidence))
  }

  #toAffectedRun (task: TaskInstance, worker: string, lostAt: number): AffectedRun {
    const ageMs = task.orderedAt === undefined ? undefined : lostAt - task.orderedAt
    // While it is isolated, no other task has started there since.
    const isIsolated = this.#isolated.get(worker)?.has(task) === true && this.isSuspect(task) && ageMs !== undefined &&
      ageMs <= ISOLATION_MS
    const confirmedMs = task.confirmedAt === undefined ? undefined : lostAt - task.confirmedAt
    return { ageMs, confirmedMs, isIsolated }
  }

  #toLoss (worker: WorkerState): { at: number, isExplained: boolean } {
    const at = worker.unreachableSince ?? this.#cell.now()
    const isExplained = [...worker.tasks].some((task) => {
      if (!task.mayHaveBegun) return false
      const { ageMs } = this.#toAffectedRun(task, worker.id, at)
      // Suspects whose workers are lost at the same moment must not hide each other.
      const explainedMs = this.isSuspect(task) ? SURVIVAL_MS : EXPLAINED_MS
      return ageMs !== undefined && ageMs <= explainedMs
    })
    return { at, isExplained }
  }

  /** Number of other workers that were lost at about the same time without an order that explains it. */
  #countUnexplained (worker: WorkerState, lostAt: number): number {
    let count = 0
    for (const [incarnation, { at, isExplained }] of this.#losses) {
      if (incarnation !== worker.incarnation && !isExplained && Math.abs(at - lostAt) <= COINCIDENCE_MS) count++
    }
    return count
  }

  /** Withdraws the evidence from an incarnation that has not ended. */
  #retract (incarnation: string): void {
    for (const [task, crashes] of this.#crashes) {
      const others = crashes.filter((crash) => crash.worker !== incarnation)
      if (others.length === crashes.length) continue
      if (others.length === 0) this.#crashes.delete(task)
      else this.#crashes.set(task, others)
      this.#isChanged = true
    }
  }

  #hasIsolatedSuspectOf ({ step }: TaskInstance, now: number): boolean {
    for (const id of this.#isolated.keys()) {
      for (const task of this.#findIsolated(id, now) ?? []) if (task.step.job === step.job) return true
    }
    return false
  }

  /** Whether a suspect has started on a worker so lately that a crash of it may not be noticed yet. */
  #hasRecentSuspect ({ tasks }: WorkerState, now: number): boolean {
    for (const task of tasks) {
      if (task.status === 'running' && now - task.startedAt < SUSPECT_INTERVAL_MS && this.isSuspect(task)) return true
    }
    return false
  }

  /** Finds the suspects for which a worker gets no other task; undefined when there are none. */
  #findIsolated (worker: string, now: number): Set<TaskInstance> | undefined {
    const suspects = this.#isolated.get(worker)
    if (suspects === undefined) return undefined
    for (const task of suspects) if (this.#isIsolated(task, worker, now)) return suspects
    return undefined
  }

  /** Whether a suspect may start together with others that were assigned to a worker in the same placement round. */
  #mayShareIsolation (task: TaskInstance, isolated: ReadonlySet<TaskInstance>, now: number): boolean {
    const hasWaited = (other: TaskInstance) => this.isSuspect(other) && this.#crashes.get(other)!.length === 1 &&
      now - other.waitingSince >= MAX_SINGLE_WAIT_MS
    if (!hasWaited(task)) return false
    for (const other of isolated) if (other.orderSent || !hasWaited(other)) return false
    return true
  }

  /** Whether a suspect has just started on a worker, or may do so any moment. */
  #isIsolated (task: TaskInstance, worker: string, now: number): boolean {
    if (task.worker !== worker || !this.#crashes.has(task)) return false
    return task.status === 'starting' || (task.status === 'running' && now - task.startedAt < ISOLATION_MS)
  }

  #prune (): void {
    if (this.#crashes.size <= MAX_TASKS) return
    const weakestFirst = [...this.#crashes].sort(([, a], [, b]) => toWeight(a) - toWeight(b))
    for (const [task] of weakestFirst.slice(0, this.#crashes.size - MAX_TASKS)) this.#crashes.delete(task)
  }
}

function toEvidence ({ evidence }: Crash): CrashEvidence {
  return evidence
}

function toWeight (crashes: readonly Crash[]): number {
  return crashes.reduce((sum, { evidence }) => sum + 1 + EVIDENCE.indexOf(evidence), 0)
}
