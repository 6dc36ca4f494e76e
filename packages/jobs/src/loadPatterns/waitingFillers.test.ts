import { expect } from 'chai'
import type { MemoryCell } from '../standins/index.ts'
import { createQueue } from '../standins/index.ts'
import type { Queue, Step } from '../types.ts'
import { describeCells, submitInBackground, type LoadCase } from './describeCells.ts'

const FIRST = '00000000000000a1'
const SECOND = '00000000000000b2'

/** Time in which the first job starts, in ms. */
const FIRST_MS = 2_000

/** Longest time from the submission of a job that has room until one of its tasks runs, in ms. */
const MAX_WAIT_MS = 3_000

/** Eight tasks take up the processors of both workers, with a quarter of their memory. */
const CLAIM_ALL: Partial<Step> = {
  count: 8, longRunning: true, demand: { cpuMillis: 4_000, memoryMb: 2_000, accelerators: 0 }
}

const SMALL: Partial<Step> = { fills: true, demand: { cpuMillis: 4_000, memoryMb: 256, accelerators: 0 } }

const advised = createQueue('advised', { advice: { decisionMs: 585, perWorkerMs: 8, validMs: 2_000 } })

/** Number of the second job's tasks that run. */
function countRunning (cell: MemoryCell, { count = 1 }: Partial<Step>): number {
  let running = 0
  for (let index = 0; index < count; index++) running += cell.checker.countRunning(`${SECOND}.0.0.${index}`)
  return running
}

/** A filler job that comes while other tasks claim all processors, and the number of its tasks that have to start. */
interface Case {
  name: string
  first: Partial<Step>
  second: Partial<Step>
  queue?: Queue
  running: number
}

const cases: Case[] = [
  {
    name: 'start beside long-running filler tasks',
    first: { ...CLAIM_ALL, fills: true },
    second: { ...SMALL, estimatedRunMs: 60_000 },
    running: 1
  },
  {
    name: 'start beside long-running filler tasks once they have tickets',
    first: { ...CLAIM_ALL, fills: true },
    second: { ...SMALL, estimatedRunMs: 60_000 },
    queue: advised,
    running: 1
  },
  {
    name: 'start beside long-running tasks that count towards the capacity',
    first: CLAIM_ALL,
    second: { ...SMALL, estimatedRunMs: 60_000 },
    running: 1
  },
  {
    name: 'all start if they are long-running',
    first: { ...CLAIM_ALL, fills: true },
    second: { ...SMALL, count: 6, longRunning: true },
    running: 6
  },
  {
    name: 'all start if they are a gang',
    first: { ...CLAIM_ALL, fills: true },
    second: { ...SMALL, count: 6, gang: true, estimatedRunMs: 60_000 },
    running: 6
  },
  {
    name: 'start if they demand more than twice the processors of a worker',
    first: { ...CLAIM_ALL, count: 1 },
    second: { fills: true, demand: { cpuMillis: 40_000, memoryMb: 256, accelerators: 0 }, estimatedRunMs: 60_000 },
    running: 1
  }
]

describeCells('Filler tasks that wait for processors', [
  // Processors that other tasks claimed kept filler tasks waiting for as long as these ran.
  ...cases.map(({ name, first, second, queue, running }): LoadCase => ({
    name,
    options: { workers: 2 },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [first])
      await clock.tickAsync(FIRST_MS)
      submitInBackground(cell, SECOND, [second], queue)
      await clock.tickAsync(MAX_WAIT_MS)
      expect(countRunning(cell, second)).to.equal(running)
    }
  })),
  {
    // Guards against a job that takes up the memory of all workers when its tasks share the processors with others.
    name: 'start one at a time beside long-running ones',
    options: { workers: 2 },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ ...CLAIM_ALL, fills: true }])
      await clock.tickAsync(FIRST_MS)
      const second = { ...SMALL, count: 40, estimatedRunMs: 60_000 }
      submitInBackground(cell, SECOND, [second])
      await clock.tickAsync(10_500)
      expect(countRunning(cell, second)).to.be.within(8, 11)
    }
  },
  {
    // Guards against filler tasks on workers without memory, which the checker of the cell would report too.
    name: 'wait for memory',
    options: { workers: 2, capacity: { cpuMillis: 16_000, memoryMb: 8_000, accelerators: 0 } },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ ...CLAIM_ALL, fills: true }])
      await clock.tickAsync(FIRST_MS)
      const second = { ...SMALL, count: 4, longRunning: true }
      submitInBackground(cell, SECOND, [second])
      await clock.tickAsync(10_000)
      expect(countRunning(cell, second)).to.equal(0)
    }
  },
  {
    // Guards against slow starts on workers whose processors are shared while others are idle.
    name: 'prefer workers with unclaimed processors',
    options: { workers: 2 },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ ...CLAIM_ALL, count: 4, fills: true, maxPerWorker: 4, requiredLabel: 'busy' }])
      cell.addWorker('w2', { labels: ['busy', 'r1'] })
      await clock.tickAsync(FIRST_MS)
      submitInBackground(cell, SECOND, [{ ...SMALL, estimatedRunMs: 60_000 }])
      await clock.tickAsync(500)
      expect(cell.workers.workers.get('w2')!.runs.has(`${SECOND}.0.0.0`)).to.equal(false)
      expect(countRunning(cell, SMALL)).to.equal(1)
    }
  }
])
