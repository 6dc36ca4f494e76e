import { expect } from 'chai'
import { done, sleep } from '@gypsumspring/protocol'
import type { Adviser } from '../ports.ts'
import { createQueue, createTicket, TICKET_VALID_MS } from '../standins/index.ts'
import { describeCells, submitInBackground } from './describeCells.ts'

/** Time that the policy service takes for a call, in ms. */
const ADVICE_MS = 600

/** Time of a call that takes longer than a task waits before a worker is reserved for it, in ms. */
const LATE_ADVICE_MS = 900

/** A gang of accelerators takes a whole worker; tasks of the other kind share it. */
const WHOLE_WORKER = { cpuMillis: 31_000, memoryMb: 81_000, accelerators: 8 }
const ONE_ACCELERATOR = { cpuMillis: 5_600, memoryMb: 11_000, accelerators: 1 }
const capacity = { cpuMillis: 64_000, memoryMb: 131_072, accelerators: 8 }
const advice = { decisionMs: ADVICE_MS, perWorkerMs: 0, validMs: TICKET_VALID_MS }
const matching = createQueue('matching', { priority: 1, stretch: 2.2, targetLatencyMs: 1_000, advice })
const scoring = createQueue('scoring', { priority: 2, stretch: 4, targetLatencyMs: 3_000 })

class SlowAdviser implements Adviser {
  readonly #durationMs: number

  constructor (durationMs = ADVICE_MS) {
    this.#durationMs = durationMs
  }

  async advise (_step: unknown, workers: string[]): ReturnType<Adviser['advise']> {
    await sleep(this.#durationMs)
    return done({ tickets: workers.map((worker): [string, string] => [worker, createTicket(TICKET_VALID_MS)]) })
  }
}

const options = { nodes: 6, workers: 1, capacity, createAdviser: () => new SlowAdviser() }
const FIRST = '00000000000000a1'
const SECOND = '00000000000000b2'

describeCells('Few workers with accelerators and a slow policy service', [
  {
    // The step asked for new tickets only when a worker had room, which then stood idle for the time of the call.
    name: 'start the next task as soon as the worker is free',
    options,
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ demand: WHOLE_WORKER, estimatedRunMs: 4_000 }], matching)
      await clock.tickAsync(ADVICE_MS + 200)
      expect(cell.checker.countRunning(`${FIRST}.0.0.0`)).to.equal(1)
      submitInBackground(cell, SECOND, [{ demand: WHOLE_WORKER, estimatedRunMs: 4_000 }], matching)
      await clock.tickAsync(4_000)
      expect(cell.checker.countRunning(`${SECOND}.0.0.0`)).to.equal(1)
    }
  },
  {
    // Tasks of a less urgent kind that took one accelerator each kept out a job that needs all of a worker.
    name: 'stop less urgent tasks that save their progress for a job that needs the whole worker',
    options,
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [
        { count: 4, demand: ONE_ACCELERATOR, estimatedRunMs: 6_000, savesProgress: true }
      ], scoring)
      await clock.tickAsync(500)
      submitInBackground(cell, SECOND, [{ demand: WHOLE_WORKER, estimatedRunMs: 2_000 }], matching)
      await clock.tickAsync(ADVICE_MS + 1_000)
      expect(cell.checker.countRunning(`${SECOND}.0.0.0`)).to.equal(1)
      await clock.tickAsync(10_000)
      expect(cell.checker.isDone(`${FIRST}.0.0.3`)).to.equal(true)
    }
  },
  {
    // The worker was reserved for the job by then, which kept the job itself from making room there.
    name: 'stop less urgent tasks also for a job that gets its tickets late',
    options: { ...options, createAdviser: () => new SlowAdviser(LATE_ADVICE_MS) },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [
        { count: 4, demand: ONE_ACCELERATOR, estimatedRunMs: 6_000, savesProgress: true }
      ], scoring)
      await clock.tickAsync(500)
      submitInBackground(cell, SECOND, [{ demand: WHOLE_WORKER, estimatedRunMs: 2_000 }], matching)
      await clock.tickAsync(LATE_ADVICE_MS + 1_000)
      expect(cell.checker.countRunning(`${SECOND}.0.0.0`)).to.equal(1)
    }
  },
  {
    name: 'leave tasks alone whose work would be lost',
    options,
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ count: 4, demand: ONE_ACCELERATOR, estimatedRunMs: 4_000 }], scoring)
      await clock.tickAsync(500)
      submitInBackground(cell, SECOND, [{ demand: WHOLE_WORKER, estimatedRunMs: 2_000 }], matching)
      await clock.tickAsync(ADVICE_MS + 1_000)
      expect(cell.checker.countRunning(`${FIRST}.0.0.0`)).to.equal(1)
    }
  }
])
