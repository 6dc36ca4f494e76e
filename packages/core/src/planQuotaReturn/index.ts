import type { Resources } from '@gypsumspring/protocol'
import { addScaled, fits, maxResources, minResources } from '../placement/_lib/resources.ts'
import type { QuotaDemand } from '../types.ts'

/**
 * Plans what a shard keeps of its claim: the most that it used lately, and at least what its tasks and reservations
 * take now. What a waiting gang can't use is given back with the rest, so that it can't block a gang elsewhere.
 *
 * @param claim - Present claim.
 * @param recentUse - Most that was used and reserved in the last seconds, in each dimension.
 * @param demand - What the shard uses and needs now.
 * @returns The smaller claim; undefined when there is nothing to give back.
 *
 * @example
 * planQuotaReturn(claim, recentUse, demand)
 */
export function planQuotaReturn (claim: Resources, recentUse: Resources, demand: QuotaDemand): Resources | undefined {
  const kept = maxResources(recentUse, addScaled(demand.used, demand.reserved, 1))
  const next = maxResources(demand.used, minResources(claim, kept))
  return fits(claim, next) ? undefined : next
}
