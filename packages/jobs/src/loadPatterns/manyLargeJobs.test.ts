import { expect } from 'chai'
import { createQueue } from '../standins/index.ts'
import { describeCells, fetchState, submitInBackground } from './describeCells.ts'

const MAX_OPEN_TASKS = 12_000

const LARGE_JOBS = 40
const SMALL_STEP = { demand: { cpuMillis: 50, memoryMb: 1, accelerators: 0 }, estimatedRunMs: 200 }
const MANY_TASKS = [{ ...SMALL_STEP, count: 1_000 }]
const MANY_STEPS = Array.from({ length: 60 }, () => SMALL_STEP)

const toId = (kind: string, index: number) => kind + index.toString(16).padStart(15, '0')

let mostOpenTasks = 0
const metrics = {
  count: () => {},
  recordDuration: () => {},
  set: (name: string, value: number) => { if (name === 'tasks_open') mostOpenTasks = Math.max(mostOpenTasks, value) }
}

const cases = [
  { name: 'many tasks take bounded memory of an owner', steps: MANY_TASKS, most: MAX_OPEN_TASKS },
  { name: 'many tasks take bounded memory of a successor', steps: MANY_TASKS, endsOwner: true, most: MAX_OPEN_TASKS },
  // Each step counts as ten tasks. With 28,000 steps, placement rounds outlasted their owners.
  { name: 'many steps take bounded time of placement rounds', steps: MANY_STEPS, most: MAX_OPEN_TASKS / 11 }
]

describeCells('Large jobs with', cases.map(({ name, steps, endsOwner, most }) => ({
  // Guards against tasks of all accepted jobs in memory at once: each owner reached its heap limit, and nothing ran.
  name: `${name}, complete, and keep no small job waiting`,
  options: { maxOpenTasks: MAX_OPEN_TASKS, metrics },
  run: async (cell, clock) => {
    mostOpenTasks = 0
    for (let index = 0; index < LARGE_JOBS; index++) submitInBackground(cell, toId('a', index), steps)
    await clock.tickAsync(2_000)
    if (endsOwner === true) cell.killNode(cell.owner!.name)
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
    expect(mostOpenTasks).to.be.within(most / 3, most)
  }
})))
