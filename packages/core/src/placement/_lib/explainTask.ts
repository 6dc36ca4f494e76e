import type { Resources } from '@gypsumspring/protocol'
import type { GroupRecord, Reservation, TaskRecord, WaitReason } from '../types.ts'
import { formatResources } from './resources.ts'

export interface ExplainContext {
  workers: number
  availableWorkers: number
  excludedWorkers: number
  usedByTeam: Resources
  quota: Resources | undefined
  /** What the shard may use of the quota; undefined for a team without quota. */
  claimed: Resources | undefined
  reservation: Reservation | undefined
  packingWeight: number
}

const WAIT_REASONS: Record<WaitReason, string> = {
  quota: 'It waits for quota of its team.',
  capacity: 'It waits for capacity: no available worker has enough unreserved room.',
  'packing-delay': 'It waits for room on a worker in use before it opens an idle one (packing weight).',
  'no-workers': 'It waits: no worker is known.'
}

/** Explains one sentence a line why a task is where it is, or why it waits. */
export function explainTask (id: string, task: TaskRecord | undefined, context: ExplainContext, now: number): string[] {
  if (task === undefined) return [`Task ${id} is not known: it was never submitted, was cancelled, or is impossible.`]
  const group = task.group
  const { spec } = group
  const lines = [`Task ${id} belongs to group ${spec.id} (${spec.kind}, ${spec.priority}) of team ${spec.team}.`]
  if (task.worker !== undefined) {
    lines.push(`It has held worker ${task.worker} for ${Math.round(now - task.startedAt)} ms.`)
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
  const lines = [group.waitReason === undefined ? 'It was not its turn yet.' : WAIT_REASONS[group.waitReason]]
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
