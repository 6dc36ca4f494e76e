import { computeHoldMs, findAvoidedWorker, findSpreadKey, precedesHolder } from '../_lib/rules.ts'
import type { GroupRecord, TaskRecord, WaitReason } from '../types.ts'
import { findWorker, type WorkerQuery } from './findWorker.ts'
import { planIndexedBackfill, planIndexedPreemption } from './planIndexedReservation.ts'
import type { ReservationIndex } from './ReservationIndex.ts'
import type { WorkerEntry, WorkerTable } from './WorkerTable.ts'

export interface StartContext {
  readonly table: WorkerTable
  readonly reservations: ReservationIndex
  packingWeight: number
  /** Raised whenever a worker may have gained room. */
  roomVersion: number
  /**
   * Raised whenever a failed plan may succeed. A placement does not count: it turns free capacity into capacity that
   * may become free.
   */
  planVersion: number
}

export type Start =
  | { kind: 'place', workers: WorkerEntry[] }
  | { kind: 'preempt', victims: TaskRecord[] }
  | { kind: 'wait', reason: WaitReason }

/** Finds workers for the starting tasks of a group, or else plans a preemption or reserves capacity for it. */
export function startGroup (
  context: StartContext, group: GroupRecord, count: number, now: number, estimatedRunMs: number | undefined
): Start {
  const { table, packingWeight } = context
  if (table.entries.size === 0) return { kind: 'wait', reason: 'no-workers' }
  const { spreadCounts } = group
  const shape = group.shape!
  if (shape.noRoomAt === context.roomVersion) return waitForCapacity(context, group, count, now)

  const [first] = group.waiting
  const holdMs = computeHoldMs(group, packingWeight, estimatedRunMs)
  const avoided = findAvoidedWorker(group)
  const avoidedSlot = avoided === undefined ? -1 : table.entries.get(avoided)?.slot ?? -1
  const query: WorkerQuery = {
    group, now, estimatedRunMs, packingWeight, spreadCounts, avoidedSlot, mayOpenIdle: true
  }
  if (now - first!.queuedAt < holdMs && table.placed > 0) {
    const inUse = findWorkers(table, { ...query, mayOpenIdle: false }, count)
    if (inUse.workers !== undefined) return { kind: 'place', workers: inUse.workers }
    if (findWorkers(table, query, count).workers !== undefined) return { kind: 'wait', reason: 'held' }
    return waitForCapacity(context, group, count, now)
  }
  const { workers, hasRoom } = findWorkers(table, query, count)
  if (workers !== undefined) return { kind: 'place', workers }
  if (!hasRoom) shape.noRoomAt = context.roomVersion
  return waitForCapacity(context, group, count, now)
}

/** Finds a worker for each of several tasks; `hasRoom` tells whether any worker has room for one of them. */
function findWorkers (
  table: WorkerTable, query: WorkerQuery, count: number
): { workers: WorkerEntry[] | undefined, hasRoom: boolean } {
  const { group } = query
  const need = group.spec.resources
  const spreadCounts = query.spreadCounts && new Map(query.spreadCounts)
  const workers: WorkerEntry[] = []
  let hasRoom = false
  while (workers.length < count) {
    const search = findWorker(table, { ...query, spreadCounts })
    hasRoom ||= search.hasRoom
    if (search.slot < 0) break
    const entry = table.bySlot[search.slot]!
    workers.push(entry)
    if (count === 1) break
    table.take(search.slot, need, 1)
    const key = findSpreadKey(group, entry.node)
    spreadCounts?.set(key, (spreadCounts.get(key) ?? 0) + 1)
  }
  if (count > 1) for (const { slot } of workers) table.take(slot, need, -1)
  return { workers: workers.length === count ? workers : undefined, hasRoom }
}

function waitForCapacity (context: StartContext, group: GroupRecord, count: number, now: number): Start {
  const { table, reservations } = context
  const own = reservations.get(group)
  const waiting: Start = { kind: 'wait', reason: 'capacity' }
  const mayPreempt = group.rank === 0 && own?.kind !== 'preemption'
  const holder = reservations.findBackfill(group.rank)
  const mayReserve = own === undefined && precedesHolder(group, holder)
  if (mayPreempt && !hasFailed(context, group, count, 'preemption')) {
    const plan = planIndexedPreemption(table, group, count, now)
    if (plan !== undefined) {
      reservations.add(plan.reservation)
      context.planVersion++
      for (const victim of plan.victims) victim.stoppingSince = now
      return plan.victims.length > 0 ? { kind: 'preempt', victims: plan.victims } : waiting
    }
    rememberFailure(context, group, count, 'preemption')
  }
  if (mayReserve && !hasFailed(context, group, count, 'backfill')) {
    const reservation = planIndexedBackfill(table, group, count, now)
    if (reservation === undefined) rememberFailure(context, group, count, 'backfill')
    else {
      if (holder !== undefined) reservations.remove(holder.group)
      reservations.add(reservation)
      context.planVersion++
    }
  }
  return waiting
}

/** Tells whether a plan failed for a group alike since the last change; a group's own reservation is room to it. */
function hasFailed (context: StartContext, group: GroupRecord, count: number, plan: string): boolean {
  if (context.reservations.get(group) !== undefined) return false
  return group.shape!.planFailedAt?.get(`${plan}|${group.rank}|${count}`) === context.planVersion
}

function rememberFailure (context: StartContext, group: GroupRecord, count: number, plan: string): void {
  if (context.reservations.get(group) !== undefined) return
  const shape = group.shape!
  shape.planFailedAt ??= new Map()
  shape.planFailedAt.set(`${plan}|${group.rank}|${count}`, context.planVersion)
}
