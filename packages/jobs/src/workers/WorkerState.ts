import type { StepInstance, TaskInstance } from '../model/index.ts'
import type { Demand, RunOrder, TaskKey, WorkerEntry } from '../types.ts'

/** No resources. */
export const NO_DEMAND: Demand = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** The owner's view of one incarnation of a worker. */
export class WorkerState {
  entry: WorkerEntry
  /** Start of this incarnation by the worker's own clock, in Unix ms; undefined until it has told one. */
  startedAt: number | undefined
  /** Tasks whose runs use resources of the worker, including runs that may not have been started. */
  readonly tasks = new Set<TaskInstance>()
  /**
   * Members of gangs that have succeeded by the end of another member, while the worker has not listed theirs. They use
   * resources until then. The values are the monotonic times since which they are waited for, in ms.
   */
  readonly lingering = new Map<TaskInstance, number>()
  usedCpuMillis = 0
  usedMemoryMb = 0
  usedAccelerators = 0
  /** CPU demand of the filler tasks, in thousandths of a processor. */
  fillerCpuMillis = 0
  /** Monotonic time by which every lease that was given to the worker has certainly expired, in ms. */
  leaseEndsBy: number
  /** Monotonic time since which the worker has not answered this owner, in ms; undefined while it is reachable. */
  unreachableSince: number | undefined = performance.now()
  /** The store has, or may have, a record from which a later owner knows when the leases on the worker end. */
  isRecordedAsLost = false
  /** The worker has answered a poll since this owner took over, which fences earlier owners. */
  hasAnswered = false
  /** Monotonic time since which the worker is missing from the registry; undefined while it is registered. */
  unlistedSince: number | undefined
  /** Monotonic time at which a draining worker leaves; undefined when it is not draining. */
  leavesAt: number | undefined
  /** Sequence number of the last end that was processed. */
  processedEndSequence = 0
  /** Sequence number of the last end whose effects are stored. */
  storedEndSequence = 0
  /**
   * The last report listed unowned runs: runs that match no assigned task, such as those of a job that ended under an
   * earlier owner. Their resource usage is unknown, so the worker gets no tasks until they have ended.
   */
  hasUnownedRuns = false
  /** Run times on this worker relative to a worker of mean speed; 1 unless a difference is clear. */
  slowdown = 1
  /** Moving average of observed over declared run time; 1 when unknown. */
  declaredRatio = 1

  /** Tasks are being stopped here for a task of this step; until the given monotonic time no others start, in ms. */
  claim: { step: StepInstance, until: number } | undefined

  constructor (entry: WorkerEntry, leaseEndsBy: number) {
    this.entry = entry
    this.leaseEndsBy = leaseEndsBy
  }

  get id (): string {
    return this.entry.id
  }

  /** Name of this incarnation; only the id while the worker has not told when it started. */
  get incarnation (): string {
    return this.startedAt === undefined ? this.id : `${this.id}@${this.startedAt}`
  }

  /** Whether the worker has answered the last poll, and no start order has stayed unanswered since. */
  get reachable (): boolean {
    return this.unreachableSince === undefined
  }

  set reachable (reachable: boolean) {
    this.unreachableSince = reachable ? undefined : this.unreachableSince ?? performance.now()
  }

  /**
   * Whether an entry is, or may be, that of this incarnation. Another incarnation may have other labels and another
   * capacity, and it may be in another pool or failure domain.
   *
   * @param entry - The entry. Default: the one that is known.
   */
  mayOwn (entry = this.entry): boolean {
    return entry.startedAt === undefined || this.startedAt === undefined || entry.startedAt === this.startedAt
  }

  get acceptsTasks (): boolean {
    return this.hasAnswered && this.reachable && !this.isRecordedAsLost && !this.hasUnownedRuns && this.mayOwn() &&
      !this.entry.draining && this.unlistedSince === undefined
  }

  add (task: TaskInstance): void {
    if (this.tasks.has(task)) return
    this.tasks.add(task)
    this.#adjustUsage(task, 1)
  }

  remove (task: TaskInstance): void {
    if (this.tasks.delete(task)) this.#adjustUsage(task, -1)
  }

  /** Whether anything uses, or may use, resources of the worker. */
  get isInUse (): boolean {
    return this.tasks.size > 0 || this.lingering.size > 0
  }

  /** Keeps the resources of a task that is done, until `releaseLingering` is called. */
  linger (task: TaskInstance, now: number): void {
    if (this.tasks.delete(task)) this.lingering.set(task, now)
  }

  /** Finds the lingering task of a run. Its job may have ended and may not be known any more. */
  findLingering ({ key, run }: RunOrder): TaskInstance | undefined {
    for (const task of this.lingering.keys()) if (task.run === run && isSameTask(task.key, key)) return task
    return undefined
  }

  releaseLingering (task: TaskInstance): void {
    if (this.lingering.delete(task)) this.#adjustUsage(task, -1)
  }

  #adjustUsage (task: TaskInstance, sign: 1 | -1): void {
    const { demand, fills } = task.step.spec
    const { accountUsage } = task.step.job
    if (accountUsage !== undefined) {
      accountUsage.cpuMillis += sign * demand.cpuMillis
      accountUsage.memoryMb += sign * demand.memoryMb
      accountUsage.accelerators += sign * demand.accelerators
    }
    if (fills) this.fillerCpuMillis += sign * demand.cpuMillis
    else this.usedCpuMillis += sign * demand.cpuMillis
    this.usedMemoryMb += sign * demand.memoryMb
    this.usedAccelerators += sign * demand.accelerators
  }

  /**
   * Whether the free resources suffice for one more task of the step.
   *
   * @param change - Change of the resources in use to assume. Default: none.
   */
  hasRoom (step: { demand: Demand, fills: boolean }, change = NO_DEMAND): boolean {
    const { capacity } = this.entry
    const { demand } = step
    return this.usedMemoryMb + demand.memoryMb + change.memoryMb <= capacity.memoryMb &&
      this.usedAccelerators + demand.accelerators + change.accelerators <= capacity.accelerators &&
      (step.fills || this.usedCpuMillis + demand.cpuMillis + change.cpuMillis <= capacity.cpuMillis)
  }
}

function isSameTask (a: TaskKey, b: TaskKey): boolean {
  return a.job === b.job && a.occurrence === b.occurrence && a.step === b.step && a.index === b.index
}
