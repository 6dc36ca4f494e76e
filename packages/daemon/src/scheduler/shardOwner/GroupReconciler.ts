import { decideRetry, isFailure, type GroupDefinition, type JournalRecord } from '@gypsumspring/core'
import { HEALTHY_RUN_MS } from '../constants/index.ts'
import { computePlacementKey, type Submissions } from './Submissions.ts'
import { isLive, type TaskTable } from './TaskTable.ts'
import type { Group, Task } from './types.ts'

export interface ReconcilerOptions {
  table: TaskTable
  submissions: Submissions
  /** Appends a record about the whole group to the journal; `then` runs when it is recorded. */
  record: (group: Group, record: JournalRecord, then: () => void) => void
  claim: (group: Group, definition: GroupDefinition) => void
  stop: (task: Task, reason: string, checkpoint: boolean) => void
}

/**
 * Reconciles a group with its definition: queues missing tasks, stops unwanted ones, schedules retries, replaces tasks
 * that run an old revision, and closes groups that are over. Depends on the current state only, so it may run at any
 * time.
 */
export class GroupReconciler {
  readonly #options: ReconcilerOptions

  constructor (options: ReconcilerOptions) {
    this.#options = options
  }

  /** Returns when the group has to be reconciled again without a change, in ms; Infinity for never. */
  reconcile (group: Group, now: number): number {
    if (group.recordPending || group.claimState === 'claiming') return Infinity
    if (this.#options.table.groups.get(group.id) !== group) return Infinity
    const { definition } = group
    if (group.claimState !== 'held') return this.#claimWhenDue(group, definition, now)
    if (definition === undefined) return this.#close(group, 'removed', now)
    if (definition.cancelled) return this.#close(group, 'cancelled', now)
    if (definition.generation !== group.generation) return this.#close(group, 'replaced', now)
    if (group.outcome !== undefined) return Infinity
    if (group.unplaceableReason !== undefined) {
      if (now < group.retryAt) return group.retryAt
      group.unplaceableReason = undefined
    }
    for (const id of group.desiredTasks) if (!group.tasks.has(id)) this.#options.table.addTask(id, group, now)
    if (group.kind === 'gang') return this.#reconcileGang(group, definition, now)
    return this.#reconcileTasks(group, definition, now)
  }

  #claimWhenDue (group: Group, definition: GroupDefinition | undefined, now: number): number {
    if (definition === undefined) this.#options.table.removeGroup(group)
    else if (!definition.cancelled) {
      if (now < group.retryAt) return group.retryAt
      this.#options.claim(group, definition)
    }
    return Infinity
  }

  #close (group: Group, reason: 'removed' | 'cancelled' | 'replaced', now: number): number {
    const { table, submissions, stop, record } = this.#options
    const live = [...group.tasks.values()].filter(isLive)
    this.#restore(group, live, [])
    submissions.withdraw([...group.tasks.values()].map(({ submission }) => submission))
    for (const task of live) stop(task, reason, false)
    if (live.length > 0) return Infinity
    if (reason === 'removed') {
      record(group, { kind: 'release', group: group.id }, () => table.removeGroup(group))
    } else if (reason === 'replaced') {
      const generation = group.definition?.generation ?? ''
      record(group, { kind: 'restart', group: group.id, generation }, () => {
        for (const task of [...group.tasks.values()]) table.removeTask(task)
        Object.assign(group, { generation, outcome: undefined, unplaceableReason: undefined, submittedAt: now })
      })
    } else if (group.outcome === undefined) this.#finish(group, 'cancelled')
    return Infinity
  }

  #finish (group: Group, outcome: 'succeeded' | 'failed' | 'cancelled'): void {
    const { table, submissions, record } = this.#options
    submissions.withdraw([...group.tasks.values()].map(({ submission }) => submission))
    record(group, { kind: 'finish', group: group.id, outcome }, () => {
      for (const task of [...group.tasks.values()]) table.removeTask(task)
      group.outcome = outcome
    })
  }

  /**
   * Registers attempts of a previous owner, which the placer does not know yet. Returns true when `waiting` was
   * submitted together with them.
   */
  #restore (group: Group, live: Task[], waiting: Task[]): boolean {
    const unknown = live.filter(({ submission }) => submission === undefined)
    if (unknown.length === 0) return false
    const definition = group.definition ?? createFallbackDefinition(group, unknown)
    return this.#options.submissions.restore(group, definition, unknown, waiting)
  }

  #reconcileTasks (group: Group, definition: GroupDefinition, now: number): number {
    const { table, submissions, stop } = this.#options
    this.#withdrawChanged(group, definition)
    this.#removeUnwanted(group)
    let retryAt = Infinity
    let over = 0
    const live: Task[] = []
    const toQueue: Task[] = []
    for (const task of [...group.tasks.values()]) {
      const wanted = group.desiredTasks.has(task.id)
      if (isLive(task)) {
        live.push(task)
        if (!wanted) stop(task, 'removed', false)
      } else if (task.state === 'waiting') {
        if (task.submission?.open !== true) toQueue.push(task)
      } else if (task.state === 'ended') {
        const dueAt = this.#decideRetry(task, definition)
        if (dueAt === undefined) table.transition(task, 'withdraw')
        else if (dueAt > now) retryAt = Math.min(retryAt, dueAt)
        else toQueue.push(this.#requeue(task, now))
      }
      if (task.state === 'over') over++
    }
    if (!this.#restore(group, live, toQueue) && toQueue.length > 0) submissions.queue(group, definition, toQueue, now)
    if (group.kind === 'batch' && over === group.desiredTasks.size && live.length === 0) {
      const succeeded = [...group.tasks.values()].every(({ result }) => result === 'succeeded')
      this.#finish(group, succeeded ? 'succeeded' : 'failed')
    } else this.#replaceOutdated(group, definition, live)
    return retryAt
  }

  #reconcileGang (group: Group, definition: GroupDefinition, now: number): number {
    const { submissions, stop } = this.#options
    const tasks = [...group.tasks.values()]
    const live = tasks.filter(isLive)
    this.#restore(group, live, [])
    const broken = tasks.some(({ state, result }) => state === 'ended' && result !== 'succeeded')
    const changed = definition.preemptible && live.some(({ revision }) => revision !== definition.revision)
    const resized = tasks.length !== group.desiredTasks.size
    if (live.length > 0) {
      if (broken || changed || resized) for (const task of live) stop(task, 'gang-restart', false)
      return Infinity
    }
    this.#removeUnwanted(group)
    const members = [...group.tasks.values()]
    if (members.every(({ state, result }) => state === 'ended' && result === 'succeeded')) {
      this.#finish(group, 'succeeded')
      return Infinity
    }
    const ended = members.filter(({ state }) => state === 'ended')
    const dueAt = ended.map((task) => task.result === 'succeeded' ? task.endedAt : this.#decideRetry(task, definition))
    if (dueAt.includes(undefined)) {
      this.#finish(group, 'failed')
      return Infinity
    }
    const latest = Math.max(...dueAt as number[])
    if (latest > now) return latest
    this.#withdrawChanged(group, definition)
    for (const task of ended) this.#requeue(task, now)
    const queued = ended.length === 0 && members.every(({ submission }) => submission?.open === true)
    if (!queued) submissions.queue(group, definition, members, now)
    return Infinity
  }

  /** Withdraws submissions with waiting tasks that are unwanted or whose placement definition has changed. */
  #withdrawChanged (group: Group, definition: GroupDefinition): void {
    const placementKey = computePlacementKey(definition)
    const changed = new Set([...group.tasks.values()].filter(({ id, state, submission }) =>
      state === 'waiting' && submission?.open === true &&
      (submission.placementKey !== placementKey || !group.desiredTasks.has(id))
    ).map(({ submission }) => submission))
    this.#options.submissions.withdraw(changed)
  }

  /**
   * Removes unwanted tasks that are not live, and withdraws their submissions, as the placer would refuse a task that
   * comes back while an earlier submission still contains it.
   */
  #removeUnwanted (group: Group): void {
    const unwanted = [...group.tasks.values()].filter((task) => !isLive(task) && !group.desiredTasks.has(task.id))
    this.#options.submissions.withdraw(unwanted.map(({ submission }) => submission))
    for (const task of unwanted) this.#options.table.removeTask(task)
  }

  #requeue (task: Task, now: number): Task {
    this.#options.table.transition(task, 'requeue')
    task.queuedAt = now
    return task
  }

  /** Returns when the task is due again, in ms; undefined when it is not retried. */
  #decideRetry (task: Task, { policy }: GroupDefinition): number | undefined {
    const failures = policy.kind === 'service' ? task.consecutiveFailures : task.failures
    const after = decideRetry(task.result ?? 'stopped', failures, policy)
    return after.kind === 'over' ? undefined : task.endedAt + after.delayMs
  }

  /**
   * Stops tasks that run an old revision, so that they start again with the new one. At most a tenth of the group, but
   * at least one task, is not running at a time.
   */
  #replaceOutdated (group: Group, definition: GroupDefinition, live: Task[]): void {
    if (group.kind === 'batch' && !definition.preemptible) return
    const running = live.filter(({ state, id }) => state === 'running' && group.desiredTasks.has(id))
    const size = group.kind === 'service' ? group.desiredTasks.size : live.length
    let allowance = Math.max(1, Math.floor(size / 10)) - (size - running.length)
    for (const task of running) {
      if (allowance <= 0) return
      if (task.revision === definition.revision) continue
      this.#options.stop(task, 'rolled', definition.preemptible)
      allowance--
    }
  }
}

/** Counts a failure; one after a healthy run starts a new series. Determines the delay before the next attempt. */
export function updateConsecutiveFailures (task: Task, now: number): void {
  if (task.result === undefined || !isFailure(task.result)) return
  const healthy = task.startedAt > 0 && now - task.startedAt >= HEALTHY_RUN_MS
  task.consecutiveFailures = healthy ? 1 : task.consecutiveFailures + 1
}

/** Creates a definition for a group that is no longer configured but still has live attempts. */
function createFallbackDefinition (group: Group, [task]: Task[]): GroupDefinition {
  const { id, team, kind, generation } = group
  return {
    id,
    team,
    kind,
    generation,
    scope: '',
    workload: id,
    priority: 'normal',
    spread: 'none',
    preemptible: false,
    payload: {},
    cancelled: false,
    tasks: [],
    revision: task?.revision ?? '',
    resources: task?.resources ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    policy: { kind, restart: 'never', retryLimit: 0 }
  }
}
