import { expect } from 'chai'
import type { Manifest, Workload } from '@gypsumspring/protocol'
import { chooseByRendezvousHash } from '../chooseByRendezvousHash/index.ts'
import { expandManifest } from './index.ts'

const resources = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
const configure = (...workloads: Array<Partial<Workload>>): Manifest => ({
  scope: 's',
  teams: [],
  workloads: workloads.map((workload) => ({ id: 'w', team: 't', kind: 'batch', tasks: 1, resources, ...workload }))
})
const domains = ['a', 'b', 'c']

describe('expandManifest', () => {
  it('expands a service into one group per domain without losing or adding a task', () => {
    for (let tasks = 1; tasks < 20; tasks++) {
      const groups = expandManifest(configure({ kind: 'service', tasks }), domains)
      expect(groups.flatMap((group) => group.tasks)).to.have.length(tasks)
      expect(groups.every(({ failureDomains }) => failureDomains?.length === 1)).to.equal(true)
    }
  })

  it('keeps the ids of existing tasks when a service grows, so that they are not restarted', () => {
    const names = (tasks: number) =>
      expandManifest(configure({ kind: 'service', tasks }), domains).flatMap((group) => group.tasks)
    for (let tasks = 1; tasks < 20; tasks++) expect(names(tasks + 1)).to.include.members(names(tasks))
  })

  it('changes the generation only with the payload, so that a new retry limit does not run finished work again', () => {
    const generation = (workload: Partial<Workload>) =>
      expandManifest(configure(workload), domains)[0]?.generation
    expect(generation({ retryLimit: 9, tasks: 7 })).to.equal(generation({}))
    expect(generation({ payload: { day: 2 } })).to.not.equal(generation({ payload: { day: 1 } }))
  })

  it('marks cancelled workloads', () => {
    const groups = expandManifest(configure({ id: 'gone' }, {}), domains, { cancelled: new Set(['gone']) })
    expect(groups.map(({ cancelled }) => cancelled)).to.deep.equal([true, false])
  })
})

describe('chooseByRendezvousHash', () => {
  it('moves only the groups of a removed shard', () => {
    const shards = ['a', 'b', 'c', 'd']
    for (let index = 0; index < 200; index++) {
      const home = chooseByRendezvousHash(`g${index}`, shards)
      if (home !== 'd') expect(chooseByRendezvousHash(`g${index}`, ['a', 'b', 'c'])).to.equal(home)
    }
  })
})
