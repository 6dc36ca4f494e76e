import { expect } from 'chai'
import { createQueue } from '../standins/index.ts'
import { describeCells, submitInBackground } from './describeCells.ts'

const capacity = { cpuMillis: 64_000, memoryMb: 131_072, accelerators: 8 }
const matching = createQueue('matching', { priority: 1, stretch: 2.2, targetLatencyMs: 1_000 })
const scoring = createQueue('scoring', { priority: 2, stretch: 4, targetLatencyMs: 3_000 })
/** A worker has the memory for one such task at a time. */
const LARGE = { cpuMillis: 31_000, memoryMb: 81_000, accelerators: 4 }
const SMALL = { cpuMillis: 5_600, memoryMb: 11_000, accelerators: 1 }
const WHOLE_WORKER = { cpuMillis: 31_000, memoryMb: 81_000, accelerators: 8 }
const LARGE_RUN_MS = 4_000
/** Time after which a worker is certainly reserved for a task that waits for room, in ms. */
const RESERVED_AFTER_MS = 1_000

const options = { workers: 1, capacity }
const FIRST = '00000000000000a1'
const SECOND = '00000000000000b2'
const THIRD = '00000000000000c3'

describeCells('A worker that is reserved for a large task', [
  {
    // Large tasks of one job followed one another, and the room beside them stayed free until the last had ended.
    name: 'takes small tasks that fit beside the one that runs and the one that waits',
    options,
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ count: 3, demand: LARGE, estimatedRunMs: LARGE_RUN_MS }], matching)
      await clock.tickAsync(RESERVED_AFTER_MS)
      submitInBackground(cell, SECOND, [{ count: 6, demand: SMALL, estimatedRunMs: LARGE_RUN_MS }], scoring)
      await clock.tickAsync(500)
      // Four accelerators are left, and memory for four.
      for (const [task, count] of [1, 1, 1, 1, 0, 0].entries()) {
        expect(cell.checker.countRunning(`${SECOND}.0.0.${task}`), `task ${task}`).to.equal(count)
      }
      await clock.tickAsync(LARGE_RUN_MS - 1_000)
      expect(cell.checker.countRunning(`${FIRST}.0.0.1`), 'next large task').to.equal(1)
    }
  },
  {
    // A gang that too few workers are left for kept the small tasks off a worker with room for them.
    name: 'is not kept for a gang that has too few workers',
    options: { ...options, workers: 2 },
    run: async (cell, clock) => {
      const first = [{ count: 2, demand: SMALL, estimatedRunMs: 2 * LARGE_RUN_MS, maxPerWorker: 1 }]
      submitInBackground(cell, FIRST, first, scoring)
      await clock.tickAsync(500)
      submitInBackground(cell, SECOND, [
        { count: 3, gang: true, demand: WHOLE_WORKER, estimatedRunMs: LARGE_RUN_MS }
      ], matching)
      await clock.tickAsync(RESERVED_AFTER_MS)
      const third = [{ count: 2, demand: SMALL, estimatedRunMs: LARGE_RUN_MS, maxPerWorker: 1 }]
      submitInBackground(cell, THIRD, third, scoring)
      await clock.tickAsync(500)
      for (const task of [0, 1]) expect(cell.checker.countRunning(`${THIRD}.0.0.${task}`), `task ${task}`).to.equal(1)
    }
  },
  {
    name: 'takes no small tasks that would keep the large one waiting',
    options,
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ demand: LARGE, estimatedRunMs: LARGE_RUN_MS }], matching)
      submitInBackground(cell, SECOND, [{ demand: WHOLE_WORKER, estimatedRunMs: LARGE_RUN_MS }], matching)
      await clock.tickAsync(RESERVED_AFTER_MS)
      submitInBackground(cell, THIRD, [{ count: 4, demand: SMALL, estimatedRunMs: LARGE_RUN_MS }], scoring)
      await clock.tickAsync(500)
      expect(cell.checker.countRunning(`${THIRD}.0.0.0`)).to.equal(0)
      await clock.tickAsync(LARGE_RUN_MS - 1_000)
      expect(cell.checker.countRunning(`${SECOND}.0.0.0`)).to.equal(1)
    }
  },
  {
    // The room beside a long-running task was kept for a task that has no room before that one ends.
    name: 'is not one that a long-running task keeps too small',
    options: { ...options, planRunEnd: ({ job }) => job === FIRST ? undefined : { reason: 'done', afterMs: 500 } },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ demand: SMALL, longRunning: true }], scoring)
      await clock.tickAsync(500)
      submitInBackground(cell, SECOND, [{ demand: WHOLE_WORKER, estimatedRunMs: LARGE_RUN_MS }], matching)
      await clock.tickAsync(RESERVED_AFTER_MS)
      submitInBackground(cell, THIRD, [{ demand: SMALL, estimatedRunMs: 500 }], scoring)
      await clock.tickAsync(1_000)
      expect(cell.checker.isDone(`${THIRD}.0.0.0`)).to.equal(true)
    }
  },
  {
    // The worker with the long-running task has the most free CPU; small tasks took the room on the other one.
    name: 'is another one than that of a long-running task',
    options: { workers: 2, capacity, planRunEnd: ({ job }) => job === FIRST ? undefined : { reason: 'done', afterMs: 1_000 } },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ demand: SMALL, longRunning: true }], scoring)
      await clock.tickAsync(500)
      for (let round = 0; round < 50; round++) {
        const id = `c${round.toString(16).padStart(15, '0')}`
        submitInBackground(cell, id, [{ count: 4, demand: SMALL, estimatedRunMs: 1_000 }], scoring)
        if (round === 10) submitInBackground(cell, SECOND, [{ demand: WHOLE_WORKER, estimatedRunMs: 1_000 }], matching)
        await clock.tickAsync(200)
      }
      expect(cell.checker.isDone(`${SECOND}.0.0.0`)).to.equal(true)
    }
  }
])
