import type { Resources } from '@gypsumspring/protocol'
import { addScaled, fits, maxResources, minResources } from '../placement/_lib/resources.ts'
import type { QuotaDemand } from '../types.ts'

/**
 * Plans how much of its claim a shard keeps: its recent peak use, and at least what its tasks and reservations take
 * now. Quota claimed for a gang that still can't start is returned too, so that it does not block a gang elsewhere.
 *
 * @param claim - Present claim.
 * @param recentUse - Peak of used plus reserved resources in the last seconds, per dimension.
 * @param demand - What the shard uses and needs now.
 * @returns The reduced claim; undefined if there is nothing to return.
 *
 * @example
 * planQuotaReturn(claim, recentUse, demand)
 */
export function planQuotaReturn (claim: Resources, recentUse: Resources, demand: QuotaDemand): Resources | undefined {
  const kept = maxResources(recentUse, addScaled(demand.used, demand.reserved, 1))
  const next = maxResources(demand.used, minResources(claim, kept))
  return fits(claim, next) ? undefined : next
}
