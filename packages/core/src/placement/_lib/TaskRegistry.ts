import type { TaskGroup } from '../../types.ts'
import { PRIORITY_CLASSES } from '../constants/index.ts'
import type { GroupRecord, TaskRecord } from '../types.ts'

/** Shared by all groups without waiting tasks, which are most of them: an empty set for each would take 200 bytes. */
const NO_TASKS: ReadonlySet<TaskRecord> = new Set()

/**
 * Tracks all groups and tasks, and which tasks wait or are placed. Capacity, quotas and queue order are left to the
 * placers.
 */
export class TaskRegistry {
  readonly groups = new Map<string, GroupRecord>()
  readonly tasks = new Map<string, TaskRecord>()
  #sequence = 0

  /**
   * Adds a group whose tasks all wait.
   *
   * @throws Error when the group or one of its tasks is already known, since the task could run twice
   */
  submit (spec: TaskGroup): GroupRecord {
    if (this.groups.has(spec.id)) throw new Error(`group ${spec.id} is already submitted`)
    const group: GroupRecord = {
      spec,
      rank: PRIORITY_CLASSES.indexOf(spec.priority),
      sequence: this.#sequence++,
      waiting: NO_TASKS,
      tasks: [],
      cancelled: false,
      waitReason: undefined,
      equivalenceClass: undefined,
      spreadCounts: undefined
    }
    for (const id of spec.tasks) {
      if (this.tasks.has(id)) throw new Error(`task ${id} is already submitted`)
      const task: TaskRecord = {
        id,
        group,
        queuedAt: spec.submittedAt,
        worker: undefined,
        startedAt: 0,
        expectedRunMs: undefined,
        stoppingSince: undefined,
        requeuedAt: undefined,
        usage: undefined,
        failedOn: undefined
      }
      this.tasks.set(id, task)
      group.tasks.push(task)
      addWaiting(task)
    }
    this.groups.set(spec.id, group)
    return group
  }

  place (task: TaskRecord, worker: string, now: number, expectedRunMs: number | undefined): void {
    removeWaiting(task)
    task.worker = worker
    task.startedAt = now
    task.expectedRunMs = expectedRunMs
  }

  /** Removes a task from its worker. Returns true when it waits again, having been requeued while it was placed. */
  release (task: TaskRecord): boolean {
    task.worker = undefined
    task.stoppingSince = undefined
    task.usage = undefined
    if (task.group.cancelled) {
      this.tasks.delete(task.id)
      return false
    }
    if (task.requeuedAt === undefined) return false
    task.queuedAt = task.requeuedAt
    task.requeuedAt = undefined
    addWaiting(task)
    return true
  }

  /**
   * Queues a task again. A task that is still placed waits only after its release. Returns true when the task has
   * started to wait.
   */
  requeue (task: TaskRecord, now: number): boolean {
    if (task.group.cancelled || task.group.waiting.has(task)) return false
    if (task.worker !== undefined) {
      task.requeuedAt = now
      return false
    }
    task.queuedAt = now
    addWaiting(task)
    return true
  }

  /** Removes a task that is not placed from its group. Returns true when the group has no task left. */
  withdraw (task: TaskRecord): boolean {
    if (task.worker !== undefined) throw new Error(`task ${task.id} is still on worker ${task.worker}`)
    const { group } = task
    removeWaiting(task)
    group.tasks.splice(group.tasks.indexOf(task), 1)
    this.tasks.delete(task.id)
    return group.tasks.length === 0
  }

  /** Removes a group and its tasks. Returns the placed ones, which are removed when they are released. */
  cancel (group: GroupRecord): TaskRecord[] {
    group.cancelled = true
    group.waiting = NO_TASKS
    this.groups.delete(group.spec.id)
    const placed = group.tasks.filter((task) => task.worker !== undefined)
    for (const task of group.tasks) if (task.worker === undefined) this.tasks.delete(task.id)
    return placed
  }

  /** Stops a group that can never run from waiting. The group is removed unless some of its tasks are placed. */
  drop (group: GroupRecord): void {
    group.waiting = NO_TASKS
    if (group.tasks.some((task) => task.worker !== undefined)) return
    this.cancel(group)
  }
}

function addWaiting (task: TaskRecord): void {
  const { group } = task
  if (group.waiting === NO_TASKS) group.waiting = new Set([task])
  else (group.waiting as Set<TaskRecord>).add(task)
}

function removeWaiting (task: TaskRecord): void {
  const { group } = task
  if (group.waiting === NO_TASKS) return
  if (group.waiting.size === 1 && group.waiting.has(task)) group.waiting = NO_TASKS
  else (group.waiting as Set<TaskRecord>).delete(task)
}
