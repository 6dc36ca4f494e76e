import type { Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { throwUncaught } from '@gypsumspring/protocol'
import type { MemoryCell, MemoryWorker } from '../standins/index.ts'
import type { Step } from '../types.ts'
import { describeCells, type LoadCase } from './describeCells.ts'
import { handOver, waitForOwner } from './owners.ts'

const FIRST = '00000000000000a1'
const SECOND = '00000000000000b2'

/** Tasks of each job, which need one processor each. */
const TASKS = 12

/** Tasks that the cap of an account allows at the same time. */
const CAP_TASKS = 5

/** Time in which a task that has room starts, in ms. */
const START_MS = 1_000

/** Number of a job's tasks that run on workers. */
function countRunning (cell: MemoryCell, job: string): number {
  return Array.from({ length: TASKS }, (_, index) => cell.checker.countRunning(`${job}.0.0.${index}`))
    .reduce((sum, count) => sum + count, 0)
}

function setCap (cell: MemoryCell, tasks: number): void {
  const cap = { cpuMillis: tasks * 1_000, memoryMb: 0, accelerators: 0 }
  cell.accounts = ['one', 'two'].map((name) => ({ name, keys: [name], weight: 1, cap }))
}

function submit (cell: MemoryCell, id: string, account: string, step: Partial<Step> = {}): void {
  cell.submit(id, [{ count: TASKS, estimatedRunMs: 6_000, ...step }], { account }).catch(throwUncaught)
}

/** Runs the clock and returns the most tasks of the jobs that ran at the same time meanwhile. */
async function findPeak (cell: MemoryCell, clock: Clock, jobs: string[], forMs: number): Promise<number> {
  let peak = 0
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 50) {
    await clock.tickAsync(50)
    peak = Math.max(peak, jobs.reduce((sum, job) => sum + countRunning(cell, job), 0))
  }
  return peak
}

/** What happens to the cell while an account has its cap in use. */
const disturbances: Array<{ name: string, disturb: (cell: MemoryCell, clock: Clock) => Promise<void> }> = [
  { name: 'under the same owner', disturb: async () => {} },
  {
    // A new owner that counts from 0 would start as much again.
    name: 'after a takeover',
    disturb: async (cell, clock) => {
      cell.killNode(cell.owner!.name)
      await waitForOwner(cell, clock)
    }
  },
  { name: 'after a handover', disturb: async (cell, clock) => await handOver(cell, clock) },
  {
    // Tasks on a worker that is cut off run on until their leases have ended.
    name: 'while a worker is cut off',
    disturb: async (cell) => { cell.reachesWorker = (_node, worker) => worker !== 'w0' }
  },
  {
    name: 'after its cap was lowered below what runs',
    disturb: async (cell) => setCap(cell, 2)
  }
]

const capped: LoadCase[] = disturbances.map(({ name, disturb }) => ({
  name: `runs no more than its cap ${name}`,
  run: async (cell, clock) => {
    setCap(cell, CAP_TASKS)
    submit(cell, FIRST, 'one')
    submit(cell, SECOND, 'one')
    await clock.tickAsync(START_MS)
    expect(countRunning(cell, FIRST) + countRunning(cell, SECOND)).to.equal(CAP_TASKS)
    await disturb(cell, clock)
    expect(await findPeak(cell, clock, [FIRST, SECOND], 15_000)).to.be.at.most(CAP_TASKS)
  }
}))

/** Lets the calls of all workers fail in a way, or not at all. */
function setFaults (cell: MemoryCell, fault: MemoryWorker['fault']): void {
  for (const worker of cell.workers.workers.values()) worker.fault = fault
}

capped.push({
  // The row of a job that has ended is all that a new owner knows of runs that are still being stopped.
  name: 'runs no more than its cap while tasks of a cancelled job are stopped under a new owner',
  run: async (cell, clock) => {
    setCap(cell, CAP_TASKS)
    submit(cell, FIRST, 'one')
    await clock.tickAsync(START_MS)
    setFaults(cell, (call) => call === 'stop' ? 'silent' : undefined)
    cell.cancel(FIRST).catch(throwUncaught)
    await clock.tickAsync(START_MS)
    cell.killNode(cell.owner!.name)
    await waitForOwner(cell, clock)
    submit(cell, SECOND, 'one')
    expect(await findPeak(cell, clock, [FIRST, SECOND], 4_000)).to.equal(CAP_TASKS)
    setFaults(cell, () => undefined)
    expect(await findPeak(cell, clock, [SECOND], 4_000)).to.equal(CAP_TASKS)
  }
}, {
  // Assignments are made under the cap of their time; their orders may be repeated until long after it was lowered.
  name: 'starts no more than a lowered cap allows when its start orders were lost',
  run: async (cell, clock) => {
    setCap(cell, TASKS)
    setFaults(cell, (call) => call === 'start' ? 'silent' : undefined)
    submit(cell, FIRST, 'one')
    await clock.tickAsync(START_MS)
    setCap(cell, 2)
    await clock.tickAsync(START_MS)
    setFaults(cell, () => undefined)
    expect(await findPeak(cell, clock, [FIRST], 10_000)).to.be.within(1, 3)
  }
}, {
  // A row that is removed or malformed must not set its account free.
  name: 'runs one task at a time when no configuration tells its cap',
  run: async (cell, clock) => {
    setCap(cell, TASKS)
    cell.accounts = cell.accounts!.filter(({ name }) => name === 'two')
    submit(cell, FIRST, 'one')
    expect(await findPeak(cell, clock, [FIRST], 2_000)).to.equal(1)
  }
})

const progressing: LoadCase[] = [
  {
    name: 'does not keep another account from the rest of the cell',
    run: async (cell, clock) => {
      setCap(cell, CAP_TASKS)
      submit(cell, FIRST, 'one')
      submit(cell, SECOND, 'two')
      await clock.tickAsync(START_MS)
      expect([countRunning(cell, FIRST), countRunning(cell, SECOND)]).to.deep.equal([CAP_TASKS, CAP_TASKS])
    }
  },
  {
    // A task that is larger than the cap would wait for ever.
    name: 'runs tasks larger than its cap one after the other',
    run: async (cell, clock) => {
      setCap(cell, 1)
      submit(cell, FIRST, 'one', { demand: { cpuMillis: 3_000, memoryMb: 0, accelerators: 0 } })
      expect(await findPeak(cell, clock, [FIRST], 8_000)).to.equal(1)
    }
  },
  {
    // All members of a gang start together: what the first ones take up must not hold back the last one.
    name: 'starts a gang that its cap just allows',
    run: async (cell, clock) => {
      setCap(cell, TASKS)
      submit(cell, FIRST, 'one', { gang: true })
      await clock.tickAsync(START_MS)
      expect(countRunning(cell, FIRST)).to.equal(TASKS)
    }
  },
  {
    // All members but the last may use up the cap, as the tasks of another step may.
    name: 'starts a gang of which all but one member fit',
    run: async (cell, clock) => {
      setCap(cell, TASKS - 1)
      submit(cell, FIRST, 'one', { gang: true })
      await clock.tickAsync(START_MS)
      expect(countRunning(cell, FIRST)).to.equal(TASKS)
    }
  },
  {
    // A job that was accepted must not wait for ever because the deployment has no accounts any more.
    name: 'runs its jobs without a cap when the configuration lists no accounts any more',
    run: async (cell, clock) => {
      submit(cell, FIRST, 'one')
      await clock.tickAsync(START_MS)
      expect(countRunning(cell, FIRST)).to.equal(TASKS)
    }
  },
  {
    // A new owner may know the stored jobs before the configuration.
    name: 'starts nothing before the configuration is known',
    run: async (cell, clock) => {
      cell.hasConfiguration = false
      submit(cell, FIRST, 'one')
      await clock.tickAsync(START_MS)
      expect(countRunning(cell, FIRST)).to.equal(0)
      cell.hasConfiguration = true
      setCap(cell, TASKS)
      await clock.tickAsync(START_MS)
      expect(countRunning(cell, FIRST)).to.equal(TASKS)
    }
  }
]

// Guards against accounts that take more of the cell than their cap, and against caps that stop an account altogether.
describeCells('An account that submits more than its cap', capped)
describeCells('An account with a cap', progressing)
