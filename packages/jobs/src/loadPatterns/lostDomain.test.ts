import { expect } from 'chai'
import type { MemoryCell } from '../standins/index.ts'
import { createEndLog, describeCells, submitInBackground } from './describeCells.ts'

const DOMAINS = ['a', 'b', 'c']
const WORKERS_PER_DOMAIN = 12
const JOBS = 10
const TASKS = 6

/** Room for two tasks. */
const CAPACITY = { cpuMillis: 2_000, memoryMb: 4_000, accelerators: 0 }
const RUN_MS = 1_000

/** Lets all workers of one failure domain stop answering. */
function cutOff (cell: MemoryCell, domain: string): void {
  for (const worker of cell.workers.workers.values()) {
    if (worker.entry.failureDomain === domain) worker.fault = () => 'silent'
  }
}

const log = createEndLog()

describeCells('A failure domain that is cut off under load', [
  {
    // The tasks of each job were spread over all domains, so that nearly every job waited for the one that was cut off.
    name: 'delays hardly more than its share of the running jobs',
    options: {
      workers: 0,
      log
    },
    run: async (cell, clock) => {
      for (let index = 0; index < WORKERS_PER_DOMAIN; index++) {
        for (const failureDomain of DOMAINS) {
          cell.addWorker(`${failureDomain}${index}`, { failureDomain, capacity: CAPACITY })
        }
      }
      await clock.tickAsync(1_000)
      const ids = Array.from({ length: JOBS }, (_, index) => index.toString(16).padStart(16, '0'))
      for (const id of ids) {
        submitInBackground(cell, id, [{ count: TASKS, estimatedRunMs: RUN_MS }])
        await clock.tickAsync(RUN_MS / JOBS / 2)
      }
      cutOff(cell, 'b')
      const cutAt = performance.now()
      await clock.tickAsync(4_000)
      const delayed = ids.filter((id) => (log.endedAt.get(id) ?? Infinity) > cutAt + 2 * RUN_MS)
      expect(delayed.length / JOBS).to.be.at.most(0.5)
    }
  }
])
