import { expect } from 'chai'
import type { MemoryCell } from '../standins/index.ts'
import { describeCells, submitInBackground } from './describeCells.ts'

const WORKERS = 10
const JOBS = 300
const JOB_INTERVAL_MS = 10

/** Duration of the load and of the wait for its end, in s. */
const SECONDS = 4

/** Counts the polls of a cell's workers from now on. */
function countPolls (cell: MemoryCell): { polls: number } {
  const count = { polls: 0 }
  for (const worker of cell.workers.workers.values()) {
    worker.fault = (call) => {
      if (call === 'poll') count.polls++
      return undefined
    }
  }
  return count
}

describeCells('Idle workers', [
  { name: 'few workers', workers: 50, maxPolls: 110 },
  // Polls of 380 idle workers took a third of the owner's processor, which its orders lacked in a burst.
  { name: 'hundreds of workers', workers: 380, maxPolls: 420 },
  { name: 'a thousand workers', workers: 1_000, maxPolls: 720 }
].map(({ name, workers, maxPolls }) => ({
  name: `cost at most ${maxPolls} polls a second with ${name}`,
  options: { workers },
  run: async (cell, clock) => {
    const count = countPolls(cell)
    await clock.tickAsync(4_000)
    expect(count.polls / 4).to.be.at.most(maxPolls)
  }
})))

describeCells('Runs that end all the time', [
  {
    // A worker was polled again whenever any commit was done, although its own ends were not stored by it.
    name: 'cost about one poll each',
    options: { workers: WORKERS, storeLatencyMs: 13 },
    run: async (cell, clock) => {
      const count = countPolls(cell)
      for (let index = 0; index < JOBS; index++) {
        submitInBackground(cell, index.toString(16).padStart(16, '0'), [{ estimatedRunMs: 300 }])
        await clock.tickAsync(JOB_INTERVAL_MS)
      }
      await clock.tickAsync(1_000)
      expect(cell.checker.starts).to.equal(JOBS)
      // Idle workers are polled twice a second.
      expect(count.polls).to.be.at.most(JOBS + 2 * WORKERS * SECONDS)
    }
  }
])
