import { expect } from 'chai'
import fc from 'fast-check'
import type { PlacementDecision } from '../../types.ts'
import { arbitrarySteps, HistoryRunner } from '../_test/HistoryRunner.ts'
import { NaivePlacer } from '../naive/NaivePlacer.ts'
import { IndexedPlacer } from './IndexedPlacer.ts'

const SEED = 20261203

/** What two placers must agree on; the choice of the worker is free. */
function withoutWorkers (decisions: PlacementDecision[]): unknown {
  return decisions.map((decision) => decision.kind === 'place'
    ? { ...decision, placements: decision.placements.map(({ task }) => task) }
    : decision.kind === 'preempt' ? { ...decision, victims: [...decision.victims].sort() } : decision)
}

function sortEntries<Value> (map: Map<string, Value>): Array<[string, Value]> {
  return [...map].sort(([a], [b]) => a < b ? -1 : 1)
}

describe('IndexedPlacer', () => {
  it('breaks no rule of capacity, quota, gang or place over random histories', () => {
    // Guards against index totals that drift from the tasks: a worker or team over its limit, a gang started in part.
    fc.assert(fc.property(arbitrarySteps(300), fc.integer({ min: 1, max: 40 }), (history, limit) => {
      const placer = new IndexedPlacer()
      new HistoryRunner([placer], (now) => placer.decide(now, limit)).run(history)
    }), { seed: SEED, numRuns: 150 })
  })

  it('starts every group in the end, once work ends and workers are available', () => {
    // Guards against gangs that block each other, reservations and team holds that never end, and forgotten groups.
    fc.assert(fc.property(arbitrarySteps(200), fc.integer({ min: 1, max: 40 }), (steps, limit) => {
      const placer = new IndexedPlacer()
      const history = new HistoryRunner([placer], (now) => placer.decide(now, limit))
      history.run(steps)
      history.drain()
    }), { seed: SEED, numRuns: 150 })
  })

  it('reaches the same verdict as the naive placer in the same state', () => {
    // Guards against an index that hides a worker with room, and against stale caches of failed searches and plans.
    fc.assert(fc.property(arbitrarySteps(160), (history) => {
      const indexed = new IndexedPlacer()
      const naive = new NaivePlacer()
      compareDecisions(indexed, naive).run(history)
    }), { seed: SEED, numRuns: 150 })
  })
})

/** Decides one at a time on both, compares, and moves the naive placer's tasks to the workers that the other chose. */
function compareDecisions (indexed: IndexedPlacer, naive: NaivePlacer): HistoryRunner {
  const history = new HistoryRunner([indexed, naive], (now) => {
    const made: PlacementDecision[] = []
    for (;;) {
      const decisions = indexed.decide(now, 1)
      expect(withoutWorkers(decisions)).to.deep.equal(withoutWorkers(naive.decide(now, 1)))
      for (const decision of decisions) {
        if (decision.kind !== 'place') continue
        for (const { task } of decision.placements) naive.release(task)
        for (const { task, worker } of decision.placements) naive.restore(task, worker)
      }
      made.push(...decisions)
      if (decisions.length === 0) break
    }
    expect(sortEntries(indexed.listQuotaDemands())).to.deep.equal(sortEntries(naive.listQuotaDemands()))
    for (const task of history.model.waiting) expect(indexed.explain(task, now)).to.deep.equal(naive.explain(task, now))
    return made
  })
  return history
}
