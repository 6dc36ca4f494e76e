import type { Resources } from '@gypsumspring/protocol'
import { addScaled, countFitting, fits, ZERO_RESOURCES, maxResources } from '../placement/_lib/resources.ts'
import type { QuotaDemand } from '../types.ts'

/**
 * Part of what no shard has claimed that a claim takes at least, so that a growing team needs few writes. An eighth of
 * the quota itself would be gone after eight of 32 shards.
 */
const CHUNK_SHARE = 1 / 8

interface ClaimPlan {
  /** What the shard should claim in all; undefined when its present claim is enough or can't grow enough to help. */
  claim: Resources | undefined
  /** Part of the quota that the shard holds or could still claim. */
  reachable: Resources
  /** All claims together exceed the quota, as after it was lowered. */
  isOver: boolean
}

/**
 * Plans a shard's next claim on the quota of a team. Tasks that run are always covered, even above the quota: leaving
 * them out would let other shards claim what they take. A gang is covered whole or not at all, so that two shards never
 * each hold a part of what their gangs wait for.
 *
 * @param shard - Shard that claims.
 * @param quota - Quota of the team in the whole cell.
 * @param claims - Present claims by shard.
 * @param demand - What the shard uses and needs.
 * @returns The claim to write and what can be reached.
 *
 * @example
 * planQuotaClaim('hall-a', quota, new Map(), demand).claim
 */
export function planQuotaClaim (
  shard: string, quota: Resources, claims: ReadonlyMap<string, Resources>, demand: QuotaDemand
): ClaimPlan {
  const own = claims.get(shard) ?? ZERO_RESOURCES
  const base = maxResources(own, demand.used)
  let sum = base
  for (const [id, claim] of claims) if (id !== shard) sum = addScaled(sum, claim, 1)
  const isOver = !fits(sum, quota)
  const free = isOver ? ZERO_RESOURCES : addScaled(quota, sum, -1)
  const reachable = addScaled(base, free, 1)
  let target = addScaled(demand.used, demand.reserved, 1)
  if (!fits(target, reachable)) target = demand.used
  for (const { resources, tasks, whole } of demand.needs) {
    const fitting = Math.min(tasks, countFitting(resources, addScaled(reachable, target, -1)))
    if (!whole || fitting === tasks) target = addScaled(target, resources, fitting)
  }
  if (fits(target, base)) return { claim: fits(base, own) ? undefined : base, reachable, isOver }
  const chunk: Resources = {
    cpuMillis: Math.ceil(free.cpuMillis * CHUNK_SHARE),
    memoryMb: Math.ceil(free.memoryMb * CHUNK_SHARE),
    accelerators: Math.ceil(free.accelerators * CHUNK_SHARE)
  }
  return { claim: maxResources(target, addScaled(base, chunk, 1)), reachable, isOver }
}
