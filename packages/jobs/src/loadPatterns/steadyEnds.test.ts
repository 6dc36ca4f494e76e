import { expect } from 'chai'
import { describeCells, submitInBackground } from './describeCells.ts'

const WORKERS = 10
const JOBS = 300
const JOB_INTERVAL_MS = 10

/** Duration of the load and of the wait for its end, in s. */
const SECONDS = 4

describeCells('Runs that end all the time', [
  {
    // A worker was polled again whenever any commit was done, although its own ends were not stored by it.
    name: 'cost about one poll each',
    options: { workers: WORKERS, storeLatencyMs: 13 },
    run: async (cell, clock) => {
      let polls = 0
      for (const worker of cell.workers.workers.values()) {
        worker.fault = (call) => {
          if (call === 'poll') polls++
          return undefined
        }
      }
      for (let index = 0; index < JOBS; index++) {
        submitInBackground(cell, index.toString(16).padStart(16, '0'), [{ estimatedRunMs: 300 }])
        await clock.tickAsync(JOB_INTERVAL_MS)
      }
      await clock.tickAsync(1_000)
      expect(cell.checker.starts).to.equal(JOBS)
      // Idle workers are polled twice a second.
      expect(polls).to.be.at.most(JOBS + 2 * WORKERS * SECONDS)
    }
  }
])
