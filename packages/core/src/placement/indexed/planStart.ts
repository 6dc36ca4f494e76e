import { computeIdleDelayMs, findAvoidedWorker, findSpreadKey, mayReplaceBackfill } from '../_lib/rules.ts'
import type { GroupRecord, TaskRecord, WaitReason } from '../types.ts'
import { findWorker, type WorkerQuery } from './findWorker.ts'
import { planIndexedBackfill, planIndexedPreemption } from './planReservation.ts'
import type { ReservationIndex } from './ReservationIndex.ts'
import type { WorkerEntry, WorkerTable } from './WorkerTable.ts'

/** Mutable state of the indexed placer that planning reads and updates. */
export interface PlacementContext {
  readonly table: WorkerTable
  readonly reservations: ReservationIndex
  packingWeight: number
  /** Incremented whenever a worker may have gained capacity. */
  capacityVersion: number
  /**
   * Incremented whenever planning a reservation that failed before may succeed. A placement does not count, since it
   * only turns free capacity into capacity that may become free.
   */
  planVersion: number
}

export type StartPlan =
  | { kind: 'place', workers: WorkerEntry[] }
  | { kind: 'preempt', victims: TaskRecord[] }
  | { kind: 'wait', reason: WaitReason }

/** Finds workers for the starting tasks of a group, and failing that plans a preemption or reserves capacity. */
export function planStart (
  context: PlacementContext, group: GroupRecord, count: number, now: number, estimatedRunMs: number | undefined
): StartPlan {
  const { table, packingWeight } = context
  if (table.entries.size === 0) return { kind: 'wait', reason: 'no-workers' }
  const { spreadCounts } = group
  const equivalenceClass = group.equivalenceClass!
  if (equivalenceClass.noCapacityAtVersion === context.capacityVersion) {
    return preemptOrReserve(context, group, count, now)
  }

  const [first] = group.waiting
  const idleDelayMs = computeIdleDelayMs(group, packingWeight, estimatedRunMs)
  const avoided = findAvoidedWorker(group)
  const avoidedSlot = avoided === undefined ? -1 : table.entries.get(avoided)?.slot ?? -1
  const query: WorkerQuery = {
    group, now, estimatedRunMs, packingWeight, spreadCounts, avoidedSlot, mayUseIdle: true
  }
  if (now - first!.queuedAt < idleDelayMs && table.placedTasks > 0) {
    const inUse = findWorkers(table, { ...query, mayUseIdle: false }, count)
    if (inUse.workers !== undefined) return { kind: 'place', workers: inUse.workers }
    if (findWorkers(table, query, count).workers !== undefined) return { kind: 'wait', reason: 'packing-delay' }
    return preemptOrReserve(context, group, count, now)
  }
  const { workers, hasCapacity } = findWorkers(table, query, count)
  if (workers !== undefined) return { kind: 'place', workers }
  if (!hasCapacity) equivalenceClass.noCapacityAtVersion = context.capacityVersion
  return preemptOrReserve(context, group, count, now)
}

/** Finds workers for `count` tasks. `hasCapacity` tells whether any worker has capacity for one, reserved or not. */
function findWorkers (
  table: WorkerTable, query: WorkerQuery, count: number
): { workers: WorkerEntry[] | undefined, hasCapacity: boolean } {
  const { group } = query
  const need = group.spec.resources
  const spreadCounts = query.spreadCounts && new Map(query.spreadCounts)
  const workers: WorkerEntry[] = []
  let hasCapacity = false
  while (workers.length < count) {
    const search = findWorker(table, { ...query, spreadCounts })
    hasCapacity ||= search.hasCapacity
    if (search.slot < 0) break
    const entry = table.bySlot[search.slot]!
    workers.push(entry)
    if (count === 1) break
    table.allocate(search.slot, need, 1)
    const key = findSpreadKey(group, entry.node)
    spreadCounts?.set(key, (spreadCounts.get(key) ?? 0) + 1)
  }
  if (count > 1) for (const { slot } of workers) table.allocate(slot, need, -1)
  return { workers: workers.length === count ? workers : undefined, hasCapacity }
}

function preemptOrReserve (context: PlacementContext, group: GroupRecord, count: number, now: number): StartPlan {
  const { table, reservations } = context
  const own = reservations.get(group)
  const waiting: StartPlan = { kind: 'wait', reason: 'capacity' }
  const mayPreempt = group.rank === 0 && own?.kind !== 'preemption'
  const classBackfill = reservations.findBackfill(group.rank)
  const mayReserve = own === undefined && mayReplaceBackfill(group, classBackfill)
  if (mayPreempt && !hasPlanFailed(context, group, count, 'preemption')) {
    const plan = planIndexedPreemption(table, group, count, now)
    if (plan !== undefined) {
      reservations.add(plan.reservation)
      context.planVersion++
      for (const victim of plan.victims) victim.stoppingSince = now
      return plan.victims.length > 0 ? { kind: 'preempt', victims: plan.victims } : waiting
    }
    recordPlanFailure(context, group, count, 'preemption')
  }
  if (mayReserve && !hasPlanFailed(context, group, count, 'backfill')) {
    const reservation = planIndexedBackfill(table, group, count, now)
    if (reservation === undefined) recordPlanFailure(context, group, count, 'backfill')
    else {
      if (classBackfill !== undefined) reservations.remove(classBackfill.group)
      reservations.add(reservation)
      context.planVersion++
    }
  }
  return waiting
}

/**
 * Tells whether the same plan has failed for an equivalent group since the last change. Failures are not shared with a
 * group that has a reservation, because it may also use the capacity reserved for it.
 */
function hasPlanFailed (context: PlacementContext, group: GroupRecord, count: number, plan: string): boolean {
  if (context.reservations.get(group) !== undefined) return false
  return group.equivalenceClass!.failedPlanVersions?.get(`${plan}|${group.rank}|${count}`) === context.planVersion
}

function recordPlanFailure (context: PlacementContext, group: GroupRecord, count: number, plan: string): void {
  if (context.reservations.get(group) !== undefined) return
  const equivalenceClass = group.equivalenceClass!
  equivalenceClass.failedPlanVersions ??= new Map()
  equivalenceClass.failedPlanVersions.set(`${plan}|${group.rank}|${count}`, context.planVersion)
}
