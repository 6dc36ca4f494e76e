import { addScaled } from '../_lib/resources.ts'
import { allowsDomain, bindsGroup, findSpreadKey } from '../_lib/rules.ts'
import { scoreWorker } from '../scoreWorker/index.ts'
import type { GroupRecord } from '../types.ts'
import {
  ACCELERATOR_LEVELS, CPU_BUCKETS, findAcceleratorLevel, findCpuBucket, findMemoryBucket, findRow, MEMORY_BUCKETS,
  type WorkerTable
} from './WorkerTable.ts'

/** Fitting workers compared with each other; the index gives the tightest first, and more cost time. */
const COMPARED_WORKERS = 16

export interface WorkerQuery {
  group: GroupRecord
  now: number
  estimatedRunMs: number | undefined
  mayOpenIdle: boolean
  packingWeight: number
  /** Tasks of the group in each spread domain. */
  spreadCounts: Map<string, number> | undefined
}

export interface WorkerSearch {
  slot: number
  /** Whether any worker has room when reservations are not considered. */
  hasRoom: boolean
}

/** Finds a good worker for one task: fewest tasks of the group in its spread domain, in use, then tightest. */
export function findWorker (table: WorkerTable, query: WorkerQuery): WorkerSearch {
  if (query.spreadCounts === undefined) return searchTiers(table, query, undefined)
  const levels = new Set([0, ...query.spreadCounts.values()])
  let hasRoom = false
  for (const level of [...levels].sort((a, b) => a - b)) {
    const search = searchTiers(table, query, level)
    if (search.slot >= 0 || !search.hasRoom) return search
    hasRoom = true
  }
  return { slot: -1, hasRoom }
}

function searchTiers (table: WorkerTable, query: WorkerQuery, spreadLevel: number | undefined): WorkerSearch {
  const inUse = searchTier(table, query, spreadLevel, false)
  if (inUse.slot >= 0 || !query.mayOpenIdle) return inUse
  const idle = searchTier(table, query, spreadLevel, true)
  return { slot: idle.slot, hasRoom: inUse.hasRoom || idle.hasRoom }
}

function searchTier (
  table: WorkerTable, query: WorkerQuery, spreadLevel: number | undefined, isIdle: boolean
): WorkerSearch {
  const { group } = query
  const need = group.spec.resources
  const { freeCpu, freeMemory, freeAccelerators, next, heads, rowCounts, probing, reserved } = table
  const isGang = group.spec.kind === 'gang'
  const domains = group.spec.failureDomains
  const firstCpu = findCpuBucket(need.cpuMillis)
  const firstMemory = findMemoryBucket(need.memoryMb)
  let best = -1
  let bestScore = Infinity
  let compared = 0
  let hasRoom = false
  for (let level = findAcceleratorLevel(need.accelerators); level < ACCELERATOR_LEVELS; level++) {
    for (let bucket = firstCpu; bucket < CPU_BUCKETS; bucket++) {
      const row = findRow(isIdle, level, bucket)
      if (rowCounts[row] === 0) continue
      for (let cell = row * MEMORY_BUCKETS + firstMemory; cell < (row + 1) * MEMORY_BUCKETS; cell++) {
        for (let slot = heads[cell]!; slot >= 0; slot = next[slot]!) {
          if (need.cpuMillis > freeCpu[slot]! || need.memoryMb > freeMemory[slot]!) continue
          if (need.accelerators > freeAccelerators[slot]!) continue
          if (isGang && probing[slot] === 1) continue
          if (domains !== undefined && !allowsDomain(group, table.bySlot[slot]!.node.failureDomain)) continue
          hasRoom = true
          if (spreadLevel !== undefined && countInDomain(table, query, slot) !== spreadLevel) continue
          if (reserved[slot] === 1 && !fitsBesideReservations(table, query, slot)) continue
          const score = scoreSlot(table, query, slot)
          if (score < bestScore) {
            best = slot
            bestScore = score
          }
          if (++compared >= COMPARED_WORKERS) return { slot: best, hasRoom }
        }
      }
    }
  }
  return { slot: best, hasRoom }
}

function countInDomain (table: WorkerTable, query: WorkerQuery, slot: number): number {
  return query.spreadCounts!.get(findSpreadKey(query.group, table.bySlot[slot]!.node)) ?? 0
}

function fitsBesideReservations (table: WorkerTable, query: WorkerQuery, slot: number): boolean {
  const { group, now, estimatedRunMs } = query
  const entry = table.bySlot[slot]!
  let needed = group.spec.resources
  for (const reservation of entry.reservations) {
    if (!bindsGroup(reservation, group, now, estimatedRunMs)) continue
    needed = addScaled(needed, reservation.group.spec.resources, reservation.tasks.get(entry.node.id) ?? 0)
  }
  return needed.cpuMillis <= table.freeCpu[slot]! && needed.memoryMb <= table.freeMemory[slot]! &&
    needed.accelerators <= table.freeAccelerators[slot]!
}

function scoreSlot (table: WorkerTable, query: WorkerQuery, slot: number): number {
  const entry = table.bySlot[slot]!
  const need = query.group.spec.resources
  return scoreWorker(table.readFree(slot), need, entry.node.capacity, entry.measured, query.packingWeight)
}
