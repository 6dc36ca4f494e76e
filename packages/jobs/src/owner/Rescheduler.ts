import type { TaskInstance } from '../model/index.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'
import type { RunTracker } from './RunTracker.ts'

/** Time before a draining worker leaves by which the ends of its stopped tasks must have been reported, in ms. */
const DRAIN_MARGIN_MS = 500

/** Stops tasks so that they run elsewhere: those that a draining worker would cut off, and those that are overdue. */
export class Rescheduler {
  readonly #cell: Cell
  readonly #tracker: RunTracker
  readonly #stopTimeoutMs: number

  constructor (cell: Cell, tracker: RunTracker, stopTimeoutMs: number) {
    this.#cell = cell
    this.#tracker = tracker
    this.#stopTimeoutMs = stopTimeoutMs
  }

  /** Checks all running tasks. `now` is monotonic time in ms. */
  tick (now: number): void {
    for (const worker of this.#cell.workers.values()) {
      for (const task of [...worker.tasks]) {
        if (task.status !== 'running') continue
        if (worker.leavesAt !== undefined && this.#mustMove(task, worker.leavesAt, now)) {
          const leavesInMs = Math.round(worker.leavesAt - now)
          this.#cell.log.info({ job: task.step.job.id, worker: worker.id, leavesInMs }, 'moving task off draining worker')
          this.#tracker.stop(task, 'wait')
        } else if (worker.reachable && this.#isOverdue(task, worker, now)) this.#moveOverdue(task, worker, now)
      }
    }
  }

  #mustMove (task: TaskInstance, leavesAt: number, now: number): boolean {
    const stopBy = leavesAt - this.#stopTimeoutMs - DRAIN_MARGIN_MS
    if (now < stopBy) return false
    const { longRunning, fills } = task.step.spec
    if (longRunning || fills) return true
    // An inherited run has started before `startedAt`, and may end in time.
    return !task.inherited && task.startedAt + task.step.expectedRunMs > leavesAt - DRAIN_MARGIN_MS
  }

  #moveOverdue (task: TaskInstance, worker: WorkerState, now: number): void {
    const ranMs = Math.round(now - Math.min(task.startedAt, task.inheritedStartedBy ?? Infinity))
    this.#cell.log.info({ job: task.step.job.id, worker: worker.id, run: task.run, ranMs, expectedMs: task.step.expectedRunMs }, 'moving overdue task to another worker')
    this.#cell.metrics.count('tasks_overdue')
    this.#cell.runTimes.recordOverdue(worker, task, now)
    // The members of a gang start at different times, but one with a lower count would end the next run of all early.
    for (const member of task.members) {
      const memberWorker = this.#cell.workers.get(member.worker ?? '')
      if (memberWorker !== undefined) member.failedOn.add(memberWorker.incarnation)
      member.overdueStops++
      this.#tracker.stop(member, 'wait')
    }
  }

  #isOverdue (task: TaskInstance, worker: WorkerState, now: number): boolean {
    const { step } = task
    if (step.spec.longRunning || step.spec.fills || task.percent < 100 || task.startedAt === 0) return false
    const { runTimes } = this.#cell
    // `failedOn` is cleared when no other worker has room.
    const movedCount = Math.max(task.failedOn.size, task.overdueStops)
    if (now - task.startedAt > runTimes.overdueMs(worker, step, movedCount)) return true
    // The workers on which earlier owners had moved the task are not known, but there is at most one for each run.
    return now - (task.inheritedStartedBy ?? now) > runTimes.overdueMs(worker, step, task.run - 1)
  }
}
