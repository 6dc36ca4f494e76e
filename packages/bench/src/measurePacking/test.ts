import { expect } from 'chai'
import { IndexedPlacer, NaivePlacer } from '@gypsumspring/core'
import { DEPLOYMENTS, generateTrace } from './_lib/generateTrace.ts'
import { simulateTrace } from './_lib/simulateTrace.ts'

/** Upper bounds of the bounded search's figures relative to those of the exact best fit, as means over the seeds. */
const MAX_WAIT_FACTOR = 1.1
const MAX_WORKERS_FACTOR = 1.02
const SEEDS = [1, 2, 3, 4]

describe('packing of simulated traces', () => {
  for (const deployment of DEPLOYMENTS) {
    for (const packingWeight of [0, 1]) {
      it(`is close to the exact best fit for ${deployment.name} at packing weight ${packingWeight}`, () => {
        // Guards against an index that starts tasks promptly but scatters them over workers, so that gangs and large
        // tasks wait for room.
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
        expect(indexed.wait).to.be.at.most(naive.wait * MAX_WAIT_FACTOR)
        expect(indexed.workers).to.be.at.most(naive.workers * MAX_WORKERS_FACTOR)
      })
    }

    it(`uses fewer workers and waits longer at a higher packing weight for ${deployment.name}`, () => {
      // Guards against a packing weight that has no effect, or affects only one of the two figures.
      const trace = generateTrace(deployment, 7, { groups: 1500, load: 0.4 })
      const [weightZero, weightOne] = [0, 1].map((weight) => simulateTrace(new IndexedPlacer(), trace, weight))
      expect(weightOne!.meanWorkersInUse).to.be.below(weightZero!.meanWorkersInUse * 0.98)
      expect(weightOne!.meanWaitMs).to.be.above(weightZero!.meanWaitMs * 2)
    })
  }
})
