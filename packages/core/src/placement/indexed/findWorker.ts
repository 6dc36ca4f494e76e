import { addScaled, fits } from '../_lib/resources.ts'
import { allowsDomain, appliesToGroup, findSpreadKey } from '../_lib/rules.ts'
import { scoreWorker } from '../scoreWorker/index.ts'
import type { GroupRecord } from '../types.ts'
import {
  ACCELERATOR_LEVELS, CAPACITY_ACCELERATORS, CAPACITY_CPU, CAPACITY_MEMORY, CPU_BUCKETS, OVERUSE, findAcceleratorLevel,
  findCpuBucket, findMemoryBucket, findBinRow, FLAGS, FREE_ACCELERATORS, FREE_CPU, FREE_MEMORY, MEMORY_BUCKETS, PROBING,
  RESERVED, STRIDE, type WorkerTable
} from './WorkerTable.ts'

/** Maximum number of fitting workers that are scored. The index yields the best fits first, so more gain little. */
const MAX_COMPARED_WORKERS = 8

export interface WorkerQuery {
  group: GroupRecord
  now: number
  estimatedRunMs: number | undefined
  mayUseIdle: boolean
  packingWeight: number
  /** Placed tasks of the group in each spread domain; undefined when it does not spread. */
  spreadCounts: Map<string, number> | undefined
  /** Slot of a worker that is chosen only when no other has capacity; -1 for none. */
  avoidedSlot: number
}

export interface WorkerSearchResult {
  /** Slot of the best worker; -1 for none. */
  slot: number
  /** Whether any allowed worker has enough free capacity, reserved or not. */
  hasCapacity: boolean
}

/**
 * Finds a worker for one task. Prefers spread domains with the fewest tasks of the group, then workers in use over idle
 * ones, then the best fit among the first workers that the index yields.
 */
export function findWorker (table: WorkerTable, query: WorkerQuery): WorkerSearchResult {
  const search = searchSpreadLevels(table, query)
  if (search.slot >= 0 || query.avoidedSlot < 0) return search
  return searchSpreadLevels(table, { ...query, avoidedSlot: -1 })
}

/** Tries the spread domains with the fewest tasks of the group first. */
function searchSpreadLevels (table: WorkerTable, query: WorkerQuery): WorkerSearchResult {
  if (query.spreadCounts === undefined) return searchInUseThenIdle(table, query, undefined)
  const levels = new Set([0, ...query.spreadCounts.values()])
  let hasCapacity = false
  for (const level of [...levels].sort((a, b) => a - b)) {
    const search = searchInUseThenIdle(table, query, level)
    if (search.slot >= 0 || !search.hasCapacity) return search
    hasCapacity = true
  }
  return { slot: -1, hasCapacity }
}

function searchInUseThenIdle (
  table: WorkerTable, query: WorkerQuery, spreadLevel: number | undefined
): WorkerSearchResult {
  const inUse = searchBins(table, query, spreadLevel, false)
  if (inUse.slot >= 0 || !query.mayUseIdle) return inUse
  const idle = searchBins(table, query, spreadLevel, true)
  return { slot: idle.slot, hasCapacity: inUse.hasCapacity || idle.hasCapacity }
}

/** Scores the first workers of the bins in which the task may fit, in ascending order of free capacity. */
function searchBins (
  table: WorkerTable, query: WorkerQuery, spreadLevel: number | undefined, isIdle: boolean
): WorkerSearchResult {
  const { group, avoidedSlot } = query
  const need = group.spec.resources
  const { values, nextInBin: next, binHeads: heads, rowCounts } = table
  const isGang = group.spec.kind === 'gang'
  const domains = group.spec.failureDomains
  const firstCpu = findCpuBucket(need.cpuMillis)
  const firstMemory = findMemoryBucket(need.memoryMb)
  let best = -1
  let bestScore = Infinity
  let compared = 0
  let hasCapacity = false
  for (let level = findAcceleratorLevel(need.accelerators); level < ACCELERATOR_LEVELS; level++) {
    for (let bucket = firstCpu; bucket < CPU_BUCKETS; bucket++) {
      const row = findBinRow(isIdle, level, bucket)
      if (rowCounts[row] === 0) continue
      for (let bin = row * MEMORY_BUCKETS + firstMemory; bin < (row + 1) * MEMORY_BUCKETS; bin++) {
        for (let slot = heads[bin]!; slot >= 0; slot = next[slot]!) {
          const base = slot * STRIDE
          if (need.cpuMillis > values[base + FREE_CPU]! || need.memoryMb > values[base + FREE_MEMORY]!) continue
          if (need.accelerators > values[base + FREE_ACCELERATORS]!) continue
          if (slot === avoidedSlot) continue
          const flags = values[base + FLAGS]!
          if (isGang && (flags & PROBING) !== 0) continue
          if (domains !== undefined && !allowsDomain(group, table.bySlot[slot]!.node.failureDomain)) continue
          hasCapacity = true
          if (spreadLevel !== undefined && countInDomain(table, query, slot) !== spreadLevel) continue
          if ((flags & RESERVED) !== 0 && !fitsBesideReservations(table, query, slot)) continue
          const fitScore = scoreWorker(
            values[base + FREE_CPU]! - need.cpuMillis, values[base + CAPACITY_CPU]!,
            values[base + FREE_MEMORY]! - need.memoryMb, values[base + CAPACITY_MEMORY]!,
            values[base + FREE_ACCELERATORS]! - need.accelerators, values[base + CAPACITY_ACCELERATORS]!
          )
          const score = fitScore + (1 - query.packingWeight) * values[base + OVERUSE]!
          if (score < bestScore) {
            best = slot
            bestScore = score
          }
          if (++compared >= MAX_COMPARED_WORKERS) return { slot: best, hasCapacity }
        }
      }
    }
  }
  return { slot: best, hasCapacity }
}

function countInDomain (table: WorkerTable, query: WorkerQuery, slot: number): number {
  return query.spreadCounts!.get(findSpreadKey(query.group, table.bySlot[slot]!.node)) ?? 0
}

function fitsBesideReservations (table: WorkerTable, query: WorkerQuery, slot: number): boolean {
  const { group, now, estimatedRunMs } = query
  const entry = table.bySlot[slot]!
  let needed = group.spec.resources
  for (const reservation of entry.reservations) {
    if (!appliesToGroup(reservation, group, now, estimatedRunMs)) continue
    needed = addScaled(needed, reservation.group.spec.resources, reservation.tasks.get(entry.node.id) ?? 0)
  }
  return fits(needed, table.readFree(slot))
}
