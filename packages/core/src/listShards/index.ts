import { chooseByRendezvousHash } from '../chooseByRendezvousHash/index.ts'

/** Workers of one failure domain that are scheduled by one owner. */
export interface Shard {
  id: string
  failureDomain: string
  /** Worker ids in ascending order. */
  workers: string[]
}

interface ShardOptions {
  /** Target size of a shard; one shard per failure domain if 0 or absent. */
  workersPerShard?: number
}

/**
 * Partitions the workers of the cell into shards, each within one failure domain.
 *
 * @param machines - Workers with their failure domains; other kinds of VM are ignored.
 * @param options.workersPerShard - Target size of a shard. Default: one shard per failure domain.
 * @returns The shards in id order. A worker keeps its shard as long as the number of shards in its domain is unchanged.
 *
 * @example
 * listShards([{ id: 'w1', kind: 'worker', failureDomain: 'hall-a' }])
 * // => [{ id: 'hall-a', failureDomain: 'hall-a', workers: ['w1'] }]
 */
export function listShards (
  machines: Array<{ id: string, kind: string, failureDomain: string }>, options: ShardOptions = {}
): Shard[] {
  const domains = new Map<string, string[]>()
  for (const { id, kind, failureDomain } of machines) {
    if (kind === 'worker') domains.set(failureDomain, [...domains.get(failureDomain) ?? [], id])
  }
  return [...domains].sort(byId).flatMap(([failureDomain, workers]) => {
    const count = Math.max(1, Math.ceil(workers.length / (options.workersPerShard || Infinity)))
    const ids = count === 1 ? [failureDomain] : Array.from({ length: count }, (_, index) => `${failureDomain}.${index}`)
    const shards = new Map<string, Shard>(ids.map((id) => [id, { id, failureDomain, workers: [] }]))
    for (const worker of workers.sort()) shards.get(chooseByRendezvousHash(worker, ids) ?? '')?.workers.push(worker)
    return [...shards.values()]
  })
}

function byId ([a]: [string, unknown], [b]: [string, unknown]): number {
  return a < b ? -1 : 1
}
