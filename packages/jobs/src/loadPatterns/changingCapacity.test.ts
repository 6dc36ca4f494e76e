import type { Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { sleep } from '@gypsumspring/protocol'
import { createQueue, TICKET_VALID_MS, type MemoryCell, type PlanRunEnd } from '../standins/index.ts'
import { CELL_PARTITION } from '../records/index.ts'
import { describeCells, fetchState, submitInBackground, type LoadCase } from './describeCells.ts'
import { delayRecovery, handOver, waitForOwner } from './owners.ts'

const FIRST = '00000000000000a1'
const SECOND = '00000000000000b2'
const THIRD = '00000000000000c3'

/** Time in which a task that has room starts, in ms. */
const START_MS = 1_000

/** Time after which a shrunk capacity certainly counts, in ms. */
const IN_FORCE_MS = 5_000

/** Returns a capacity of some processors, with 2 GB for each. */
function ofProcessors (count: number) {
  return { cpuMillis: count * 1_000, memoryMb: count * 2_048, accelerators: 0 }
}

function resize (cell: MemoryCell, worker: string, processors: number): void {
  cell.workers.update(worker, { capacity: ofProcessors(processors) })
}

function isRunning (cell: MemoryCell, job: string, index = 0): boolean {
  return cell.checker.countRunning(`${job}.0.0.${index}`) > 0
}

/** Number of a job's tasks that run. */
function countRunning (cell: MemoryCell, job: string, tasks: number): number {
  return Array.from({ length: tasks }, (_, index) => isRunning(cell, job, index)).filter(Boolean).length
}

/** Starts the first job. */
async function occupy (cell: MemoryCell, clock: Clock, tasks: number): Promise<void> {
  submitInBackground(cell, FIRST, [{ count: tasks, estimatedRunMs: 8_000 }])
  await clock.tickAsync(500)
  expect(countRunning(cell, FIRST, tasks)).to.equal(tasks)
}

/** Ends the tasks of the first job one after the other, and those of others after a second. */
const endInTurn: PlanRunEnd = ({ job, index }) =>
  ({ reason: 'done', afterMs: job === FIRST ? 8_000 + index * 1_000 : 1_000 })

/** Delays the commits of the owner's progress. Returns a function that ends the delay. */
function delayProgress (cell: MemoryCell, delayMs: number): () => void {
  let isDelayed = true
  for (const { store } of cell.nodes.values()) {
    const commit = store.commit.bind(store)
    store.commit = async (change) => {
      if (isDelayed && change.partition === CELL_PARTITION) await sleep(delayMs)
      return await commit(change)
    }
  }
  return () => { isDelayed = false }
}

/** Lets the registry answer no reads of its changes for some time. */
function delayRegistry (cell: MemoryCell, delayMs: number): void {
  const { workers } = cell
  const answersAt = performance.now() + delayMs
  const changes = workers.changes.bind(workers)
  workers.changes = async (...args) => {
    await sleep(Math.max(0, answersAt - performance.now()))
    return await changes(...args)
  }
}

/** Lets start orders to a worker have no effect. Returns a function that ends the fault. */
function loseStartOrders (cell: MemoryCell, worker: string): () => void {
  const target = cell.workers.workers.get(worker)!
  target.fault = (call) => call === 'start' ? 'silent' : undefined
  return () => { target.fault = () => undefined }
}

const oneWorker = { workers: 1, capacity: ofProcessors(4), planRunEnd: endInTurn }

/** Cases in which a worker shrinks below what runs there, with what happens to its owner meanwhile. */
const overfull: LoadCase[] = [
  { name: 'under the same owner', disturb: async () => {} },
  {
    name: 'after a takeover',
    disturb: async (cell: MemoryCell, clock: Clock) => {
      cell.killNode(cell.owner!.name)
      await waitForOwner(cell, clock)
    }
  },
  { name: 'after a handover', disturb: async (cell: MemoryCell, clock: Clock) => await handOver(cell, clock) }
].map(({ name, disturb }) => ({
  name: `gets no task before enough of its runs have ended ${name}`,
  options: oneWorker,
  run: async (cell, clock) => {
    await occupy(cell, clock, 4)
    resize(cell, 'w0', 2)
    await disturb(cell, clock)
    submitInBackground(cell, SECOND, [{}])
    // Two of the four runs have ended after 9 s, and a third after 10 s.
    await clock.tickAsync(9_400 - performance.now() + 2_000)
    expect(countRunning(cell, FIRST, 4)).to.equal(2)
    expect(isRunning(cell, SECOND)).to.equal(false)
    await clock.tickAsync(START_MS)
    expect(isRunning(cell, SECOND)).to.equal(true)
  }
}))

// The order of a task that was assigned to a larger worker was sent later, and brought the worker over its capacity.
const lateOrders: LoadCase[] = [
  {
    name: 'gets no task whose assignment was stored only after it had shrunk',
    options: { ...oneWorker, capacity: ofProcessors(2) },
    run: async (cell, clock) => {
      await occupy(cell, clock, 1)
      const endDelay = delayProgress(cell, 6_000)
      submitInBackground(cell, SECOND, [{}])
      await clock.tickAsync(500)
      resize(cell, 'w0', 1)
      await clock.tickAsync(5_900)
      endDelay()
      expect(isRunning(cell, FIRST)).to.equal(true)
      await clock.tickAsync(1_000)
      expect(isRunning(cell, SECOND)).to.equal(false)
      await clock.tickAsync(8_000)
      expect(await fetchState(cell, clock, SECOND)).to.equal('completed')
    }
  },
  {
    // After an outage of the store, assignments were stored before the registry was read again.
    name: 'gets no task while the owner may not know that it has shrunk',
    options: { ...oneWorker, capacity: ofProcessors(2) },
    run: async (cell, clock) => {
      await occupy(cell, clock, 1)
      const endDelay = delayProgress(cell, 5_500)
      delayRegistry(cell, 7_000)
      submitInBackground(cell, SECOND, [{}])
      await clock.tickAsync(300)
      resize(cell, 'w0', 1)
      await clock.tickAsync(5_300)
      endDelay()
      await clock.tickAsync(1_000)
      expect(isRunning(cell, FIRST)).to.equal(true)
      expect(isRunning(cell, SECOND)).to.equal(false)
      await clock.tickAsync(6_000)
      expect(await fetchState(cell, clock, SECOND)).to.equal('completed')
    }
  },
  {
    // The list of workers that a new owner read was as old as its recovery was long.
    name: 'gets no task while a new owner that recovers slowly may not know that it has shrunk',
    options: { ...oneWorker, capacity: ofProcessors(2) },
    run: async (cell, clock) => {
      const endDelay = delayRecovery(cell, 6_000)
      cell.killNode(cell.owner!.name)
      await waitForOwner(cell, clock)
      delayRegistry(cell, 9_000)
      submitInBackground(cell, SECOND, [{ demand: ofProcessors(2) }])
      await clock.tickAsync(500)
      resize(cell, 'w0', 1)
      await clock.tickAsync(7_500)
      endDelay()
      expect(cell.checker.starts).to.equal(0)
      await clock.tickAsync(10_000)
      expect(cell.checker.starts).to.equal(0)
      resize(cell, 'w0', 2)
      await clock.tickAsync(START_MS)
      expect(isRunning(cell, SECOND)).to.equal(true)
    }
  },
  {
    name: 'gets no task whose start order went unanswered until after it had shrunk',
    options: { ...oneWorker, capacity: ofProcessors(2) },
    run: async (cell, clock) => {
      await occupy(cell, clock, 1)
      const endFault = loseStartOrders(cell, 'w0')
      submitInBackground(cell, SECOND, [{}])
      await clock.tickAsync(500)
      resize(cell, 'w0', 1)
      await clock.tickAsync(IN_FORCE_MS)
      endFault()
      await clock.tickAsync(1_000)
      expect(isRunning(cell, FIRST)).to.equal(true)
      expect(isRunning(cell, SECOND)).to.equal(false)
      await clock.tickAsync(3_000 + START_MS)
      expect(await fetchState(cell, clock, SECOND)).to.equal('completed')
    }
  },
  {
    name: 'gets no member of a gang whose assignment was stored only after it had shrunk',
    options: { ...oneWorker, workers: 2, capacity: ofProcessors(2) },
    run: async (cell, clock) => {
      const endDelay = delayProgress(cell, 6_000)
      submitInBackground(cell, SECOND, [{ count: 4, gang: true }])
      await clock.tickAsync(500)
      resize(cell, 'w0', 1)
      await clock.tickAsync(5_900)
      endDelay()
      await clock.tickAsync(2_000)
      expect(countRunning(cell, SECOND, 4)).to.equal(0)
      resize(cell, 'w0', 2)
      await clock.tickAsync(START_MS)
      expect(countRunning(cell, SECOND, 4)).to.equal(4)
    }
  },
  {
    name: 'gets no task that a killed owner had assigned before it shrank',
    options: { ...oneWorker, capacity: ofProcessors(2) },
    run: async (cell, clock) => {
      await occupy(cell, clock, 1)
      const endFault = loseStartOrders(cell, 'w0')
      submitInBackground(cell, SECOND, [{}])
      await clock.tickAsync(200)
      resize(cell, 'w0', 1)
      cell.killNode(cell.owner!.name)
      await clock.tickAsync(IN_FORCE_MS)
      endFault()
      await clock.tickAsync(1_000)
      expect(isRunning(cell, SECOND)).to.equal(false)
      await clock.tickAsync(8_000)
      expect(await fetchState(cell, clock, SECOND)).to.equal('completed')
    }
  }
]

const advised = createQueue('advised', { advice: { decisionMs: 20, perWorkerMs: 0, validMs: TICKET_VALID_MS } })

// A step that fits no worker at the moment was given up, or noticed late that a worker had grown.
const grown: LoadCase[] = [createQueue('batch'), advised].flatMap((queue) => [
  {
    name: `gets a waiting task of the queue ${queue.name} that fits only its grown capacity`,
    options: { workers: 2, capacity: ofProcessors(2) },
    run: async (cell: MemoryCell, clock: Clock) => {
      const submitted = cell.submit(SECOND, [{ demand: ofProcessors(6) }], { queue })
      await clock.tickAsync(12_000)
      expect(await submitted).to.equal('accepted')
      expect(await fetchState(cell, clock, SECOND)).to.equal('queued')
      resize(cell, 'w1', 8)
      await clock.tickAsync(START_MS)
      expect(isRunning(cell, SECOND)).to.equal(true)
    }
  },
  {
    name: `gets tasks of the queue ${queue.name} again after it has shrunk to nothing and grown`,
    options: { workers: 1, capacity: ofProcessors(2) },
    run: async (cell: MemoryCell, clock: Clock) => {
      resize(cell, 'w0', 0)
      await clock.tickAsync(500)
      submitInBackground(cell, SECOND, [{ count: 2 }], queue)
      await clock.tickAsync(IN_FORCE_MS)
      expect(cell.checker.starts).to.equal(0)
      resize(cell, 'w0', 2)
      await clock.tickAsync(START_MS)
      expect(countRunning(cell, SECOND, 2)).to.equal(2)
    }
  }
])

const urgent = createQueue('urgent')
const background = createQueue('background', { priority: 2 })

// Room that was kept for a task that no longer fits stayed unused.
const kept: LoadCase[] = [
  {
    name: 'takes other tasks when it is too small for the task that it was reserved for',
    options: { workers: 2, capacity: ofProcessors(8) },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ count: 2, demand: ofProcessors(6), estimatedRunMs: 6_000 }])
      await clock.tickAsync(500)
      submitInBackground(cell, SECOND, [{ count: 2, demand: ofProcessors(8), estimatedRunMs: 2_000 }])
      await clock.tickAsync(2_000)
      resize(cell, 'w0', 4)
      await clock.tickAsync(6_000)
      expect(countRunning(cell, SECOND, 2)).to.equal(1)
      submitInBackground(cell, THIRD, [{ count: 4, estimatedRunMs: 2_000 }], background)
      await clock.tickAsync(START_MS)
      expect(countRunning(cell, THIRD, 4)).to.equal(4)
      await clock.tickAsync(6_000)
      expect(await fetchState(cell, clock, SECOND)).to.equal('completed')
      expect(await fetchState(cell, clock, THIRD)).to.equal('completed')
    }
  },
  {
    name: 'shrinks while tasks are stopped for a more urgent one, and all of them end',
    options: { workers: 1, capacity: ofProcessors(8) },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ count: 8, estimatedRunMs: 6_000, savesProgress: true }], background)
      await clock.tickAsync(500)
      submitInBackground(cell, SECOND, [{ demand: ofProcessors(6), estimatedRunMs: 1_000 }], urgent)
      await clock.tickAsync(250)
      resize(cell, 'w0', 4)
      await clock.tickAsync(30_000)
      expect(await fetchState(cell, clock, FIRST)).to.equal('completed')
      resize(cell, 'w0', 8)
      await clock.tickAsync(START_MS)
      expect(isRunning(cell, SECOND)).to.equal(true)
    }
  },
  {
    name: 'lets a gang wait as a whole, and starts it when it has grown again',
    options: { workers: 2, capacity: ofProcessors(8) },
    run: async (cell, clock) => {
      resize(cell, 'w0', 4)
      await clock.tickAsync(IN_FORCE_MS)
      submitInBackground(cell, FIRST, [{ count: 2, demand: ofProcessors(6), gang: true }])
      submitInBackground(cell, SECOND, [{ count: 4 }], background)
      await clock.tickAsync(3_000)
      expect(countRunning(cell, FIRST, 2)).to.equal(0)
      expect(await fetchState(cell, clock, SECOND)).to.equal('completed')
      resize(cell, 'w0', 8)
      await clock.tickAsync(START_MS)
      expect(countRunning(cell, FIRST, 2)).to.equal(2)
    }
  },
  {
    name: 'keeps what runs there, and gets no further long-running task',
    options: { workers: 1, capacity: ofProcessors(4) },
    run: async (cell, clock) => {
      submitInBackground(cell, FIRST, [{ count: 4, longRunning: true }])
      await clock.tickAsync(500)
      resize(cell, 'w0', 1)
      submitInBackground(cell, SECOND, [{ longRunning: true }])
      await clock.tickAsync(20_000)
      expect(countRunning(cell, FIRST, 4)).to.equal(4)
      expect(isRunning(cell, SECOND)).to.equal(false)
      expect(cell.checker.starts).to.equal(4)
    }
  }
]

/** Capacities at the edge of what a task needs, which uses one processor and some memory. */
const unusual: LoadCase[] = [
  { name: 'no memory', capacity: { cpuMillis: 4_000, memoryMb: 0, accelerators: 0 }, memoryMb: 100, starts: 0 },
  { name: 'no processors', capacity: { cpuMillis: 0, memoryMb: 4_000, accelerators: 0 }, memoryMb: 100, starts: 0 },
  { name: 'a fraction less than a task needs', capacity: { cpuMillis: 999.9, memoryMb: 4_000, accelerators: 0 }, memoryMb: 100, starts: 0 },
  { name: 'a fraction more than two tasks need', capacity: { cpuMillis: 2_000.5, memoryMb: 4_000, accelerators: 0 }, memoryMb: 100, starts: 2 },
  { name: 'a fraction of an accelerator', capacity: { cpuMillis: 2_000, memoryMb: 4_000, accelerators: 0.5 }, memoryMb: 100, starts: 2 },
  // The cost of such a worker was not a number, so that it was never chosen.
  { name: 'no memory for tasks that need none', capacity: { cpuMillis: 4_000, memoryMb: 0, accelerators: 0 }, memoryMb: 0, starts: 3 }
].map(({ name, capacity, memoryMb, starts }) => ({
  name: `gets the tasks that fit with ${name}`,
  options: { workers: 1, capacity: ofProcessors(4) },
  run: async (cell, clock) => {
    cell.workers.update('w0', { capacity })
    await clock.tickAsync(IN_FORCE_MS)
    submitInBackground(cell, FIRST, [{
      count: 3, demand: { cpuMillis: 1_000, memoryMb, accelerators: 0 }, estimatedRunMs: 5_000
    }])
    await clock.tickAsync(START_MS)
    expect(countRunning(cell, FIRST, 3)).to.equal(starts)
  }
}))

describeCells('A worker whose capacity changes', [...overfull, ...lateOrders, ...grown, ...kept, ...unusual])
