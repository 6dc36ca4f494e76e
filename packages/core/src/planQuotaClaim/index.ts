import type { Resources } from '@gypsumspring/protocol'
import { addScaled, countFitting, fits, ZERO_RESOURCES, maxResources } from '../placement/_lib/resources.ts'
import type { QuotaDemand } from '../types.ts'

/**
 * Minimum share of the unclaimed quota that a claim takes, so that a growing team needs few writes. An eighth of the
 * whole quota instead would leave nothing after eight of 32 shards.
 */
const MIN_CLAIM_SHARE = 1 / 8

interface ClaimPlan {
  /** The shard's new total claim; undefined if the present claim is enough or can't grow enough to start a task. */
  claim: Resources | undefined
  /** Part of the quota that the shard has claimed or could still claim. */
  maxClaim: Resources
  /** The sum of all claims exceeds the quota, for example after the quota was lowered. */
  exceedsQuota: boolean
}

/**
 * Plans a shard's next claim on the quota of a team. Running tasks are always covered, even above the quota, since
 * other shards could otherwise claim what they use. A gang is covered completely or not at all, so that two shards
 * never block each other by claiming a part of what their gangs need.
 *
 * @param shard - Id of the claiming shard.
 * @param quota - Quota of the team in the whole cell.
 * @param claims - Present claims by shard.
 * @param demand - What the shard uses and needs.
 * @returns The claim to write, and the largest claim that is possible now.
 *
 * @example
 * planQuotaClaim('hall-a', quota, new Map(), demand).claim
 */
export function planQuotaClaim (
  shard: string, quota: Resources, claims: ReadonlyMap<string, Resources>, demand: QuotaDemand
): ClaimPlan {
  const own = claims.get(shard) ?? ZERO_RESOURCES
  const covered = maxResources(own, demand.used)
  let sum = covered
  for (const [id, claim] of claims) if (id !== shard) sum = addScaled(sum, claim, 1)
  const exceedsQuota = !fits(sum, quota)
  const free = exceedsQuota ? ZERO_RESOURCES : addScaled(quota, sum, -1)
  const maxClaim = addScaled(covered, free, 1)
  let target = addScaled(demand.used, demand.reserved, 1)
  if (!fits(target, maxClaim)) target = demand.used
  for (const { resources, tasks, allOrNothing } of demand.needs) {
    const fitting = Math.min(tasks, countFitting(resources, addScaled(maxClaim, target, -1)))
    if (!allOrNothing || fitting === tasks) target = addScaled(target, resources, fitting)
  }
  if (fits(target, covered)) return { claim: fits(covered, own) ? undefined : covered, maxClaim, exceedsQuota }
  const minimum: Resources = {
    cpuMillis: Math.ceil(free.cpuMillis * MIN_CLAIM_SHARE),
    memoryMb: Math.ceil(free.memoryMb * MIN_CLAIM_SHARE),
    accelerators: Math.ceil(free.accelerators * MIN_CLAIM_SHARE)
  }
  return { claim: maxResources(target, addScaled(covered, minimum, 1)), maxClaim, exceedsQuota }
}
