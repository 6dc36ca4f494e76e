import type { Resources } from '@gypsumspring/protocol'
import { addScaled, computeDominantShare, fits, ZERO_RESOURCES } from '../_lib/resources.ts'
import type { Victim } from '../types.ts'

/**
 * Chooses the tasks to stop on one worker so that an amount becomes free. If a single task suffices, it is the cheapest
 * such task. Otherwise tasks are added by descending contribution, and then those that are not needed are dropped, the
 * most expensive first.
 *
 * @param missing - Amount that has to become free; dimensions at or below 0 are ignored.
 * @param candidates - Tasks on the worker that may be stopped.
 * @returns The victims, or undefined when all candidates together do not free enough.
 * @example
 * chooseVictims({ cpuMillis: 500, memoryMb: 0, accelerators: 0 }, []) // undefined
 */
export function chooseVictims (missing: Resources, candidates: Victim[]): Victim[] | undefined {
  const needed = {
    cpuMillis: Math.max(0, missing.cpuMillis),
    memoryMb: Math.max(0, missing.memoryMb),
    accelerators: Math.max(0, missing.accelerators)
  }
  let single: Victim | undefined
  for (const candidate of candidates) {
    if (!fits(needed, candidate.resources)) continue
    if (single === undefined || compareVictims(candidate, single) < 0) single = candidate
  }
  if (single !== undefined) return [single]

  const usefulPart = (victim: Victim): Resources => ({
    cpuMillis: Math.min(needed.cpuMillis, victim.resources.cpuMillis),
    memoryMb: Math.min(needed.memoryMb, victim.resources.memoryMb),
    accelerators: Math.min(needed.accelerators, victim.resources.accelerators)
  })
  const byContribution = candidates
    .map((victim) => ({ victim, share: computeDominantShare(usefulPart(victim), needed) }))
    .sort((a, b) => b.share - a.share || compareVictims(a.victim, b.victim))
  let freed = ZERO_RESOURCES
  const chosen: Victim[] = []
  for (const { victim } of byContribution) {
    if (fits(needed, freed)) break
    freed = addScaled(freed, victim.resources, 1)
    chosen.push(victim)
  }
  if (!fits(needed, freed)) return undefined
  for (const victim of [...chosen].sort((a, b) => compareVictims(b, a))) {
    const without = addScaled(freed, victim.resources, -1)
    if (!fits(needed, without)) continue
    freed = without
    chosen.splice(chosen.indexOf(victim), 1)
  }
  return chosen
}

function compareVictims (a: Victim, b: Victim): number {
  return a.cost - b.cost || (a.task.id < b.task.id ? -1 : 1)
}
