import { decideRetry, isFailure, type GroupDefinition, type JournalRecord } from '@gypsumspring/core'
import { HEALTHY_RUN_MS } from '../constants/index.ts'
import { describeShape, type Submissions } from './Submissions.ts'
import { isLive, type TaskTable } from './TaskTable.ts'
import type { Group, Task } from './types.ts'

export interface SettlerOptions {
  table: TaskTable
  submissions: Submissions
  /** Records something about the whole group; `then` runs when it is recorded. */
  record: (group: Group, record: JournalRecord, then: () => void) => void
  claim: (group: Group, definition: GroupDefinition) => void
  stop: (task: Task, reason: string, checkpoint: boolean) => void
}

/**
 * Brings a group closer to its definition: starts what is missing, stops what is not wanted, decides on retries, rolls
 * changed tasks, and closes groups that are over. Works from the present state only, so it may run at any time.
 */
export class GroupSettler {
  readonly #options: SettlerOptions

  constructor (options: SettlerOptions) {
    this.#options = options
  }

  /** Returns when the group is to be settled again without a new event, in ms; Infinity for never. */
  settle (group: Group, now: number): number {
    if (group.closing || group.hold === 'claiming' || this.#options.table.groups.get(group.id) !== group) return Infinity
    const { definition } = group
    if (group.hold !== 'held') return this.#considerClaim(group, definition, now)
    if (definition === undefined) return this.#close(group, 'removed', now)
    if (definition.cancelled) return this.#close(group, 'cancelled', now)
    if (definition.generation !== group.generation) return this.#close(group, 'replaced', now)
    if (group.outcome !== undefined) return Infinity
    if (group.impossible !== undefined) {
      if (now < group.retryAt) return group.retryAt
      group.impossible = undefined
    }
    for (const id of group.wanted) if (!group.tasks.has(id)) this.#options.table.addTask(id, group, now)
    return group.kind === 'gang' ? this.#settleGang(group, definition, now) : this.#settleTasks(group, definition, now)
  }

  #considerClaim (group: Group, definition: GroupDefinition | undefined, now: number): number {
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
        Object.assign(group, { generation, outcome: undefined, impossible: undefined, submittedAt: now })
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

  /** Attempts of a previous owner are not known to the placer yet. Returns true when `waiting` was queued with them. */
  #restore (group: Group, live: Task[], waiting: Task[]): boolean {
    const unknown = live.filter(({ submission }) => submission === undefined)
    if (unknown.length === 0) return false
    const definition = group.definition ?? describeRecorded(group, unknown)
    return this.#options.submissions.restore(group, definition, unknown, waiting)
  }

  #settleTasks (group: Group, definition: GroupDefinition, now: number): number {
    const { table, submissions, stop } = this.#options
    this.#withdrawChanged(group, definition)
    this.#removeUnwanted(group)
    let wakeAt = Infinity
    let over = 0
    const live: Task[] = []
    const toQueue: Task[] = []
    for (const task of [...group.tasks.values()]) {
      const wanted = group.wanted.has(task.id)
      if (isLive(task)) {
        live.push(task)
        if (!wanted) stop(task, 'removed', false)
      } else if (task.state === 'waiting') {
        if (task.submission?.open !== true) toQueue.push(task)
      } else if (task.state === 'ended') {
        const dueAt = this.#decideRetry(task, definition)
        if (dueAt === undefined) table.move(task, 'withdraw')
        else if (dueAt > now) wakeAt = Math.min(wakeAt, dueAt)
        else toQueue.push(this.#requeue(task, now))
      }
      if (task.state === 'over') over++
    }
    if (!this.#restore(group, live, toQueue) && toQueue.length > 0) submissions.queue(group, definition, toQueue, now)
    if (group.kind === 'batch' && over === group.wanted.size && live.length === 0) {
      const succeeded = [...group.tasks.values()].every(({ result }) => result === 'succeeded')
      this.#finish(group, succeeded ? 'succeeded' : 'failed')
    } else this.#roll(group, definition, live)
    return wakeAt
  }

  #settleGang (group: Group, definition: GroupDefinition, now: number): number {
    const { submissions, stop } = this.#options
    const tasks = [...group.tasks.values()]
    const live = tasks.filter(isLive)
    this.#restore(group, live, [])
    const broken = tasks.some(({ state, result }) => state === 'ended' && result !== 'succeeded')
    const changed = definition.preemptible && live.some(({ revision }) => revision !== definition.revision)
    const resized = tasks.length !== group.wanted.size
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

  /** Withdraws submissions that hold waiting tasks under a definition that has changed, or unwanted ones. */
  #withdrawChanged (group: Group, definition: GroupDefinition): void {
    const shape = describeShape(definition)
    const changed = new Set([...group.tasks.values()].filter(({ id, state, submission }) =>
      state === 'waiting' && submission?.open === true && (submission.shape !== shape || !group.wanted.has(id))
    ).map(({ submission }) => submission))
    this.#options.submissions.withdraw(changed)
  }

  /** Their submissions go too: the placer would refuse the same task in a new one if it came back. */
  #removeUnwanted (group: Group): void {
    const unwanted = [...group.tasks.values()].filter((task) => !isLive(task) && !group.wanted.has(task.id))
    this.#options.submissions.withdraw(unwanted.map(({ submission }) => submission))
    for (const task of unwanted) this.#options.table.removeTask(task)
  }

  #requeue (task: Task, now: number): Task {
    this.#options.table.move(task, 'requeue')
    task.queuedAt = now
    return task
  }

  /** When the task is due again, in ms; undefined when it is over. */
  #decideRetry (task: Task, { policy }: GroupDefinition): number | undefined {
    const failures = policy.kind === 'service' ? task.failuresInRow : task.failures
    const after = decideRetry(task.result ?? 'stopped', failures, policy)
    return after.kind === 'over' ? undefined : task.endedAt + after.delayMs
  }

  /** Stops tasks that run an old revision, at most a tenth of the group at a time. */
  #roll (group: Group, definition: GroupDefinition, live: Task[]): void {
    if (group.kind === 'batch' && !definition.preemptible) return
    const running = live.filter(({ state, id }) => state === 'running' && group.wanted.has(id))
    const size = group.kind === 'service' ? group.wanted.size : live.length
    let allowance = Math.max(1, Math.floor(size / 10)) - (size - running.length)
    for (const task of running) {
      if (allowance <= 0) return
      if (task.revision === definition.revision) continue
      this.#options.stop(task, 'rolled', definition.preemptible)
      allowance--
    }
  }
}

/** Counts a failure in the series that sets the delay before the next attempt. */
export function countFailureInRow (task: Task, now: number): void {
  if (task.result === undefined || !isFailure(task.result)) return
  const healthy = task.startedAt > 0 && now - task.startedAt >= HEALTHY_RUN_MS
  task.failuresInRow = healthy ? 1 : task.failuresInRow + 1
}

/** Stands for the definition of a group that is no longer configured while attempts of it run. */
function describeRecorded (group: Group, [task]: Task[]): GroupDefinition {
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
