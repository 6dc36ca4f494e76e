import type { Demand, JobSpec, RunEndReason, StartOrder, TaskKey, WorkerEntry } from '../types.ts'
import { NO_DEMAND } from '../workers/WorkerState.ts'
import { toTaskName } from './toTaskName.ts'

interface TaskHistory {
  running: Map<string, number>
  doneRun: number | undefined
  /** The owner has acknowledged the successful end. */
  doneAcknowledged: boolean
  /** Runs that have failed. */
  failedRuns: Set<number>
  /** Failed runs whose ends were lost with their worker before an owner had acknowledged them. */
  lostRuns: Set<number>
  /** Workers that crashed while the task was on them. */
  crashes: number
}

/** What the members of a gang share, or a task that is in none. */
interface Progress {
  checkpoints: Set<string>
  /** Checkpoints that the orders of each run have carried. */
  startedFrom: Map<number, string>
}

interface SubmittedJob {
  spec: JobSpec
  maxAttempts: number
  /** Client account that has submitted the job, if any. */
  account: string | undefined
  cancelledAt: number | undefined
}

/**
 * Observes the simulated workers and records violations of the scheduler's invariants: a worker over capacity, two
 * concurrent runs of a task, a run after a known success, a run before the steps that it depends on are done, too many
 * attempts, a wrong checkpoint, a client account above its cap, a run of a job that was cancelled long before, or a
 * state of a job that contradicts its runs.
 */
export class InvariantChecker {
  readonly violations: string[] = []
  /** Caps of a client account that may be in force. Default: none. */
  capsOf: (account: string) => readonly Demand[] = () => []
  readonly #jobs = new Map<string, SubmittedJob>()
  readonly #tasks = new Map<string, TaskHistory>()
  readonly #progress = new Map<string, Progress>()
  readonly #used = new Map<string, Demand>()
  /** What runs of each client account, on all workers. */
  readonly #usedByAccount = new Map<string, Demand>()
  /** Earlier capacities of each worker, with the monotonic time until which they were in force, in ms. */
  readonly #earlierCapacities = new Map<string, Array<{ capacity: Demand, until: number }>>()
  starts = 0
  /** Number of starts that were refused because their ticket had expired. */
  expiredTickets = 0
  /** Number of starts that were refused because their ticket was for an earlier incarnation of the worker. */
  outdatedTickets = 0

  registerJob (id: string, spec: JobSpec, maxAttempts: number, account?: string): void {
    this.#jobs.set(id, { spec, maxAttempts, account, cancelledAt: undefined })
  }

  recordCancellation (id: string): void {
    const job = this.#jobs.get(id)
    if (job !== undefined) job.cancelledAt ??= performance.now()
  }

  /** Records that the capacity of a worker has changed. `capacity` is the one that was in force until now. */
  recordCapacityChange (worker: string, capacity: Demand): void {
    const earlier = this.#earlierCapacities.get(worker) ?? []
    earlier.push({ capacity, until: performance.now() })
    this.#earlierCapacities.set(worker, earlier)
  }

  recordStart ({ key, run, checkpoint = '' }: StartOrder, worker: WorkerEntry): void {
    this.starts++
    const name = toTaskName(key)
    const job = this.#jobs.get(key.job)
    const step = job?.spec.steps[key.step]
    if (job === undefined || step === undefined) {
      this.violations.push(`${name}: started, but no such task was submitted`)
      return
    }
    const history = this.#history(name)
    if (history.running.size > 0 && !step.speculative) {
      const others = [...history.running.keys()]
      this.violations.push(`${name}: run ${run} started on ${worker.id} while another run is on ${others}`)
    }
    const gangSize = this.gangSize(key)
    const members = this.#listMembers(name, gangSize).map((member) => this.#history(member))
    if (members.some(({ doneAcknowledged }) => doneAcknowledged) && !step.longRunning) {
      this.violations.push(`${name}: run ${run} started after the task had succeeded`)
    }
    const knownFailures = this.#listFailedRuns(name, gangSize, true).size
    if (!step.longRunning && knownFailures >= job.maxAttempts) {
      this.violations.push(`${name}: run ${run} started after ${knownFailures} failures`)
    }
    if (job.cancelledAt !== undefined && performance.now() - job.cancelledAt > CANCEL_GRACE_MS) {
      this.violations.push(`${name}: started long after its job was cancelled`)
    }
    for (const earlier of step.after) {
      if (!this.#isStepDone(key.job, key.occurrence, earlier)) {
        this.violations.push(`${name}: started before step ${earlier} was done`)
      }
    }
    this.#checkCheckpoint(key, run, checkpoint)
    history.running.set(worker.id, run)
    const excess = this.#findCapExcess(job.account, step.demand)
    if (excess !== undefined) this.violations.push(`${name}: started while ${job.account} was above its cap, ${excess}`)
    this.#adjustUsage(worker, step, 1)
    this.#adjustAccount(job.account, step.demand, 1)
    if (this.#isOverCapacity(worker)) {
      this.violations.push(`${worker.id}: over capacity after the start of ${name}`)
    }
  }

  recordEnd (name: string, run: number, worker: string, reason: RunEndReason | 'lost'): void {
    const history = this.#history(name)
    history.running.delete(worker)
    if (reason === 'done') history.doneRun = run
    if (reason === 'failed') history.failedRuns.add(run)
    if (reason === 'lost') history.crashes++
    const [job, , step] = name.split('.')
    const submitted = this.#jobs.get(job!)
    const spec = submitted?.spec.steps[Number(step)]
    if (submitted === undefined || spec === undefined) return
    this.#adjustUsage({ id: worker } as WorkerEntry, spec, -1)
    this.#adjustAccount(submitted.account, spec.demand, -1)
  }

  /** Number of members of a task's gang; 1 for a task that is in no gang. */
  gangSize ({ job, step }: { job: string, step: number }): number {
    const spec = this.#jobs.get(job)?.spec.steps[step]
    return spec?.gang === true ? spec.count : 1
  }

  savesProgress ({ job, step }: TaskKey): boolean {
    return this.#jobs.get(job)?.spec.steps[step]?.savesProgress === true
  }

  /** Returns a new checkpoint of a task, which is valid for its gang too. */
  recordCheckpoint (key: TaskKey): string {
    const { checkpoints } = this.#progressOf(key)
    const checkpoint = `${toTaskName(key)}/${checkpoints.size}`
    checkpoints.add(checkpoint)
    return checkpoint
  }

  /** Records a state of a job that was shown to a caller. */
  recordState (id: string, state: string | undefined): void {
    const job = this.#jobs.get(id)
    if (job === undefined) return
    if (state === 'failed' && !this.hasFailed(id) && !this.#mayBeGivenUp(id)) {
      this.violations.push(`${id}: failed without a cause`)
    }
    if (state !== 'completed') return
    for (let occurrence = 0; occurrence < Math.max(1, job.spec.occurrences); occurrence++) {
      const isDone = job.spec.steps.every((_, step) => this.#isStepDone(id, occurrence, step))
      if (!isDone) this.violations.push(`${id}: completed before all tasks of occurrence ${occurrence} were done`)
    }
  }

  /** Records that a worker has crashed, or its lease expired, before an end was acknowledged, which may be unknown. */
  recordLostEnd (name: string, run: number, reason: RunEndReason): void {
    if (reason === 'failed') this.#history(name).lostRuns.add(run)
  }

  /** Records that an end was removed from a worker's list because the owner has acknowledged it. */
  recordAcknowledgement (name: string, run: number): void {
    const history = this.#history(name)
    if (history.doneRun === run) history.doneAcknowledged = true
  }

  /** Whether any task of the job was ever started. */
  hasStarted (id: string): boolean {
    return [...this.#tasks.keys()].some((name) => name.startsWith(`${id}.`))
  }

  /** Whether any task or gang of the job has failed as often as its queue allows. */
  hasFailed (id: string): boolean {
    const job = this.#jobs.get(id)
    if (job === undefined) return false
    return [...this.#tasks.keys()].some((name) => {
      const [owner, , step] = name.split('.')
      if (owner !== id) return false
      return this.#listFailedRuns(name, this.gangSize({ job: id, step: Number(step) })).size >= job.maxAttempts
    })
  }

  isDone (name: string): boolean {
    return this.#history(name).doneRun !== undefined
  }

  /** Number of current runs of a task. */
  countRunning (name: string): number {
    return this.#history(name).running.size
  }

  #history (name: string): TaskHistory {
    let history = this.#tasks.get(name)
    if (history === undefined) {
      this.#tasks.set(name, history = {
        running: new Map(),
        doneRun: undefined,
        doneAcknowledged: false,
        failedRuns: new Set(),
        lostRuns: new Set(),
        crashes: 0
      })
    }
    return history
  }

  /**
   * Runs of a task, or of its gang, that have failed. A run of a gang has failed when one of its members has.
   *
   * @param gangSize - Number of members of the gang; 1 for a task that is in none.
   * @param isKnown - Leaves out runs whose failures nobody may know. Default: false.
   */
  #listFailedRuns (name: string, gangSize: number, isKnown = false): Set<number> {
    return new Set(this.#listMembers(name, gangSize).flatMap((member) => {
      const { failedRuns, lostRuns } = this.#history(member)
      return [...failedRuns].filter((run) => !isKnown || !lostRuns.has(run))
    }))
  }

  #listMembers (name: string, gangSize: number): string[] {
    const step = name.slice(0, name.lastIndexOf('.'))
    return gangSize === 1 ? [name] : Array.from({ length: gangSize }, (_, index) => `${step}.${index}`)
  }

  /** Whether all tasks of a step have succeeded. The success of one member of a gang is that of all. */
  #isStepDone (job: string, occurrence: number, step: number): boolean {
    const { count, gang } = this.#jobs.get(job)!.spec.steps[step]!
    const names = Array.from({ length: count }, (_, index) => toTaskName({ job, occurrence, step, index }))
    return gang ? names.some((name) => this.isDone(name)) : names.every((name) => this.isDone(name))
  }

  /** Whether enough workers have crashed under a task of the job that it may be given up. */
  #mayBeGivenUp (id: string): boolean {
    return [...this.#tasks].some(([name, { crashes }]) => name.startsWith(`${id}.`) && crashes >= MIN_CRASHES_TO_GIVE_UP)
  }

  #progressOf (key: TaskKey): Progress {
    const name = this.gangSize(key) === 1 ? toTaskName(key) : `${key.job}.${key.occurrence}.${key.step}`
    const progress = this.#progress.get(name) ?? { checkpoints: new Set(), startedFrom: new Map() }
    this.#progress.set(name, progress)
    return progress
  }

  #checkCheckpoint (key: TaskKey, run: number, checkpoint: string): void {
    const { checkpoints, startedFrom } = this.#progressOf(key)
    if (checkpoint !== '' && !checkpoints.has(checkpoint)) {
      this.violations.push(`${toTaskName(key)}: run ${run} started from ${checkpoint}, which is not its checkpoint`)
    }
    const other = startedFrom.get(run) ?? checkpoint
    startedFrom.set(run, checkpoint)
    if (other !== checkpoint) {
      this.violations.push(`${toTaskName(key)}: run ${run} started from "${checkpoint}", another member from "${other}"`)
    }
  }

  /** Whether the runs of a worker need more than its capacity, and more than every capacity that still counts. */
  #isOverCapacity ({ id, capacity }: WorkerEntry): boolean {
    const used = this.#used.get(id)!
    const since = performance.now() - CAPACITY_GRACE_MS
    const earlier = (this.#earlierCapacities.get(id) ?? []).filter(({ until }) => until > since)
    const inForce = [capacity, ...earlier.map((change) => change.capacity)]
    return RESOURCES.some((resource) => inForce.every((limits) => used[resource] > limits[resource]))
  }

  /** What an account had running before a start, if that was above each cap that may be in force. */
  #findCapExcess (account: string | undefined, demand: Demand): string | undefined {
    const caps = account === undefined ? [] : this.capsOf(account)
    if (caps.length === 0) return undefined
    const used = this.#usedByAccount.get(account!) ?? NO_DEMAND
    const isAbove = RESOURCES.some((resource) => demand[resource] > 0 &&
      caps.every((cap) => cap[resource] > 0 && used[resource] > CAP_TOLERANCE * cap[resource]))
    return isAbove ? JSON.stringify({ used, caps }) : undefined
  }

  #adjustAccount (account: string | undefined, demand: Demand, sign: number): void {
    if (account === undefined) return
    const used = this.#usedByAccount.get(account) ?? NO_DEMAND
    this.#usedByAccount.set(account, {
      cpuMillis: used.cpuMillis + sign * demand.cpuMillis,
      memoryMb: used.memoryMb + sign * demand.memoryMb,
      accelerators: used.accelerators + sign * demand.accelerators
    })
  }

  #adjustUsage (worker: WorkerEntry, { demand, fills }: JobSpec['steps'][number], sign: number): void {
    const used = this.#used.get(worker.id) ?? { ...NO_DEMAND }
    used.cpuMillis += fills ? 0 : sign * demand.cpuMillis
    used.memoryMb += sign * demand.memoryMb
    used.accelerators += sign * demand.accelerators
    this.#used.set(worker.id, used)
  }
}

const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const

/** Time after a worker's capacity has shrunk from which starts have to respect it, in ms. */
const CAPACITY_GRACE_MS = 4_500

/** Factor of a cap from which no further task may start, by the rules of the job API. */
const CAP_TOLERANCE = 1.1

/** Time after a cancellation from which no task of the job may start, in ms. */
const CANCEL_GRACE_MS = 3_000

/** Number of workers that have crashed under a task from which its job may be given up. */
const MIN_CRASHES_TO_GIVE_UP = 2
