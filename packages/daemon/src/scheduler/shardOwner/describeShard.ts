import type { ShardStatus, TaskStatus } from '@gypsumspring/protocol'
import { MAX_STATUS_TASKS } from '../constants/index.ts'
import type { ShardOwner } from './index.ts'
import type { Group, Task } from './types.ts'

/**
 * Describes the state of a shard for operators.
 *
 * @param owner - The shard's owner in this process.
 * @param process - Id of this process.
 * @returns The shard's status with at most `MAX_STATUS_TASKS` tasks.
 *
 * @example
 * describeShard(owner, 'scheduler-1')
 */
export function describeShard (owner: ShardOwner, process: string): ShardStatus {
  const tasks: TaskStatus[] = []
  for (const group of owner.table.groups.values()) {
    const remaining = MAX_STATUS_TASKS - tasks.length
    if (remaining <= 0) break
    if (group.outcome === undefined) tasks.push(...[...group.tasks.values()].slice(0, remaining).map(describeTask))
    else tasks.push(describeFinished(group, group.outcome))
  }
  return {
    shard: owner.ownership.shard,
    owner: process,
    epoch: owner.ownership.epoch,
    state: owner.pauseReason ?? 'deciding',
    configVersion: owner.configVersion,
    workers: owner.workers.count(),
    tasks
  }
}

/**
 * Explains where a task is or why it waits.
 *
 * @param owner - The shard's owner in this process.
 * @param id - Task id, or the id of its group.
 * @returns Lines of one sentence each; undefined when the shard does not know the group of the task.
 *
 * @example
 * explainTask(owner, 'scope/index/0')
 */
export function explainTask (owner: ShardOwner, id: string): string[] | undefined {
  const task = owner.table.find(id)
  const group = task?.group ?? owner.table.groups.get(id) ?? owner.table.groups.get(id.slice(0, id.lastIndexOf('/')))
  if (group === undefined) return undefined
  const lines: string[] = []
  if (group.claimState === 'foreign') lines.push(`group ${group.id} is held by another shard`)
  if (group.outcome !== undefined) lines.push(`group ${group.id} is over: ${group.outcome}; it does not run again under this generation`)
  if (owner.pauseReason !== undefined) lines.push(`no new starts in shard ${owner.ownership.shard}: ${owner.pauseReason}`)
  if (group.unplaceableReason !== undefined) lines.push(`the group can't be placed now: ${group.unplaceableReason}`)
  if (task === undefined) return lines.length > 0 ? lines : [`group ${group.id} has no such task`]
  const { state, attempt, worker, detail } = task
  lines.push(`task ${task.id} is ${state}, attempt ${attempt}${worker === null ? '' : ` on worker ${worker}`}`)
  if (task.stopReason !== undefined) lines.push(`it is being stopped: ${task.stopReason}`)
  if (task.result !== undefined) lines.push(`attempt ${attempt} ended: ${task.result}${detail === '' ? '' : ` (${detail})`}`)
  if (state === 'waiting') lines.push(...owner.explainPlacement(task))
  return lines
}

function describeTask (task: Task): TaskStatus {
  const { group, state, attempt, worker, detail, result } = task
  const shown = state === 'over' || state === 'ended' ? result ?? state : state
  return { ...describeGroup(group), task: task.id, state: shown, attempt, worker, detail }
}

function describeFinished (group: Group, outcome: string): TaskStatus {
  return { ...describeGroup(group), task: group.id, state: outcome, attempt: 0, worker: null, detail: '' }
}

function describeGroup ({ id, kind, definition }: Group): Pick<TaskStatus, 'workload' | 'scope' | 'kind'> {
  const [scope = '', rest = ''] = id.split('/')
  return { scope: definition?.scope ?? scope, workload: definition?.workload ?? rest.split('@')[0] ?? '', kind }
}
