import { expect } from 'chai'
import { done, notDone, sleep } from '@gypsumspring/protocol'
import type { Adviser } from '../ports.ts'
import { createQueue, createTicket, TICKET_VALID_MS } from '../standins/index.ts'
import { describeCells, submitInBackground } from './describeCells.ts'

/** Time that the policy service takes for a call, in ms. It handles one call at a time for each node. */
const ADVICE_MS = 400

/** Time in which a task must start for which there is room, in ms. */
const MAX_WAIT_MS = 3_000

const capacity = { cpuMillis: 64_000, memoryMb: 131_072, accelerators: 8 }
const advice = { decisionMs: ADVICE_MS, perWorkerMs: 0, validMs: TICKET_VALID_MS }
const matching = createQueue('matching', { priority: 1, stretch: 2.2, targetLatencyMs: 1_000, advice })
const scoring = createQueue('scoring', { priority: 2, stretch: 4, targetLatencyMs: 3_000, advice })
const WHOLE_WORKER = { cpuMillis: 31_000, memoryMb: 81_000, accelerators: 8 }
const ONE_ACCELERATOR = { cpuMillis: 5_600, memoryMb: 11_000, accelerators: 1 }

const GANG = '0000000000000a'
const SINGLE = '00000000000000b2'

let calls = 0
let isAvailable = true

class OneCallAdviser implements Adviser {
  #freeAt = 0

  async advise ({ job }: { job: string }, workers: string[]): ReturnType<Adviser['advise']> {
    calls++
    if (!isAvailable) return notDone('unavailable', 'the policy service is not available')
    this.#freeAt = Math.max(this.#freeAt, performance.now()) + ADVICE_MS
    await sleep(this.#freeAt - performance.now())
    const allowed = job.startsWith(GANG) ? workers.filter((worker) => worker === 'w0') : workers
    return done({ tickets: allowed.map((worker): [string, string] => [worker, createTicket(TICKET_VALID_MS)]) })
  }
}

/** Time over which calls are counted, in ms, and the longest time that a ticket is not used before it expires. */
const COUNTED_MS = 10_000
const TICKET_RENEWAL_MS = 500

describeCells('A gang that waits for room', [
  {
    // It asked again as soon as it was answered, and took a node's time from other steps.
    name: 'asks for advice only before its tickets expire',
    options: { nodes: 4, workers: 3, capacity, createAdviser: () => new OneCallAdviser() },
    run: async (cell, clock) => {
      calls = 0
      submitInBackground(cell, `${GANG}00`, [{ count: 2, gang: true, demand: WHOLE_WORKER }], matching)
      await clock.tickAsync(COUNTED_MS)
      expect(calls).to.be.within(2, Math.ceil(COUNTED_MS / (TICKET_VALID_MS - TICKET_RENEWAL_MS)))
    }
  }
])

const crowds = [
  // Gangs that could not start asked again without a pause, and less urgent steps were never asked about.
  ...[2, 4, 6].map((nodes) => ({ nodes, gangs: nodes, askedMs: 2_000 })),
  // Each gang asked again whenever one of its members found a worker, and the calls of all took longer than their turn.
  { nodes: 3, gangs: 40, askedMs: 20_000 }
]

describeCells('Steps that wait for advice', crowds.map(({ nodes, gangs, askedMs }) => ({
  name: `get it although ${gangs} more urgent gangs wait for room, with ${nodes} nodes`,
  options: { nodes, workers: 3, capacity, createAdviser: () => new OneCallAdviser() },
  run: async (cell, clock) => {
    for (let index = 0; index < gangs; index++) {
      submitInBackground(cell, `${GANG}${String(index).padStart(2, '0')}`, [
        { count: 2, gang: true, demand: WHOLE_WORKER, estimatedRunMs: 4_000 }
      ], matching)
    }
    // Time in which the policy service has been asked once about each gang.
    await clock.tickAsync(askedMs)
    submitInBackground(cell, SINGLE, [{ demand: ONE_ACCELERATOR, estimatedRunMs: 4_000 }], scoring)
    await clock.tickAsync(MAX_WAIT_MS)
    expect(cell.checker.countRunning(`${SINGLE}.0.0.0`)).to.equal(1)
  }
})))

describeCells('Steps that wait for the same room', [
  {
    // All of them asked as soon as the room was free, and others got their turn only after their calls.
    name: 'leave others their turn for advice after an outage of the policy service',
    options: {
      nodes: 3,
      workers: 3,
      capacity,
      createAdviser: () => new OneCallAdviser(),
      planRunEnd: () => ({ reason: 'done', afterMs: 5_000 })
    },
    run: async (cell, clock) => {
      for (let index = 0; index < 40; index++) {
        submitInBackground(cell, `${GANG}${String(index).padStart(2, '0')}`, [
          { demand: WHOLE_WORKER, estimatedRunMs: 5_000 }
        ], matching)
      }
      // Time in which the policy service has been asked once about each step.
      await clock.tickAsync(20_000)
      isAvailable = false
      await clock.tickAsync(2 * TICKET_VALID_MS + 5_000)
      isAvailable = true
      submitInBackground(cell, SINGLE, [{ demand: ONE_ACCELERATOR, estimatedRunMs: 5_000 }], scoring)
      await clock.tickAsync(MAX_WAIT_MS)
      expect(cell.checker.countRunning(`${SINGLE}.0.0.0`)).to.equal(1)
    }
  }
])

/** Prefix of jobs that the policy allows on all workers. */
const LONG = '0000000000000c'
const NO_ACCELERATOR = { cpuMillis: 5_600, memoryMb: 11_000, accelerators: 0 }

describeCells('Steps whose room was taken while they waited for advice', [
  {
    // Calls about 40 steps without room were made first, and a step that had room waited for 24 s.
    name: 'leave others their turn',
    options: { nodes: 2, workers: 3, capacity, createAdviser: () => new OneCallAdviser() },
    run: async (cell, clock) => {
      for (let index = 0; index < 40; index++) {
        submitInBackground(cell, `${LONG}${String(index).padStart(2, '0')}`, [
          { demand: WHOLE_WORKER, estimatedRunMs: 60_000 }
        ], matching)
      }
      // Three of the steps start, and then the workers have no accelerators left.
      await clock.tickAsync(2_000)
      submitInBackground(cell, SINGLE, [{ demand: NO_ACCELERATOR, estimatedRunMs: 5_000 }], scoring)
      await clock.tickAsync(MAX_WAIT_MS)
      expect(cell.checker.countRunning(`${SINGLE}.0.0.0`)).to.equal(1)
    }
  }
])
