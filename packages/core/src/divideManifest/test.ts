import { expect } from 'chai'
import type { Manifest, Workload } from '@gypsumspring/protocol'
import { chooseShard } from '../chooseShard/index.ts'
import { divideManifest } from './index.ts'

const resources = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
const configure = (...workloads: Array<Partial<Workload>>): Manifest => ({
  scope: 's',
  teams: [],
  workloads: workloads.map((workload) => ({ id: 'w', team: 't', kind: 'batch', tasks: 1, resources, ...workload }))
})
const domains = ['a', 'b', 'c']

describe('divideManifest', () => {
  it('divides a service into one group per domain without losing or adding a task', () => {
    for (let tasks = 1; tasks < 20; tasks++) {
      const groups = divideManifest(configure({ kind: 'service', tasks }), domains)
      expect(groups.flatMap((group) => group.tasks)).to.have.length(tasks)
      expect(groups.every(({ failureDomains }) => failureDomains?.length === 1)).to.equal(true)
    }
  })

  it('keeps the names of the tasks that stay when a service grows, so that they are not restarted', () => {
    const names = (tasks: number) =>
      divideManifest(configure({ kind: 'service', tasks }), domains).flatMap((group) => group.tasks)
    for (let tasks = 1; tasks < 20; tasks++) expect(names(tasks + 1)).to.include.members(names(tasks))
  })

  it('changes the generation with the payload only, so that a new limit does not run finished work again', () => {
    const generation = (workload: Partial<Workload>) =>
      divideManifest(configure(workload), domains)[0]?.generation
    expect(generation({ retryLimit: 9, tasks: 7 })).to.equal(generation({}))
    expect(generation({ payload: { day: 2 } })).to.not.equal(generation({ payload: { day: 1 } }))
  })

  it('marks cancelled workloads', () => {
    const groups = divideManifest(configure({ id: 'gone' }, {}), domains, { cancelled: new Set(['gone']) })
    expect(groups.map(({ cancelled }) => cancelled)).to.deep.equal([true, false])
  })
})

describe('chooseShard', () => {
  it('moves only the groups of a shard that goes', () => {
    const shards = ['a', 'b', 'c', 'd']
    for (let index = 0; index < 200; index++) {
      const home = chooseShard(`g${index}`, shards)
      if (home !== 'd') expect(chooseShard(`g${index}`, ['a', 'b', 'c'])).to.equal(home)
    }
  })
})
