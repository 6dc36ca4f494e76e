import type { TaskRun } from '../book/index.ts'
import type { WorkerEntry } from '../types.ts'

/** What the owner knows of one incarnation of a worker. */
export class WorkerState {
  entry: WorkerEntry
  /** Tasks whose runs take room here, those included that may or may not have been started. */
  readonly tasks = new Set<TaskRun>()
  usedCpuMillis = 0
  usedMemoryMb = 0
  usedAccelerators = 0
  /** Processors that filling tasks ask for, in thousandths. */
  fillCpuMillis = 0
  /** Steady time at which the last lease that may be in force has certainly ended, in ms. */
  leaseEndsBy: number
  /** The last call was answered. */
  reachable = false
  /** The worker answered a look since this owner took over, which fences earlier owners. */
  adopted = false
  /** Steady time since when the worker is not registered; undefined while it is. */
  unlistedSince: number | undefined
  /** Steady time by which a draining worker leaves; undefined when it doesn't. */
  leavesAt: number | undefined
  /** Position of the last end that was processed, and of the last that is stored. */
  processedEnds = 0
  storedEnds = 0
  /**
   * The last look listed runs that no job owns, such as those of a job that ended under an earlier owner. What they
   * need is not known, so that there is no room for others until they are gone.
   */
  hasStrays = false
  /** Observed run time over estimate, as a moving average; 1 when unknown. */
  slowness = 1

  constructor (entry: WorkerEntry, leaseEndsBy: number) {
    this.entry = entry
    this.leaseEndsBy = leaseEndsBy
  }

  get id (): string {
    return this.entry.id
  }

  get acceptsTasks (): boolean {
    return this.adopted && this.reachable && !this.hasStrays && !this.entry.draining &&
      this.unlistedSince === undefined
  }

  add (task: TaskRun): void {
    if (this.tasks.has(task)) return
    this.tasks.add(task)
    this.#count(task, 1)
  }

  remove (task: TaskRun): void {
    if (this.tasks.delete(task)) this.#count(task, -1)
  }

  #count (task: TaskRun, sign: 1 | -1): void {
    const { demand, fills } = task.step.spec
    if (fills) this.fillCpuMillis += sign * demand.cpuMillis
    else this.usedCpuMillis += sign * demand.cpuMillis
    this.usedMemoryMb += sign * demand.memoryMb
    this.usedAccelerators += sign * demand.accelerators
  }

  /** Whether the worker has room for one more task of the step. */
  hasRoom (step: { demand: WorkerEntry['capacity'], fills: boolean }): boolean {
    const { capacity } = this.entry
    const { demand } = step
    return this.usedMemoryMb + demand.memoryMb <= capacity.memoryMb &&
      this.usedAccelerators + demand.accelerators <= capacity.accelerators &&
      (step.fills || this.usedCpuMillis + demand.cpuMillis <= capacity.cpuMillis)
  }
}
