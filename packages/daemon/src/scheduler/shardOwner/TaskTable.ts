import { nextTaskState, TASK_STATES, type RecordedState, type TaskEvent, type TaskState } from '@gypsumspring/core'
import { ZERO_RESOURCES } from '../constants/index.ts'
import type { Group, Task } from './types.ts'

/** The groups and tasks of a shard, with an index of placed tasks by worker. */
export class TaskTable {
  readonly groups = new Map<string, Group>()
  readonly #tasks = new Map<string, Task>()
  readonly #placedByWorker = new Map<string, Map<string, Task>>()

  /** Rebuilds groups and tasks from the recorded state. */
  restore (state: RecordedState, now: number): void {
    for (const [id, { team, kind, generation, outcome }] of state.groups) {
      this.addGroup({ id, team, kind, generation, outcome, claimState: 'held', submittedAt: now })
    }
    for (const [id, record] of state.tasks) {
      const group = this.groups.get(record.group)
      if (group === undefined) continue
      const task = this.addTask(id, group, now)
      const { attempt, worker, resources, revision, failures, result } = record
      Object.assign(task, { attempt, worker, resources, revision, failures, result, consecutiveFailures: failures })
      task.state = result === undefined ? 'starting' : 'ended'
      // The previous owner may have sent the start at any time before the takeover.
      task.startMayHaveArrived = true
      task.lastStartAt = now
      if (result === undefined) this.#addPlaced(task)
    }
  }

  addGroup (
    fields: Pick<Group, 'id' | 'team' | 'kind' | 'generation' | 'outcome' | 'claimState' | 'submittedAt'>
  ): Group {
    const group: Group = {
      ...fields,
      definition: undefined,
      tasks: new Map(),
      desiredTasks: new Set(),
      recordPending: false,
      unplaceableReason: undefined,
      retryAt: 0
    }
    this.groups.set(group.id, group)
    return group
  }

  addTask (id: string, group: Group, now: number): Task {
    const task: Task = {
      id,
      group,
      state: 'waiting',
      attempt: 0,
      worker: null,
      resources: ZERO_RESOURCES,
      revision: '',
      failures: 0,
      consecutiveFailures: 0,
      confirmed: false,
      startMayHaveArrived: false,
      lastStartAt: 0,
      stopReason: undefined,
      result: undefined,
      endedAt: now,
      queuedAt: now,
      startedAt: 0,
      detail: '',
      submission: undefined
    }
    this.#tasks.set(id, task)
    group.tasks.set(id, task)
    return task
  }

  removeTask (task: Task): void {
    this.#tasks.delete(task.id)
    task.group.tasks.delete(task.id)
  }

  removeGroup (group: Group): void {
    for (const task of group.tasks.values()) this.#tasks.delete(task.id)
    group.tasks.clear()
    this.groups.delete(group.id)
  }

  find (id: string): Task | undefined {
    return this.#tasks.get(id)
  }

  /** Returns the task when `attempt` is its current or last attempt. */
  findAttempt ({ task, attempt }: { task: string, attempt: number }): Task | undefined {
    const found = this.#tasks.get(task)
    return found?.attempt === attempt ? found : undefined
  }

  /** Counts tasks by state. Every state is present, so that its gauge returns to 0. */
  countByState (): Map<TaskState, number> {
    const counts = new Map<TaskState, number>(TASK_STATES.map((state) => [state, 0]))
    for (const { state } of this.#tasks.values()) counts.set(state, (counts.get(state) ?? 0) + 1)
    return counts
  }

  /** Lists the tasks whose attempt on the worker is recorded as live. */
  listLiveTasks (worker: string): Task[] {
    const placed = [...this.#placedByWorker.get(worker)?.values() ?? []]
    return placed.filter(({ state }) => state !== 'recording' && state !== 'withdrawing')
  }

  /** True when no task is placed on the worker, whether its intent is recorded or not. */
  isIdle (worker: string): boolean {
    return !this.#placedByWorker.has(worker)
  }

  /** Assigns a waiting task to a worker. Returns false when the task is not waiting. */
  place (task: Task, worker: string): boolean {
    if (!this.transition(task, 'place')) return false
    task.worker = worker
    this.#addPlaced(task)
    return true
  }

  get workersWithTasks (): string[] {
    return [...this.#placedByWorker.keys()]
  }

  /** Applies an event to the state of a task. Returns false when the event is not possible in that state. */
  transition (task: Task, event: TaskEvent): boolean {
    const next = nextTaskState(task.state, event)
    if (next === undefined) return false
    task.state = next
    if (event === 'endRecorded') this.#removePlaced(task)
    return true
  }

  #addPlaced (task: Task): void {
    const worker = task.worker ?? ''
    const live = this.#placedByWorker.get(worker)
    if (live === undefined) this.#placedByWorker.set(worker, new Map([[task.id, task]]))
    else live.set(task.id, task)
  }

  #removePlaced (task: Task): void {
    const live = this.#placedByWorker.get(task.worker ?? '')
    live?.delete(task.id)
    if (live?.size === 0) this.#placedByWorker.delete(task.worker ?? '')
  }
}

/** True when the attempt may run, or its intent or end is being recorded. */
export function isLive (task: Task): boolean {
  return task.state !== 'waiting' && task.state !== 'ended' && task.state !== 'over'
}
