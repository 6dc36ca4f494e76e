import type { Resources } from '@gypsumspring/protocol'
import type { GroupRecord, Reservation, TaskRecord, WaitReason } from '../types.ts'
import { formatResources } from './resources.ts'

/** State of the placer from which the explanation of a task is built. */
export interface ExplainContext {
  workers: number
  availableWorkers: number
  excludedWorkers: number
  usedByTeam: Resources
  quota: Resources | undefined
  /** Part of the quota that this shard may use; undefined for a team without quota. */
  claimed: Resources | undefined
  reservation: Reservation | undefined
  packingWeight: number
}

const WAIT_REASONS: Record<WaitReason, string> = {
  quota: 'It waits for quota of its team.',
  capacity: 'It waits for capacity: no available worker has enough free and unreserved.',
  'packing-delay': 'It waits for capacity on a worker in use before it may use an idle one (packing weight).',
  'no-workers': 'It waits: no worker is known.'
}

/** Explains where a task is or why it waits, as one sentence per line. */
export function explainTask (id: string, task: TaskRecord | undefined, context: ExplainContext, now: number): string[] {
  if (task === undefined) return [`Task ${id} is not known: it was never submitted, was cancelled, or is impossible.`]
  const group = task.group
  const { spec } = group
  const lines = [`Task ${id} belongs to group ${spec.id} (${spec.kind}, ${spec.priority}) of team ${spec.team}.`]
  if (task.worker !== undefined) {
    lines.push(`It has been on worker ${task.worker} for ${Math.round(now - task.startedAt)} ms.`)
    if (task.stoppingSince !== undefined) lines.push('It is being stopped for more urgent work.')
    if (group.cancelled) lines.push('Its group is cancelled; the capacity is free once the task is released.')
    return lines
  }
  if (!group.waiting.has(task)) return [...lines, 'It has ended.']
  const need = formatResources(spec.resources)
  return [
    ...lines, `It has waited for ${Math.round(now - task.queuedAt)} ms and needs ${need}.`, ...explainWait(group, context, now)
  ]
}

function explainWait (group: GroupRecord, context: ExplainContext, now: number): string[] {
  const lines = [group.waitReason === undefined ? 'It has not been considered yet.' : WAIT_REASONS[group.waitReason]]
  if (group.spec.kind === 'gang') lines.push(`All ${group.waiting.size} waiting tasks of the gang start together.`)
  if (group.waitReason === 'quota' && context.quota !== undefined) {
    lines.push(`Team ${group.spec.team} uses ${formatResources(context.usedByTeam)} of ${formatResources(context.quota)}.`)
  }
  if (group.waitReason === 'quota' && context.claimed !== undefined) {
    lines.push(`This shard has claimed ${formatResources(context.claimed)} of the quota; tasks in other shards are not counted above.`)
  }
  if (context.reservation !== undefined) {
    const { kind, startsAt, tasks } = context.reservation
    lines.push(kind === 'preemption'
      ? `Capacity on ${tasks.size} workers is reserved for it while tasks there are stopped.`
      : `Capacity on ${tasks.size} workers is reserved for it; expected start in ${Math.max(0, Math.round(startsAt - now))} ms.`)
  }
  lines.push(`${context.availableWorkers} of ${context.workers} workers are available; ${context.excludedWorkers} are excluded for failing.`)
  return lines
}
