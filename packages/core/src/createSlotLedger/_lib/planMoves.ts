import type { SlotMove } from '@gypsumspring/protocol'
import { MAX_SURPLUS_SHARE, STARVATION_TIMEOUT_MS } from '../constants/index.ts'
import {
  runnerKey, type Allocation, type AllocationTable, type EndpointLoad, type RunnerSlots
} from './AllocationTable.ts'
import { planTargets } from './planTargets.ts'

interface Moves {
  grants: SlotMove[]
  releases: SlotMove[]
}

/** Plans which tokens the reporting entry is granted and which it is asked to release. Does not change the table. */
export function planMoves (table: AllocationTable, allocation: Allocation, now: number): Moves {
  const moves = [...groupByEndpoint(table)].map(([endpoint, runners]) => {
    return planEndpoint(table, allocation, endpoint, runners, now)
  })
  return { grants: moves.flatMap(({ grants }) => grants), releases: moves.flatMap(({ releases }) => releases) }
}

/**
 * Finds the entries whose tokens could be recalled for requests that wait at the reporting entry. Does not change the
 * table. Their spare tokens are known only as of their last report, so the result includes every entry that holds
 * tokens of the endpoint. Including only entries with a surplus in their last report tripled the 99th percentile of the
 * waiting time at 80% load.
 */
export function findRecallSources (table: AllocationTable, allocation: Allocation): Allocation[] {
  if (allocation.leaving) return []
  const lacking = [...allocation.loads].filter(([, { held, inUse, waiting }]) => waiting > held - inUse)
  return table.all().filter((each) => each !== allocation && isActive(each) && !each.leaving &&
    lacking.some(([endpoint]) => table.load(each, endpoint).held > 0))
}

function groupByEndpoint (table: AllocationTable): Map<string, RunnerSlots[]> {
  const byEndpoint = new Map<string, RunnerSlots[]>()
  for (const runner of table.runners.values()) {
    const group = byEndpoint.get(runner.endpoint)
    if (group === undefined) byEndpoint.set(runner.endpoint, [runner])
    else group.push(runner)
  }
  return byEndpoint
}

/**
 * Computes which entries may hold tokens of the endpoint, how many tokens are free, and how many tokens each entry
 * should hold.
 */
function assessEndpoint (table: AllocationTable, endpoint: string, runners: RunnerSlots[], now: number) {
  const eligible = table.all().filter((each) => each.registered && isActive(each) && !each.leaving)
  const usable = runners.filter((runner) => !isAvoided(eligible, runner))
  const held = eligible.reduce((sum, each) => sum + table.load(each, endpoint).held, 0)
  const free = usable.reduce((sum, runner) => sum + Math.max(0, table.free(runner)), 0)
  const targets = planTargets(held + free, eligible.map((each) => {
    const { smoothed, starvingSince } = table.load(each, endpoint)
    const starvation = starvingSince === undefined ? 0 : (now - starvingSince) / STARVATION_TIMEOUT_MS
    return { entry: each.entry, load: smoothed, starvation }
  }))
  return { eligible, usable, free, targets }
}

function planEndpoint (
  table: AllocationTable, allocation: Allocation, endpoint: string, runners: RunnerSlots[], now: number
): Moves {
  const overallocated = runners.filter((runner) => table.free(runner) < 0).flatMap((runner) => {
    const held = allocation.bounds.get(runnerKey(runner))?.held ?? 0
    return toMoves(runner, Math.min(held, -table.free(runner)))
  })
  if (allocation.leaving) {
    return { grants: [], releases: runners.flatMap((runner) => toMoves(runner, countHeld(allocation, runner))) }
  }
  const { eligible, usable, free, targets } = assessEndpoint(table, endpoint, runners, now)
  const { held, inUse, waiting } = table.load(allocation, endpoint)
  const target = targets.get(allocation.entry) ?? 0
  const needed = eligible.filter((each) => each !== allocation).reduce((sum, each) => {
    return sum + Math.max(0, (targets.get(each.entry) ?? 0) - table.load(each, endpoint).held)
  }, 0)
  // Leaves free tokens that were recalled for other entries to those entries.
  const wanted = Math.max(target - held, Math.min(waiting - (held - inUse), free - needed))
  if (wanted > 0 && free > 0) {
    return { grants: planGrants(table, allocation, usable, Math.min(wanted, free)), releases: overallocated }
  }
  const recallable = countRecallable(table.load(allocation, endpoint), target)
  const surplus = overallocated.length > 0 ? 0 : Math.min(recallable, needed - free)
  return { grants: [], releases: surplus > 0 ? planRecalls(allocation, usable, surplus) : overallocated }
}

/**
 * Returns how many tokens above its target an entry can be asked to release. A token in transit is idle for about one
 * report interval, so following each fluctuation of the load would cost more capacity than it gains.
 */
function countRecallable ({ held, inUse, waiting }: EndpointLoad, target: number): number {
  const surplus = held - target
  const idle = held - inUse
  if (surplus > Math.max(1, held * MAX_SURPLUS_SHARE)) return waiting > 0 ? Math.ceil(surplus / 2) : surplus
  return waiting > 0 ? 0 : Math.min(surplus, idle)
}

/** Whether at least half of its holders avoid the runner. Its tokens are not moved, so that holders can probe it. */
function isAvoided (eligible: Allocation[], runner: RunnerSlots): boolean {
  const bounds = eligible.flatMap((allocation) => allocation.bounds.get(runnerKey(runner)) ?? [])
  const avoiding = bounds.filter(({ avoided }) => avoided).length
  return avoiding > 0 && avoiding >= bounds.length / 2
}

function isActive (allocation: Allocation): boolean {
  return allocation.retiredAt === undefined && allocation.leftAt === undefined && allocation.hasReported
}

function countHeld (allocation: Allocation, runner: RunnerSlots): number {
  return allocation.bounds.get(runnerKey(runner))?.held ?? 0
}

function toMoves ({ endpoint, runner }: RunnerSlots, slots: number): SlotMove[] {
  return slots > 0 ? [{ endpoint, runner, slots }] : []
}

/** Prefers runners with many free tokens and runners of which the entry holds few. */
function planGrants (
  table: AllocationTable, allocation: Allocation, runners: RunnerSlots[], count: number
): SlotMove[] {
  return distribute(runners, count, (runner) => Math.max(0, table.free(runner)),
    (runner, assigned) => table.free(runner) - countHeld(allocation, runner) - 2 * assigned)
}

/** Recalls unused tokens first, spread evenly over the runners. */
function planRecalls (allocation: Allocation, runners: RunnerSlots[], count: number): SlotMove[] {
  const limit = (runner: RunnerSlots): number => {
    const bound = allocation.bounds.get(runnerKey(runner))
    return bound === undefined || bound.avoided ? 0 : bound.held
  }
  return distribute(runners, count, limit, (runner, assigned) => {
    const bound = allocation.bounds.get(runnerKey(runner))
    return bound === undefined ? -Infinity : bound.held - bound.inUse - assigned + bound.held / 1000
  })
}

/** Assigns tokens one at a time to the runner with the highest rank, up to each runner's limit. */
function distribute (
  runners: RunnerSlots[], count: number,
  limit: (runner: RunnerSlots) => number, rank: (runner: RunnerSlots, assigned: number) => number
): SlotMove[] {
  const assigned = new Map<RunnerSlots, number>()
  for (let left = count; left > 0; left--) {
    let best: RunnerSlots | undefined
    let bestRank = -Infinity
    for (const runner of runners) {
      const taken = assigned.get(runner) ?? 0
      if (taken >= limit(runner)) continue
      const value = rank(runner, taken)
      if (value > bestRank) [best, bestRank] = [runner, value]
    }
    if (best === undefined) break
    assigned.set(best, (assigned.get(best) ?? 0) + 1)
  }
  return [...assigned].flatMap(([runner, slots]) => toMoves(runner, slots))
}
