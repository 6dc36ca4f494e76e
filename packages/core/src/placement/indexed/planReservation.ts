import { MAX_PREEMPTION_CANDIDATES, MIN_RESERVATION_CANDIDATES, RESERVATION_CANDIDATES_PER_TASK } from '../constants/index.ts'
import { addScaled, fits, ZERO_RESOURCES } from '../_lib/resources.ts'
import { allowsDomain, appliesToGroup, computeVictimCost, estimateEnd, isExpectedToStop, isPreemptibleFor } from '../_lib/rules.ts'
import { chooseVictims } from '../chooseVictims/index.ts'
import { findStartTimes } from '../findStartTimes/index.ts'
import type { Resources } from '@gypsumspring/protocol'
import type { GroupRecord, Reservation, TaskRecord, Victim } from '../types.ts'
import { FREE_ACCELERATORS, FREE_CPU, FREE_MEMORY, STRIDE, type WorkerEntry, type WorkerTable } from './WorkerTable.ts'

/** The victims to stop on a worker to free capacity for one task, and the sum of their costs. */
interface PreemptionOption { entry: WorkerEntry, victims: Victim[], cost: number }

/**
 * Plans a preemption: for each starting task of a group, the worker with the fewest and cheapest victims. Undefined
 * unless capacity for all of them can be freed.
 */
export function planIndexedPreemption (
  table: WorkerTable, group: GroupRecord, count: number, now: number
): { reservation: Reservation, victims: TaskRecord[] } | undefined {
  const tasks = new Map<string, number>()
  const victims = new Set<TaskRecord>()
  for (let index = 0; index < count; index++) {
    const best = findCheapestOption(table, group, tasks, victims, now)
    if (best === undefined) return undefined
    tasks.set(best.entry.node.id, (tasks.get(best.entry.node.id) ?? 0) + 1)
    for (const { task } of best.victims) victims.add(task)
  }
  return { reservation: { group, tasks, madeAt: now, startsAt: -Infinity, kind: 'preemption' }, victims: [...victims] }
}

function findCheapestOption (
  table: WorkerTable, group: GroupRecord, planned: Map<string, number>, chosen: Set<TaskRecord>, now: number
): PreemptionOption | undefined {
  const need = group.spec.resources
  let best: PreemptionOption | undefined
  let optionCount = 0
  for (let slot = 0; slot < table.bySlot.length; slot++) {
    const base = slot * STRIDE
    if (table.values[base + FREE_CPU]! + table.preemptibleCpu[slot]! < need.cpuMillis) continue
    if (table.values[base + FREE_MEMORY]! + table.preemptibleMemory[slot]! < need.memoryMb) continue
    const accelerators = table.values[base + FREE_ACCELERATORS]! + table.preemptibleAccelerators[slot]!
    if (accelerators < need.accelerators) continue
    const entry = table.bySlot[slot]
    if (entry === undefined || !table.isIndexed(slot) || table.isProbing(slot)) continue
    if (!allowsDomain(group, entry.node.failureDomain)) continue
    const required = addScaled(sumReserved(entry, group, now), need, (planned.get(entry.node.id) ?? 0) + 1)
    const missing = addScaled(required, table.readFree(slot), -1)
    const option = findPreemptionOption(entry, missing, group, chosen, now)
    if (option === undefined) continue
    if (option.victims.length === 0) return option
    const isBetter = best === undefined || option.victims.length < best.victims.length ||
      (option.victims.length === best.victims.length && option.cost < best.cost)
    if (isBetter) best = option
    if (++optionCount >= MAX_PREEMPTION_CANDIDATES) break
  }
  return best
}

function findPreemptionOption (
  entry: WorkerEntry, shortfall: Resources, group: GroupRecord, chosen: Set<TaskRecord>, now: number
): PreemptionOption | undefined {
  let missing = shortfall
  const candidates: Victim[] = []
  for (const task of entry.tasks) {
    const resources = task.group.spec.resources
    if (chosen.has(task) || isExpectedToStop(task, now)) missing = addScaled(missing, resources, -1)
    else if (isPreemptibleFor(task, group)) candidates.push({ task, resources, cost: computeVictimCost(task, now) })
  }
  if (fits(missing, ZERO_RESOURCES)) return { entry, victims: [], cost: 0 }
  const victims = chooseVictims(missing, candidates)
  return victims && { entry, victims, cost: victims.reduce((sum, { cost }) => sum + cost, 0) }
}

/**
 * Reserves the capacity that is expected to become free first. Undefined when too little is expected for the starting
 * tasks of the group.
 */
export function planIndexedBackfill (
  table: WorkerTable, group: GroupRecord, count: number, now: number
): Reservation | undefined {
  const candidates: Array<{ time: number, worker: string }> = []
  const candidateLimit = Math.max(MIN_RESERVATION_CANDIDATES, RESERVATION_CANDIDATES_PER_TASK * count)
  for (const entry of table.bySlot) {
    if (candidates.length >= candidateLimit) break
    if (entry === undefined || !table.isIndexed(entry.slot) || table.isProbing(entry.slot)) continue
    if (!allowsDomain(group, entry.node.failureDomain)) continue
    const free = addScaled(table.readFree(entry.slot), sumReserved(entry, group, now), -1)
    const ends = Array.from(entry.tasks, (task) => (
      { endsAt: estimateEnd(task, now), resources: task.group.spec.resources }
    ))
    const times = findStartTimes(free, group.spec.resources, ends, count, now)
    for (const time of times) candidates.push({ time, worker: entry.node.id })
  }
  if (candidates.length < count) return undefined
  candidates.sort((a, b) => a.time - b.time)
  const tasks = new Map<string, number>()
  for (const { worker } of candidates.slice(0, count)) tasks.set(worker, (tasks.get(worker) ?? 0) + 1)
  return { group, tasks, madeAt: now, startsAt: candidates[count - 1]!.time, kind: 'backfill' }
}

/** Capacity of a worker that is reserved for other groups and not available to this one. */
function sumReserved (entry: WorkerEntry, group: GroupRecord, now: number): Resources {
  let reserved = ZERO_RESOURCES
  for (const reservation of entry.reservations) {
    if (!appliesToGroup(reservation, group, now, undefined)) continue
    reserved = addScaled(reserved, reservation.group.spec.resources, reservation.tasks.get(entry.node.id) ?? 0)
  }
  return reserved
}
