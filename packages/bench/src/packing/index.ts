import { IndexedPlacer } from '@gypsumspring/core'
import type { Benchmark } from '../benchmarks.ts'
import { DEPLOYMENTS, generateTrace } from './_lib/generateTrace.ts'
import { simulateTrace } from './_lib/simulateTrace.ts'

const SEED = 30
const GROUPS = 3000
const LOADS = [0.4, 0.8]
const WEIGHTS = [0, 0.25, 0.5, 0.75, 1]

/** Waiting and packing over the packing weight, on one trace for each deployment and load. Times are simulated. */
export const runPacking: Benchmark = (report) => {
  for (const deployment of DEPLOYMENTS) {
    for (const load of LOADS) {
      const trace = generateTrace(deployment, SEED, { groups: GROUPS, load })
      for (const packingWeight of WEIGHTS) {
        const result = simulateTrace(new IndexedPlacer(), trace, packingWeight)
        report({ deployment: deployment.name, load, packingWeight, ...result })
      }
    }
  }
}
