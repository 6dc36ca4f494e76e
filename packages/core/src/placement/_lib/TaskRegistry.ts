import type { TaskGroup } from '../../types.ts'
import { PRIORITY_CLASSES } from '../constants/index.ts'
import type { GroupRecord, TaskRecord } from '../types.ts'

/** Shared by all groups of which no task waits; most do not, and an own empty set takes 200 bytes. */
const NO_TASKS: ReadonlySet<TaskRecord> = new Set()

/** Records which task is where. Knows nothing of capacity, quotas or order, which each placer derives itself. */
export class TaskRegistry {
  readonly groups = new Map<string, GroupRecord>()
  readonly tasks = new Map<string, TaskRecord>()
  #sequence = 0

  /** Adds a group whose tasks all wait. A group that is already known throws: its tasks could run twice. */
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

  /** Takes a task off its worker. Returns true when it waits again because of an earlier requeue. */
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

  /** Queues an ended task again; a task that still holds its worker waits only after its release. */
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

  /** Takes a task that holds no worker out of its group. Returns true when the group has no task left. */
  withdraw (task: TaskRecord): boolean {
    if (task.worker !== undefined) throw new Error(`task ${task.id} still holds worker ${task.worker}`)
    const { group } = task
    removeWaiting(task)
    group.tasks.splice(group.tasks.indexOf(task), 1)
    this.tasks.delete(task.id)
    return group.tasks.length === 0
  }

  /** Forgets a group and its tasks but for the placed ones, which it returns; they are forgotten when released. */
  cancel (group: GroupRecord): TaskRecord[] {
    group.cancelled = true
    group.waiting = NO_TASKS
    this.groups.delete(group.spec.id)
    const placed = group.tasks.filter((task) => task.worker !== undefined)
    for (const task of group.tasks) if (task.worker === undefined) this.tasks.delete(task.id)
    return placed
  }

  /** Takes a group out of the queue as impossible; it is forgotten unless some of its tasks run. */
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
