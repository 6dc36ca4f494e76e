import { RESERVATION_SLOTS, RESERVATION_SLOTS_PER_TASK } from '../constants/index.ts'
import { addScaled } from '../_lib/resources.ts'
import { allowsDomain, expectEnd } from '../_lib/rules.ts'
import { findSlotTimes } from '../findSlotTimes/index.ts'
import type { GroupRecord, Reservation } from '../types.ts'
import type { CellView } from './types.ts'

/** Reserves the slots that are expected to be free first; undefined when too few are expected to become free. */
export function planBackfill (view: CellView, group: GroupRecord, count: number, now: number): Reservation | undefined {
  const slots: Array<{ time: number, worker: string }> = []
  for (const { node, tasks, free, reserved, isProbing } of view.workers) {
    if (slots.length >= Math.max(RESERVATION_SLOTS, RESERVATION_SLOTS_PER_TASK * count)) break
    if (isProbing || !allowsDomain(group, node.failureDomain)) continue
    const ends = tasks.map((task) => ({ endsAt: expectEnd(task, now), resources: task.group.spec.resources }))
    const times = findSlotTimes(addScaled(free, reserved, -1), group.spec.resources, ends, count, now)
    slots.push(...times.map((time) => ({ time, worker: node.id })))
  }
  const chosen = slots.sort((a, b) => a.time - b.time).slice(0, count)
  if (chosen.length < count) return undefined
  const reserved = new Map<string, number>()
  for (const { worker } of chosen) reserved.set(worker, (reserved.get(worker) ?? 0) + 1)
  return { group, tasks: reserved, madeAt: now, startsAt: chosen[count - 1]!.time, kind: 'backfill' }
}
