import { expect } from 'chai'
import { listShards } from './index.ts'

const machines = (count: number, failureDomain: string) => Array.from({ length: count }, (_, index) =>
  ({ id: `${failureDomain}-w${index}`, kind: 'worker', failureDomain }))

describe('listShards', () => {
  it('makes one shard per failure domain and ignores entry VMs', () => {
    const shards = listShards([...machines(2, 'b'), { id: 'e', kind: 'entry', failureDomain: 'c' }, ...machines(1, 'a')])
    expect(shards.map(({ id, workers }) => ({ id, count: workers.length })))
      .to.deep.equal([{ id: 'a', count: 1 }, { id: 'b', count: 2 }])
  })

  it('assigns each worker to one shard independent of the list order, so that no two owners share a worker', () => {
    const list = machines(100, 'a')
    const shards = listShards(list, { workersPerShard: 30 })
    expect(shards).to.have.length(4)
    expect(shards.flatMap(({ workers }) => workers).sort()).to.deep.equal(list.map(({ id }) => id).sort())
    expect(listShards(list.toReversed(), { workersPerShard: 30 })).to.deep.equal(shards)
  })
})
