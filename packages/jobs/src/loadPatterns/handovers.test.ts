import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import type { MemoryCell } from '../standins/index.ts'
import { describeCells, submitInBackground } from './describeCells.ts'
import { handOver } from './owners.ts'

const HANDOVERS = 4

/** Interval of the jobs, in ms. */
const JOB_INTERVAL_MS = 40

/** Submits jobs all the while, so that starts and acknowledgements are under way at each handover. */
function submitJobs (cell: MemoryCell): () => void {
  let jobs = 0
  const timer = setInterval(() => {
    submitInBackground(cell, (++jobs).toString(16).padStart(16, '0'), [{ count: 3, estimatedRunMs: 150 }])
  }, JOB_INTERVAL_MS)
  return () => clearInterval(timer)
}

describeCells('Owners around a handover', [
  {
    // Orders that both owners send for the same task go out twice, and workers refuse all but the newer ones.
    name: 'call workers one after the other',
    options: { workers: 6, nodes: HANDOVERS + 2 },
    run: async (cell: MemoryCell, clock: Clock) => {
      const stopJobs = submitJobs(cell)
      const outdated: number[] = []
      let highest = 0
      cell.workers.onCall = (token) => {
        if (token < highest) outdated.push(token)
        highest = Math.max(highest, token)
      }
      for (let handover = 0; handover < HANDOVERS; handover++) {
        await clock.tickAsync(1_000)
        await handOver(cell, clock)
      }
      stopJobs()
      await clock.tickAsync(5_000)
      expect(highest).to.be.greaterThan(HANDOVERS)
      expect(outdated).to.deep.equal([])
    }
  }
])
