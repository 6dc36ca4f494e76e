import { expect } from 'chai'
import fc from 'fast-check'
import type { PlacementDecision } from '../../types.ts'
import { arbitrarySteps, HistoryRunner } from '../_test/HistoryRunner.ts'
import { NaivePlacer } from '../naive/NaivePlacer.ts'
import { IndexedPlacer } from './IndexedPlacer.ts'

const SEED = 20261203

/** Strips the choice of workers, on which two placers may differ, and sorts the victims. */
function withoutWorkers (decisions: PlacementDecision[]): unknown {
  return decisions.map((decision) => decision.kind === 'place'
    ? { ...decision, placements: decision.placements.map(({ task }) => task) }
    : decision.kind === 'preempt' ? { ...decision, victims: [...decision.victims].sort() } : decision)
}

function sortEntries<Value> (map: Map<string, Value>): Array<[string, Value]> {
  return [...map].sort(([a], [b]) => a < b ? -1 : 1)
}

describe('IndexedPlacer', () => {
  it('keeps the limits of capacity and quota and the rules of gangs, workers and domains over random histories', () => {
    // Guards against totals in the index that drift from the tasks, which show as a worker or team over its limit, and
    // against partially started gangs.
    fc.assert(fc.property(arbitrarySteps(300), fc.integer({ min: 1, max: 40 }), (history, limit) => {
      const placer = new IndexedPlacer()
      new HistoryRunner([placer], (now) => placer.decide(now, limit)).run(history)
    }), { seed: SEED, numRuns: 150 })
  })

  it('starts every group eventually, once running tasks end and all workers are available', () => {
    // Guards against gangs that block each other, reservations or blocked teams that never end, and lost groups.
    fc.assert(fc.property(arbitrarySteps(200), fc.integer({ min: 1, max: 40 }), (steps, limit) => {
      const placer = new IndexedPlacer()
      const history = new HistoryRunner([placer], (now) => placer.decide(now, limit))
      history.run(steps)
      history.drain()
    }), { seed: SEED, numRuns: 150 })
  })

  it('makes the same decisions as the naive placer in the same state, apart from the choice of workers', () => {
    // Guards against an index that misses workers with capacity, and stale caches of failed searches and plans.
    fc.assert(fc.property(arbitrarySteps(160), (history) => {
      const indexed = new IndexedPlacer()
      const naive = new NaivePlacer()
      compareDecisions(indexed, naive).run(history)
    }), { seed: SEED, numRuns: 150 })
  })
})

/**
 * Makes one decision at a time with both placers, compares them, and moves the naive placer's tasks to the workers that
 * the indexed placer chose.
 */
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
