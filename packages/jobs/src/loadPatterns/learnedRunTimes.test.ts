import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import { CONTROL_TABLE } from '../ownership/index.ts'
import type { MemoryCell } from '../standins/index.ts'
import { describeCells, fetchState, submitInBackground } from './describeCells.ts'
import { putControlRow, waitForOwner } from './owners.ts'

const RUN_MS = 1_500
const TASKS = 5

const KEY = 'run-times'

const warnings: string[] = []
const log = { info: () => {}, warn: (_: object, message: string) => { warnings.push(message) } }
const options = { planRunEnd: () => ({ reason: 'done' as const, afterMs: RUN_MS }), log }

/** Runs jobs without a declared run time until what is learned of them is stored. */
async function learn (cell: MemoryCell, clock: Clock): Promise<void> {
  warnings.length = 0
  for (let job = 0; job < 8; job++) {
    submitInBackground(cell, job.toString(16).padStart(16, '0'), [{ count: TASKS, estimatedRunMs: 0 }])
    await clock.tickAsync(RUN_MS + 300)
  }
}

function findRow (cell: MemoryCell): Uint8Array | undefined {
  return [...cell.rows.rows.values()].find(({ table, key }) => table === CONTROL_TABLE && key === KEY)?.value
}

/** Counts the writes of the row in a period. */
async function countWrites (cell: MemoryCell, clock: Clock, periodMs: number): Promise<number> {
  let writes = 0
  let last = findRow(cell)
  for (let passedMs = 0; passedMs < periodMs; passedMs += 100) {
    await clock.tickAsync(100)
    if (findRow(cell) !== last) writes++
    last = findRow(cell)
  }
  return writes
}

async function changeOwner (cell: MemoryCell, clock: Clock): Promise<void> {
  cell.killNode(cell.owner!.name)
  await waitForOwner(cell, clock)
  await clock.tickAsync(3_000)
}

describeCells('What is learned of run times', [
  {
    // A write for each run would be paid for, and a new owner without the row would learn everything anew.
    name: 'is stored in a small row, which is not written again without need and survives a takeover',
    options,
    run: async (cell, clock) => {
      await learn(cell, clock)
      const row = findRow(cell)!
      expect(row.length).to.be.below(500)
      expect(await countWrites(cell, clock, 30_000)).to.be.at.most(1)
      await changeOwner(cell, clock)
      await clock.tickAsync(15_000)
      expect(JSON.parse(Buffer.from(findRow(cell)!).toString()).queues).to.have.length(1)
      expect(warnings.filter((text) => text.includes('run times'))).to.deep.equal([])
    }
  },
  ...['{}', 'x', '{"workers":[["w0",1e99]],"queues":[],"groups":[]}', '[]'].map((value) => ({
    // A row that can't be decoded would end the process of each owner in turn.
    name: `is ignored with one log line when the row is ${value}`,
    options,
    run: async (cell: MemoryCell, clock: Clock) => {
      await learn(cell, clock)
      putControlRow(cell, KEY, value)
      await changeOwner(cell, clock)
      expect(warnings.filter((text) => text.includes('run times'))).to.have.length(1)
      submitInBackground(cell, 'ffffffffffffffff', [{ estimatedRunMs: RUN_MS }])
      await clock.tickAsync(4_000)
      expect(await fetchState(cell, clock, 'ffffffffffffffff')).to.equal('completed')
    }
  })),
  {
    name: 'is not stored when learning is switched off',
    options: { ...options, learnsRunTimes: false },
    run: async (cell, clock) => {
      await learn(cell, clock)
      await clock.tickAsync(15_000)
      expect(findRow(cell)).to.equal(undefined)
    }
  }
])
