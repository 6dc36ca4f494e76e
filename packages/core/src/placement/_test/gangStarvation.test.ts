import { expect } from 'chai'
import type { Placer, TaskGroup } from '../../types.ts'
import { IndexedPlacer } from '../indexed/IndexedPlacer.ts'
import { NaivePlacer } from '../naive/NaivePlacer.ts'

const CORES = 16
const STREAMING_TEAMS = ['b', 'c', 'd', 'e', 'f']
const STEP_MS = 1000
const START_MS = 120_000
const LIMIT_MS = 15 * 60_000

function buildGroup (id: string, team: string, submittedAt: number, changes: Partial<TaskGroup>): TaskGroup {
  return {
    id,
    team,
    kind: 'batch',
    priority: 'normal',
    spread: 'none',
    preemptible: false,
    resources: { cpuMillis: 1000, memoryMb: 1, accelerators: 0 },
    tasks: [`${id}/0`],
    submittedAt,
    ...changes
  }
}

/**
 * Overloads the cell with small tasks of five teams and returns how long a gang with 12 cores per task waits, in ms.
 * The gang's team also runs a service with four cores on each worker, so that its share is the largest and its groups
 * are always considered last.
 */
function measureGangWait (placer: Placer, workers: number, estimatedRunMs: number, runMs: number): number {
  for (let index = 0; index < workers; index++) {
    placer.addWorker({
      id: `w${index}`,
      failureDomain: `d${index % 3}`,
      rack: `r${index % 4}`,
      capacity: { cpuMillis: CORES * 1000, memoryMb: 32_768, accelerators: 0 }
    })
  }
  placer.setPackingWeight(0)
  placer.submit(buildGroup('service', 'a', 0, {
    kind: 'service',
    // More than half of a worker's memory, so that each worker runs one task.
    resources: { cpuMillis: 4000, memoryMb: 20_000, accelerators: 0 },
    tasks: Array.from({ length: workers }, (_value, index) => `service/${index}`)
  }))
  placer.decide(0, workers)
  const ends = new Map<number, string[]>()
  // 5% more than what fits beside the service.
  const perStep = Math.ceil(workers * (CORES - 4) * STEP_MS / runMs * 1.05)
  let next = 0
  for (let now = 0; now <= START_MS + LIMIT_MS; now += STEP_MS) {
    for (const task of ends.get(now) ?? []) placer.release(task)
    for (let count = 0; count < perStep; count++, next++) {
      placer.submit(buildGroup(`small-${next}`, STREAMING_TEAMS[next % STREAMING_TEAMS.length]!, now, { estimatedRunMs }))
    }
    if (now === START_MS) {
      placer.submit(buildGroup('gang', 'a', now, {
        kind: 'gang',
        resources: { cpuMillis: 12_000, memoryMb: 1, accelerators: 0 },
        tasks: Array.from({ length: workers - 2 }, (_value, index) => `gang/${index}`),
        estimatedRunMs: 60_000
      }))
    }
    for (const decision of placer.decide(now, 100)) {
      if (decision.group === 'gang' && decision.kind === 'place') return now - START_MS
      if (decision.kind !== 'place') continue
      const tasks = decision.placements.map(({ task }) => task)
      ends.set(now + runMs, [...ends.get(now + runMs) ?? [], ...tasks])
    }
  }
  return Infinity
}

describe('a gang behind an endless stream of small work in its own class', () => {
  // Guards against starvation of the gang: small tasks that take over its reservation, or that are admitted to the
  // reserved workers again and again because their estimates are too short.
  const cases = [
    { name: 'with accurate estimates', estimatedRunMs: 30_000, runMs: 30_000 },
    { name: 'that runs three times as long as estimated', estimatedRunMs: 10_000, runMs: 30_000 },
    { name: 'that runs sixty times as long as estimated', estimatedRunMs: 1000, runMs: 60_000 }
  ]
  for (const { name, estimatedRunMs, runMs } of cases) {
    it(`starts within 15 minutes: small work ${name}`, () => {
      expect(measureGangWait(new IndexedPlacer(), 30, estimatedRunMs, runMs)).to.be.at.most(LIMIT_MS)
    })
  }

  it('starts within 15 minutes under the naive placer too', () => {
    expect(measureGangWait(new NaivePlacer(), 6, 10_000, 30_000)).to.be.at.most(LIMIT_MS)
  })
})
