import { expect } from 'chai'
import { createQueue, MemoryCell } from '../standins/index.ts'
import { describeCells, fetchState, submitInBackground } from './describeCells.ts'

/** Prefix of the ids of hopeless jobs. */
const HOPELESS = '00000000000000a'
const SOUND = '00000000000000b2'

/** Every run of hopeless jobs fails, wherever it starts; the runs of other jobs succeed. */
const failHopeless: ConstructorParameters<typeof MemoryCell>[0] = {
  workers: 2,
  planRunEnd: ({ job }) => job.startsWith(HOPELESS)
    ? { reason: 'failed', afterMs: 300 }
    : { reason: 'done', afterMs: 300 }
}

describeCells('A hopeless job alone in the cell', [
  {
    // The last attempt waited for ever for a worker without failures, which no other job could show to be healthy.
    name: 'uses up its attempts although it has failed on every worker',
    options: failHopeless,
    run: async (cell, clock) => {
      submitInBackground(cell, `${HOPELESS}0`, [{}], createQueue('batch', { maxAttempts: 4 }))
      await clock.tickAsync(9_000)
      expect(await fetchState(cell, clock, `${HOPELESS}0`)).to.equal('failed')
    }
  },
  {
    // Two hopeless jobs opened the breakers of all workers, for up to 20 s.
    name: 'leaves the workers open to sound jobs after a short wait',
    options: failHopeless,
    run: async (cell, clock) => {
      const queue = createQueue('batch', { maxAttempts: 2 })
      for (let round = 0; round < 3; round++) {
        submitInBackground(cell, `${HOPELESS}${round}`, [{ count: 2 }], queue)
      }
      await clock.tickAsync(2_000)
      submitInBackground(cell, SOUND, [{}])
      await clock.tickAsync(4_000)
      expect(await fetchState(cell, clock, SOUND)).to.equal('completed')
    }
  }
])
