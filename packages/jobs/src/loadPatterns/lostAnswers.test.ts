import { expect } from 'chai'
import { SeededRandom, type MemoryCell } from '../standins/index.ts'
import { createEndLog, describeCells, submitInBackground } from './describeCells.ts'

const JOBS = 60
const JOB_INTERVAL_MS = 100
const RUN_MS = 700

/** Objective of a quick job: one and a half times its run time and 250 ms more. */
const OBJECTIVE_MS = 1.5 * RUN_MS + 250

/** Share of quick jobs that have to meet their objective. */
const TARGET_SHARE = 0.9

/** Lets each worker lose the answers of a share of the calls. */
function loseAnswers (cell: MemoryCell, share: number): void {
  const random = new SeededRandom(7)
  for (const worker of cell.workers.workers.values()) worker.fault = () => random.chance(share) ? 'lost' : undefined
}

const log = createEndLog()

describeCells('Workers that leave single calls unanswered', [
  {
    // A lost poll hid the ends of runs for up to 1.5 s, and made the quick jobs late.
    name: 'delay few quick jobs beyond their objective',
    options: {
      workers: 12,
      log
    },
    run: async (cell, clock) => {
      loseAnswers(cell, 0.05)
      const submittedAt = new Map<string, number>()
      for (let index = 0; index < JOBS; index++) {
        const id = index.toString(16).padStart(16, '0')
        submittedAt.set(id, performance.now())
        submitInBackground(cell, id, [{ count: 3, estimatedRunMs: RUN_MS }])
        await clock.tickAsync(JOB_INTERVAL_MS)
      }
      await clock.tickAsync(5_000)
      const inTime = [...submittedAt].filter(([id, at]) => (log.endedAt.get(id) ?? Infinity) <= at + OBJECTIVE_MS)
      expect(inTime.length / JOBS).to.be.at.least(TARGET_SHARE)
    }
  }
])
