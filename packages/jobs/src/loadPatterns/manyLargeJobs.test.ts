import { expect } from 'chai'
import { createQueue, type MemoryCell } from '../standins/index.ts'
import { describeCells, fetchState, submitInBackground } from './describeCells.ts'

const MAX_OPEN_TASKS = 12_000

/** Jobs and tasks of each; all of them are 40,000 tasks. */
const LARGE_JOBS = 40
const LARGE_STEP = { count: 1_000, demand: { cpuMillis: 50, memoryMb: 1, accelerators: 0 }, estimatedRunMs: 200 }
const SMALL_STEP = { demand: { cpuMillis: 50, memoryMb: 1, accelerators: 0 }, estimatedRunMs: 200 }

const toId = (kind: string, index: number) => kind + index.toString(16).padStart(15, '0')

let mostOpenTasks = 0
const metrics = {
  count: () => {},
  recordDuration: () => {},
  set: (name: string, value: number) => { if (name === 'tasks_open') mostOpenTasks = Math.max(mostOpenTasks, value) }
}

function submitLargeJobs (cell: MemoryCell): void {
  for (let index = 0; index < LARGE_JOBS; index++) submitInBackground(cell, toId('a', index), [LARGE_STEP])
}

const cases = [
  { name: 'an owner', disturb: () => {} },
  { name: 'an owner and its successor', disturb: (cell: MemoryCell) => cell.killNode(cell.owner!.name) }
]

describeCells('Many large jobs', cases.map(({ name, disturb }) => ({
  // Guards against tasks of all accepted jobs in memory at once: each owner reached its heap limit, and nothing ran.
  name: `take bounded memory of ${name}, complete, and keep no small job waiting`,
  options: { maxOpenTasks: MAX_OPEN_TASKS, metrics },
  run: async (cell, clock) => {
    mostOpenTasks = 0
    submitLargeJobs(cell)
    await clock.tickAsync(2_000)
    disturb(cell)
    await clock.tickAsync(3_000)
    submitInBackground(cell, toId('b', 0), [SMALL_STEP], createQueue('urgent', { priority: -1 }))
    submitInBackground(cell, toId('b', 1), [SMALL_STEP])
    await clock.tickAsync(5_000)
    expect(await fetchState(cell, clock, toId('b', 0))).to.equal('completed')
    await clock.tickAsync(20_000)
    expect(await fetchState(cell, clock, toId('b', 1))).to.equal('completed')
    for (let index = 0; index < LARGE_JOBS; index++) {
      expect(await fetchState(cell, clock, toId('a', index))).to.equal('completed')
    }
    expect(mostOpenTasks).to.be.within(4_000, MAX_OPEN_TASKS)
  }
})))
