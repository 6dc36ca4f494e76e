import { OVERDUE_EXTRA_MS, OVERDUE_FACTOR } from '../constants/index.ts'
import type { TaskInstance } from '../model/index.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'
import type { RunTracker } from './RunTracker.ts'

/** Time before a worker leaves by which its stopped tasks must be listed, in ms, on top of the time of a stop. */
const LEAVE_MARGIN_MS = 500

/** Moves tasks off workers that leave before the tasks end, and tasks that stand still. */
export class Evacuation {
  readonly #cell: Cell
  readonly #tracker: RunTracker
  readonly #stopTimeoutMs: number

  constructor (cell: Cell, tracker: RunTracker, stopTimeoutMs: number) {
    this.#cell = cell
    this.#tracker = tracker
    this.#stopTimeoutMs = stopTimeoutMs
  }

  /** Looks at all running tasks. `now` is steady time in ms. */
  tick (now: number): void {
    for (const worker of this.#cell.workers.values()) {
      for (const task of [...worker.tasks]) {
        if (task.status !== 'running') continue
        if (worker.leavesAt !== undefined && this.#mustLeave(task, worker.leavesAt, now)) {
          this.#cell.log.info({ job: task.step.job.id, worker: worker.id, leavesInMs: Math.round(worker.leavesAt - now) }, 'moving a task off a leaving worker')
          this.#tracker.stop(task, 'wait')
        } else if (worker.reachable && isOverdue(task, now)) this.#moveOverdue(task, worker, now)
      }
    }
  }

  #mustLeave (task: TaskInstance, leavesAt: number, now: number): boolean {
    const stopBy = leavesAt - this.#stopTimeoutMs - LEAVE_MARGIN_MS
    if (now < stopBy) return false
    const { estimatedRunMs, longRunning, fills } = task.step.spec
    return longRunning || fills || task.startedAt + estimatedRunMs > leavesAt - LEAVE_MARGIN_MS
  }

  #moveOverdue (task: TaskInstance, worker: WorkerState, now: number): void {
    this.#cell.log.info({ job: task.step.job.id, worker: worker.id, run: task.run, ranMs: Math.round(now - task.startedAt), estimatedMs: task.step.spec.estimatedRunMs }, 'moving a task that stands still')
    this.#cell.counters.count('tasks_overdue')
    task.failedOn.add(worker.id)
    this.#tracker.stop(task, 'wait')
  }
}

function isOverdue (task: TaskInstance, now: number): boolean {
  const { estimatedRunMs, longRunning, fills } = task.step.spec
  if (longRunning || fills || task.percent < 100 || task.startedAt === 0) return false
  // A task that was moved before may simply take longer than its estimate.
  const factor = OVERDUE_FACTOR * 2 ** task.failedOn.size
  return now - task.startedAt > factor * estimatedRunMs + OVERDUE_EXTRA_MS
}
