import { MIN_RESERVATION_CANDIDATES, RESERVATION_CANDIDATES_PER_TASK } from '../constants/index.ts'
import { addScaled } from '../_lib/resources.ts'
import { allowsDomain, estimateEnd } from '../_lib/rules.ts'
import { findStartTimes } from '../findStartTimes/index.ts'
import type { GroupRecord, Reservation } from '../types.ts'
import type { CellView } from './types.ts'

/**
 * Reserves the capacity that is expected to become free first. Undefined when too little is expected for `count` tasks
 * of the group.
 */
export function planBackfill (view: CellView, group: GroupRecord, count: number, now: number): Reservation | undefined {
  const candidates: Array<{ time: number, worker: string }> = []
  for (const { node, tasks, free, reserved, isProbing } of view.workers) {
    if (candidates.length >= Math.max(MIN_RESERVATION_CANDIDATES, RESERVATION_CANDIDATES_PER_TASK * count)) break
    if (isProbing || !allowsDomain(group, node.failureDomain)) continue
    const ends = tasks.map((task) => ({ endsAt: estimateEnd(task, now), resources: task.group.spec.resources }))
    const times = findStartTimes(addScaled(free, reserved, -1), group.spec.resources, ends, count, now)
    candidates.push(...times.map((time) => ({ time, worker: node.id })))
  }
  const chosen = candidates.sort((a, b) => a.time - b.time).slice(0, count)
  if (chosen.length < count) return undefined
  const reserved = new Map<string, number>()
  for (const { worker } of chosen) reserved.set(worker, (reserved.get(worker) ?? 0) + 1)
  return { group, tasks: reserved, madeAt: now, startsAt: chosen[count - 1]!.time, kind: 'backfill' }
}
