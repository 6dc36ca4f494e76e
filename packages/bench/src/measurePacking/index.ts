import { IndexedPlacer } from '@gypsumspring/core'
import type { Benchmark } from '../benchmarks.ts'
import { DEPLOYMENTS, generateTrace } from './_lib/generateTrace.ts'
import { simulateTrace } from './_lib/simulateTrace.ts'

const SEED = 30
const GROUPS = 3000
const LOADS = [0.4, 0.8]
const PACKING_WEIGHTS = [0, 0.25, 0.5, 0.75, 1]

/**
 * Measures how the packing weight trades wait times for workers in use, on one trace for each deployment and load.
 *
 * @param report - Receives a row for each deployment, load and packing weight; times are simulated, in ms.
 *
 * @example
 * measurePacking(console.log)
 */
export const measurePacking: Benchmark = (report) => {
  for (const deployment of DEPLOYMENTS) {
    for (const load of LOADS) {
      const trace = generateTrace(deployment, SEED, { groups: GROUPS, load })
      for (const packingWeight of PACKING_WEIGHTS) {
        const result = simulateTrace(new IndexedPlacer(), trace, packingWeight)
        report({ deployment: deployment.name, load, packingWeight, ...result })
      }
    }
  }
}
