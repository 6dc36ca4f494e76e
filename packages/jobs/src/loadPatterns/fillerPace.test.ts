import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import type { MemoryCell } from '../standins/index.ts'
import { describeCells, submitInBackground } from './describeCells.ts'

const SERVING_JOB = '00000000000000a1'

const FILLER_JOB = '00000000000000a2'

/** First digits of the ids of jobs that come later, one at an interval in ms. */
const LATER_JOBS = '00000000000b'
const LATER_INTERVAL_MS = 230
const LATER_DEMAND = { cpuMillis: 100, memoryMb: 100, accelerators: 0 }

/** Target for the tail latency of the serving task, in ms. */
const TARGET_MS = 200

/** Tail latency of the serving task without filler tasks, in ms. */
const IDLE_MS = 100

/** Time in which the pace settles, in ms. */
const SETTLE_MS = 6_000

/** Pace of the filler task on the only worker, in percent. */
function readPace (cell: MemoryCell): number {
  return cell.workers.workers.get('w0')!.runs.get(`${FILLER_JOB}.0.0.0`)!.percent
}

/** Starts a serving and a filler task on one worker, where the filler at full pace adds `addedMs` to the latency. */
async function startBoth (cell: MemoryCell, clock: Clock, addedMs: number): Promise<void> {
  cell.workers.workers.get('w0')!.usage = ({ job }) =>
    job === SERVING_JOB ? IDLE_MS + addedMs * readPace(cell) / 100 : 0
  submitInBackground(cell, FILLER_JOB, [{ fills: true, longRunning: true }])
  await clock.tickAsync(1_000)
  submitInBackground(cell, SERVING_JOB, [{ longRunning: true, targetLatencyMs: TARGET_MS }])
  await clock.tickAsync(SETTLE_MS)
}

/** Returns the highest pace of the filler task in some time, in percent. */
async function findHighestPace (cell: MemoryCell, clock: Clock, durationMs: number): Promise<number> {
  let highest = 0
  for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
    await clock.tickAsync(10)
    highest = Math.max(highest, readPace(cell))
  }
  return highest
}

describeCells('Filler tasks beside serving tasks', [
  {
    // A new owner took the pace for 100% and set it, so that the serving task missed its target after each takeover.
    name: 'keep their lowered pace after a takeover',
    options: { workers: 1 },
    run: async (cell, clock) => {
      await startBoth(cell, clock, 150)
      expect(readPace(cell)).to.equal(25)
      cell.killNode(cell.owner!.name)
      expect(await findHighestPace(cell, clock, SETTLE_MS)).to.equal(25)
    }
  },
  {
    // The same held after a handover.
    name: 'keep their lowered pace when the cell is handed over',
    options: { workers: 1 },
    run: async (cell, clock) => {
      await startBoth(cell, clock, 150)
      const handover = cell.owner!.cellNode.resign()
      expect(await findHighestPace(cell, clock, SETTLE_MS)).to.equal(25)
      await handover
    }
  },
  {
    // The next incarnation got the pace of the one before, at which its filler task started without need.
    name: 'start at full pace on a worker that has started again under its id',
    options: { workers: 1 },
    run: async (cell, clock) => {
      await startBoth(cell, clock, 150)
      cell.workers.workers.get('w0')!.crash()
      cell.restartWorker('w0').usage = () => IDLE_MS
      let lowest = 100
      for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += 10) {
        await clock.tickAsync(10)
        lowest = Math.min(lowest, cell.workers.workers.get('w0')!.runs.get(`${FILLER_JOB}.0.0.0`)?.percent ?? 100)
      }
      expect(readPace(cell)).to.equal(100)
      expect(lowest).to.equal(100)
    }
  },
  {
    // Filler tasks that came later worked at full pace until the next report, beside a serving task over its target.
    name: 'start at the lowered pace of those on the same worker',
    options: { workers: 1 },
    run: async (cell, clock) => {
      await startBoth(cell, clock, 150)
      const { runs } = cell.workers.workers.get('w0')!
      const fastFor = new Map<string, number>()
      for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += 10) {
        if (passedMs % LATER_INTERVAL_MS === 0) {
          const id = LATER_JOBS + String(passedMs).padStart(4, '0')
          submitInBackground(cell, id, [{ fills: true, longRunning: true, demand: LATER_DEMAND }])
        }
        await clock.tickAsync(10)
        for (const [name, { percent }] of runs) {
          if (name.startsWith(LATER_JOBS)) fastFor.set(name, (fastFor.get(name) ?? 0) + (percent > 25 ? 10 : 0))
        }
      }
      expect(fastFor.size).to.be.at.least(20)
      expect(Math.max(0, ...fastFor.values())).to.be.at.most(50)
    }
  },
  {
    // A pace that is only adopted would stay low for good.
    name: 'are sped up again by a new owner once the serving task has room',
    options: { workers: 1 },
    run: async (cell, clock) => {
      await startBoth(cell, clock, 150)
      cell.workers.workers.get('w0')!.usage = () => IDLE_MS
      cell.killNode(cell.owner!.name)
      await clock.tickAsync(SETTLE_MS)
      expect(readPace(cell)).to.equal(100)
    }
  }
])
