import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import { done, sleep } from '@gypsumspring/protocol'
import { createQueue, createTicket, type MemoryCell, type WorkerFault } from '../standins/index.ts'
import type { Queue } from '../types.ts'
import { describeCells, fetchState, submitInBackground } from './describeCells.ts'
import { DISTURBED, TASK, TASKS, countRunning, startLongRunningJob, startLongRunningTask } from './longRunningJob.ts'

const WORKERS = 6
const RESTARTED = ['w0', 'w1', 'w2']

/** Interval of the jobs, in ms; each has four tasks of 500 ms. */
const JOB_INTERVAL_MS = 60
const JOBS = 100

/** How workers start again under their ids while short jobs arrive. */
interface Restart {
  name: string
  /** Times from the end of a worker until it has started again, in ms: one for each restart. */
  downMs: number[]
  /** Change of the wall clock at the restart, in ms. Default: none. */
  clockStepMs?: number
  /** Fault of every third order to the workers before they end. */
  orderFault?: WorkerFault
  /** Time from the restart until the owner is killed, in ms. Default: it lives. */
  ownerEndsAfterMs?: number
}

const restarts: Restart[] = [
  { name: 'at once', downMs: [0] },
  { name: 'at once and again', downMs: [0, 0, 10] },
  { name: 'soon after its end', downMs: [60] },
  { name: 'after polls of it have failed', downMs: [2_500] },
  { name: 'twice', downMs: [120, 700] },
  { name: 'with a clock that has stepped back', downMs: [150], clockStepMs: -60_000 },
  { name: 'after orders whose answers were lost', downMs: [200], orderFault: 'lost' },
  { name: 'before late orders arrive', downMs: [200], orderFault: 'late' },
  { name: 'together with an end of the owner', downMs: [100], ownerEndsAfterMs: 0 },
  { name: 'soon before an end of the owner', downMs: [100], ownerEndsAfterMs: 300 }
]

function disturbOrders (cell: MemoryCell, fault: WorkerFault): void {
  let orders = 0
  for (const id of RESTARTED) {
    cell.workers.workers.get(id)!.fault = (call) => call === 'start' && ++orders % 3 === 0 ? fault : undefined
  }
}

/** Ends and restarts the workers while the clock is advanced. */
async function restartWorkers (cell: MemoryCell, restart: Omit<Restart, 'name'>): Promise<void> {
  const { downMs, clockStepMs = 0, orderFault, ownerEndsAfterMs } = restart
  if (orderFault !== undefined) disturbOrders(cell, orderFault)
  await sleep(1_500)
  for (const ms of downMs) {
    for (const id of RESTARTED) cell.workers.workers.get(id)!.crash()
    await sleep(ms)
    for (const id of RESTARTED) cell.restartWorker(id, { startedAt: Date.now() + clockStepMs })
  }
  if (ownerEndsAfterMs === undefined) return
  await sleep(ownerEndsAfterMs)
  cell.killNode(cell.owner!.name)
}

function toJobId (index: number): string {
  return index.toString(16).padStart(16, '0')
}

async function submitJobs (cell: MemoryCell, clock: Clock, queue?: Queue): Promise<void> {
  for (let index = 0; index < JOBS; index++) {
    submitInBackground(cell, toJobId(index), [{ count: 4, estimatedRunMs: 500 }], queue)
    await clock.tickAsync(JOB_INTERVAL_MS)
  }
}

describeCells('A worker that starts again under its id', restarts.map((restart) => ({
  // Guards against acknowledging the ends of a new incarnation by the count of its predecessor: they were never read,
  // and tasks that had succeeded were started again.
  name: `${restart.name} runs no task again that has succeeded`,
  options: { workers: WORKERS },
  run: async (cell, clock) => {
    const restarted = restartWorkers(cell, restart)
    await submitJobs(cell, clock)
    await restarted
    await clock.tickAsync(20_000)
    for (let index = 0; index < JOBS; index++) {
      expect(await fetchState(cell, clock, toJobId(index))).to.be.oneOf(['completed', undefined])
    }
    expect(cell.checker.violations).to.deep.equal([])
  }
})))

const ADVICE = { decisionMs: 15, perWorkerMs: 1, validMs: 2_000 }

const policy = { allows: true }

describeCells('Tickets for a worker that has started again under its id', [
  {
    // Starts with tickets for the incarnation before were refused, and their tasks waited for another placement.
    name: 'are requested anew',
    options: { workers: WORKERS },
    run: async (cell, clock) => {
      const restarted = restartWorkers(cell, { downMs: [100] })
      // Steps that wait for room keep their tickets.
      submitInBackground(cell, 'f'.repeat(16), [{ count: 200, estimatedRunMs: 700 }], createQueue('batch', { advice: ADVICE }))
      await submitJobs(cell, clock, createQueue('batch', { advice: ADVICE }))
      await restarted
      await clock.tickAsync(20_000)
      expect(cell.checker.outdatedTickets).to.equal(0)
    }
  }
])

/** Time after which a worker that has left the registry is removed, in ms. */
const REMOVED_MS = 4_000

describeCells('A worker that starts again under its id after it was removed', [
  {
    // What the policy had answered about the incarnation before kept tasks off the worker for good.
    name: 'is named to the policy service again',
    options: {
      workers: 1,
      createAdviser: () => ({
        advise: async (_step, workers) => done({
          tickets: workers.filter(() => policy.allows).map((id) => [id, createTicket(ADVICE.validMs)])
        })
      })
    },
    run: async (cell, clock) => {
      policy.allows = false
      submitInBackground(cell, toJobId(1), [{ estimatedRunMs: 300 }], createQueue('batch', { advice: ADVICE }))
      await clock.tickAsync(1_000)
      cell.workers.workers.get('w0')!.crash()
      cell.workers.unlist('w0')
      await clock.tickAsync(REMOVED_MS)
      // Its start tells the owner to store the incarnations anew, without the one that has left.
      cell.addWorker('other', { pool: 'other' })
      await clock.tickAsync(1_000)
      policy.allows = true
      cell.restartWorker('w0')
      await clock.tickAsync(3_000)
      expect(cell.checker.isDone(`${toJobId(1)}.0.0.0`)).to.equal(true)
    }
  }
])

/** Longest lease that the workers grant, in ms; longer than those that the owner asks for. */
const LEASE_LIMIT_MS = 10_000

/** Time after which tasks of a worker out of reach run elsewhere, in ms: the longest lease, its margin and a start. */
const LEASE_END_MS = 11_500

const cuts = [
  { name: 'at once', downMs: 0, cutAfterMs: 30 },
  { name: 'at once, and some time later', downMs: 0, cutAfterMs: 2_500 },
  { name: 'soon after its end', downMs: 100, cutAfterMs: 30 },
  { name: 'soon after its end, and some time later', downMs: 100, cutAfterMs: 2_500 },
  { name: 'while it is out of reach', downMs: 100, cutAfterMs: 0 }
]

describeCells('Leases on a worker that starts again under its id', cuts.map(({ name, downMs, cutAfterMs }) => ({
  // Guards against leases until a time on the clock of the incarnation before: the worker shortens them to its limit
  // only, and its tasks were started elsewhere while they still ran.
  name: `${name} is cut off, end before its tasks run elsewhere`,
  options: { workers: TASKS },
  run: async (cell, clock) => {
    await startLongRunningJob(cell, clock)
    for (const id of DISTURBED) cell.workers.workers.get(id)!.crash()
    await clock.tickAsync(downMs)
    for (const id of DISTURBED) cell.restartWorker(id).leaseLimitMs = LEASE_LIMIT_MS
    await clock.tickAsync(cutAfterMs)
    for (const id of DISTURBED) cell.workers.workers.get(id)!.fault = () => 'silent'
    await clock.tickAsync(LEASE_END_MS)
    expect(cell.checker.violations).to.deep.equal([])
    expect(countRunning(cell)).to.equal(TASKS)
  }
})))

describeCells('Orders to a worker whose restart is not noticed yet', [60, 200, 400].map((cutAfterMs) => ({
  // Guards against starts with a lease by the clock of the incarnation before.
  name: `grant no lease that outlasts the owner's count (cut off after ${cutAfterMs} ms)`,
  options: { workers: TASKS },
  run: async (cell: MemoryCell, clock: Clock) => {
    const ids = [...cell.workers.workers.keys()]
    for (const id of ids) cell.restartWorker(id).leaseLimitMs = LEASE_LIMIT_MS
    submitInBackground(cell, toJobId(1), [{ count: 2, maxPerWorker: 1, longRunning: true }])
    await clock.tickAsync(cutAfterMs)
    for (const worker of cell.workers.workers.values()) if (worker.runs.size > 0) worker.fault = () => 'silent'
    await clock.tickAsync(LEASE_END_MS)
    expect(cell.checker.violations).to.deep.equal([])
    for (const index of [0, 1]) expect(cell.checker.countRunning(`${toJobId(1)}.0.0.${index}`)).to.equal(1)
  }
})))

/** Number of restarts, more than the crashes after which a task is given up. */
const RESTARTS = 7

describeCells('A worker that drains and starts again under its id', [
  {
    // The registration of the next incarnation made the end look like a crash, and tasks were given up after some.
    name: 'has left as planned, so that its tasks are not suspected',
    options: { workers: 4 },
    run: async (cell, clock) => {
      let worker = await startLongRunningTask(cell, clock)
      for (let restart = 0; restart < RESTARTS; restart++) {
        const { id } = worker.entry
        cell.workers.update(id, { draining: true, leavesInMs: 100 })
        await clock.tickAsync(200)
        worker.crash()
        cell.restartWorker(id)
        await clock.tickAsync(2_000)
        worker = [...cell.workers.workers.values()].find(({ runs }) => runs.size > 0)!
        expect(worker, `running after ${restart + 1} restarts`).not.to.equal(undefined)
      }
      expect(cell.checker.countRunning(TASK)).to.equal(1)
    }
  }
])

describeCells('A task that has failed on a worker', [
  {
    // The failure says nothing about the next incarnation, which was left out for 2 s.
    name: 'may start at once on its next incarnation',
    options: { workers: 1, planRunEnd: (_key, run) => ({ reason: run === 1 ? 'failed' : 'done', afterMs: 300 }) },
    run: async (cell, clock) => {
      submitInBackground(cell, toJobId(1), [{ estimatedRunMs: 300 }])
      await clock.tickAsync(400)
      cell.workers.workers.get('w0')!.crash()
      cell.restartWorker('w0')
      await clock.tickAsync(1_500)
      expect(cell.checker.isDone(`${toJobId(1)}.0.0.0`)).to.equal(true)
    }
  }
])

const moves: Array<{ name: string, reuseAddress: (cell: MemoryCell) => void }> = [
  { name: 'where its former one doesn\'t answer', reuseAddress: () => {} },
  { name: 'where another worker has its former one', reuseAddress: (cell) => { cell.addWorker('other', { address: 'w0:1' }) } }
]

// The owner went on calling the former address, and never used the worker again.
describeCells('A worker that starts again under its id at another address', moves.map(({ name, reuseAddress }) => ({
  name: `${name} gets tasks again`,
  options: { workers: 1 },
  run: async (cell, clock) => {
    await startLongRunningTask(cell, clock)
    cell.workers.workers.get('w0')!.crash()
    reuseAddress(cell)
    const next = cell.restartWorker('w0', { address: 'w0:2' })
    await clock.tickAsync(8_000)
    expect(cell.checker.countRunning(TASK)).to.equal(1)
    submitInBackground(cell, toJobId(2), [{ count: 2, maxPerWorker: 1, longRunning: true }])
    await clock.tickAsync(2_000)
    expect(next.runs.size).to.be.greaterThan(0)
  }
})))

/** Time from the restart of a worker until the registry has its new entry, in ms. */
const ENTRY_DELAY_MS = 1_000

const otherKinds = [
  { name: 'of another kind', changes: { labels: ['a'] }, fits: false },
  { name: 'of less capacity', changes: { capacity: { cpuMillis: 100, memoryMb: 10_000, accelerators: 0 } }, fits: false },
  { name: 'in another pool', changes: { pool: 'other' }, fits: false },
  { name: 'like the one before', changes: {}, fits: true }
]

describeCells('A worker that starts again under its id', otherKinds.map(({ name, changes, fits }) => ({
  // Guards against starts by the labels and the capacity of the incarnation before, until the new entry was read.
  name: `${name}, gets tasks by its own entry only`,
  options: { workers: 1 },
  run: async (cell, clock) => {
    cell.workers.update('w0', { labels: ['b'] })
    submitInBackground(cell, toJobId(1), [{ demand: { cpuMillis: 500, memoryMb: 10, accelerators: 0 }, requiredLabel: 'b', longRunning: true }])
    await clock.tickAsync(1_000)
    cell.workers.workers.get('w0')!.crash()
    await clock.tickAsync(100)
    const next = cell.restartWorker('w0', changes, ENTRY_DELAY_MS)
    await clock.tickAsync(ENTRY_DELAY_MS - 50)
    expect(next.runs.size, 'before the entry').to.equal(0)
    await clock.tickAsync(3_000)
    expect(next.runs.size, 'after the entry').to.equal(fits ? 1 : 0)
  }
})))
