import { expect } from 'chai'
import { IndexedPlacer, NaivePlacer } from '@gypsumspring/core'
import { DEPLOYMENTS, generateTrace } from './_lib/generateTrace.ts'
import { simulateTrace } from './_lib/simulateTrace.ts'

/** Stated bounds of what the bounded search may cost against the exact best fit, as a mean over the seeds. */
const LARGEST_WAIT_FACTOR = 1.1
const LARGEST_WORKERS_FACTOR = 1.02
const SEEDS = [1, 2, 3, 4]

describe('packing on traces of the deployments', () => {
  for (const deployment of DEPLOYMENTS) {
    for (const packingWeight of [0, 1]) {
      it(`is close to the exact best fit on ${deployment.name} at packing weight ${packingWeight}`, () => {
        // Guards against an index that starts work in time but scatters it, so that gangs and large tasks wait.
        const run = (createPlacer: () => IndexedPlacer | NaivePlacer): { wait: number, workers: number } => {
          const results = SEEDS.map((seed) =>
            simulateTrace(createPlacer(), generateTrace(deployment, seed, { groups: 200, load: 1 }), packingWeight))
          return {
            wait: results.reduce((sum, { meanWaitMs }) => sum + meanWaitMs, 0),
            workers: results.reduce((sum, { meanWorkersInUse }) => sum + meanWorkersInUse, 0)
          }
        }
        const indexed = run(() => new IndexedPlacer())
        const naive = run(() => new NaivePlacer())
        expect(indexed.wait).to.be.at.most(naive.wait * LARGEST_WAIT_FACTOR)
        expect(indexed.workers).to.be.at.most(naive.workers * LARGEST_WORKERS_FACTOR)
      })
    }

    it(`trades waiting for workers by the packing weight on ${deployment.name}`, () => {
      // Guards against a policy setting that moves nothing, or one of the two figures only.
      const trace = generateTrace(deployment, 7, { groups: 1500, load: 0.4 })
      const [waiting, packing] = [0, 1].map((weight) => simulateTrace(new IndexedPlacer(), trace, weight))
      expect(packing!.meanWorkersInUse).to.be.below(waiting!.meanWorkersInUse * 0.98)
      expect(packing!.meanWaitMs).to.be.above(waiting!.meanWaitMs * 2)
    })
  }
})
