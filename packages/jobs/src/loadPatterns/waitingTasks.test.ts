import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import type { MemoryCell } from '../standins/index.ts'
import { AcceleratorScenario } from './acceleratorScenario.ts'
import { describeCells } from './describeCells.ts'

/** Range of seeds; the environment variable SEEDS=FROM-TO sets another one. */
const [FROM = 1, TO = 10] = (process.env.SEEDS ?? '1-10').split('-').map(Number)

/** Seeds that found faults: requests for advice that waited for ever, and waits that began anew. */
const REGRESSIONS = process.env.SEEDS === undefined ? [27, 88, 213] : []

const seeds = [...Array.from({ length: TO - FROM + 1 }, (_, index) => FROM + index), ...REGRESSIONS]

describeCells('Few workers with accelerators after random faults', seeds.map((seed) => {
  const scenario = new AcceleratorScenario(seed)
  return {
    // A job waited for ever although the workers had room for its tasks.
    name: `leave no job waiting for which there is room (seed ${seed})`,
    options: scenario.options,
    run: async (cell: MemoryCell, clock: Clock) => {
      await scenario.run(cell, clock)
      expect(scenario.overdue).to.deep.equal([])
    }
  }
}))
