import fc from 'fast-check'
import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { CONTROL_TABLE, OWNER_KEY } from '../ownership/index.ts'
import {
  CANCELS_TABLE, CELL_PARTITION, JOBS_TABLE, PROGRESS_TABLE, toJobPartitions
} from '../records/index.ts'
import { MemoryCell, createStep } from '../standins/index.ts'
import type { Job, Step } from '../types.ts'
import { fetchState, submitInBackground } from './describeCells.ts'

const RUNNING = '00000000000000a1'
const MALFORMED = '00000000000000c3'
const UNKNOWN = '00000000000000d4'
const LATER = '00000000000000b2'

/** Seed and number of the cases; more can be played by hand. */
const SEED = Number(process.env.SEED ?? 31)
const RUNS = Number(process.env.RUNS ?? 200)

/** A value that replaces one part of a valid row. */
const replacement = fc.oneof(
  fc.constantFrom(null, true, '', 'x', [], {}, 0, -1, 0.5, 1e9, 1e308, 2 ** 53),
  fc.jsonValue({ maxDepth: 2 })
)

/** Replaces the part of a JSON value that a path of numbers leads to; each number chooses among the entries there. */
function replacePart (value: unknown, path: readonly number[], part: unknown): unknown {
  const [choice, ...rest] = path
  if (choice === undefined || typeof value !== 'object' || value === null) return part
  const keys = Object.keys(value)
  if (keys.length === 0) return part
  const key = keys[choice % keys.length]!
  const replaced = replacePart((value as Record<string, unknown>)[key], rest, part)
  if (Array.isArray(value)) return value.with(Number(key), replaced)
  return { ...value, [key]: replaced }
}

/** Rows of jobs and progress that have the right types but can't be true. */
const untrue: Array<{ name: string, table: string, row: (job: Job) => unknown }> = [
  {
    name: 'a job with a step that waits for one that does not exist',
    table: JOBS_TABLE,
    row: (job) => changeSteps(job, (step) => ({ ...step, after: [7] }))
  },
  {
    name: 'a job with a step that waits for itself',
    table: JOBS_TABLE,
    row: (job) => changeSteps(job, (step, index) => ({ ...step, after: [index] }))
  },
  {
    name: 'a job with a billion occurrences due at once',
    table: JOBS_TABLE,
    row: (job) => ({ ...job, spec: { ...job.spec, occurrences: 1e9 } })
  },
  {
    name: 'the progress of an occurrence that does not exist',
    table: PROGRESS_TABLE,
    row: (job) => [1, 0, [], [], [[1e9, 0, 0, 1, 1, 0, 'w0', '']], job]
  },
  {
    name: 'the progress of a job with a step that waits for one that does not exist',
    table: PROGRESS_TABLE,
    row: (job) => [1, 0, [], [], [[0, 0, 0, 1, 1, 0, 'w0', '']], changeSteps(job, (step) => ({ ...step, after: [7] }))]
  }
]

function changeSteps (job: Job, change: (step: Step, index: number) => Step): Job {
  return { ...job, spec: { ...job.spec, steps: job.spec.steps.map(change) } }
}

/** Lists the rows of a cell that a new owner reads, without its own record. */
function listRows (cell: MemoryCell) {
  const tables = new Set([CONTROL_TABLE, PROGRESS_TABLE, JOBS_TABLE, CANCELS_TABLE])
  return [...cell.rows.rows.values()].filter(({ table, key }) => tables.has(table) && key !== OWNER_KEY)
}

/** Replaces the owner, which reads all rows anew, and runs a job under the new one. */
async function expectScheduling (cell: MemoryCell, clock: Clock): Promise<void> {
  cell.killNode(cell.owner!.name)
  await clock.tickAsync(4_000)
  submitInBackground(cell, LATER, [{ estimatedRunMs: 500 }])
  await clock.tickAsync(4_000)
  expect(await fetchState(cell, clock, LATER)).to.equal('completed')
  const stopped = cell.stop()
  await clock.tickAsync(5_000)
  await stopped
}

describe('A malformed row', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  for (const { name, table, row } of untrue) {
    // Such a row ended each owner that read it, and nothing would be scheduled any more.
    it(`ends no owner when it has ${name}`, async () => {
      const cell = new MemoryCell({ nodes: 3, workers: 3 })
      await clock.tickAsync(2_000)
      const spec = { payload: '', steps: [1, 2].map(() => createStep({})), occurrences: 0, firstRunAt: 0, intervalMs: 0 }
      const job = { id: UNKNOWN, queue: cell.queues[0]!, acceptedAt: Date.now(), spec }
      const partition = table === JOBS_TABLE ? toJobPartitions(UNKNOWN)[0]! : CELL_PARTITION
      const value = Buffer.from(JSON.stringify(row(job)))
      cell.rows.apply({ partition, expected: [], puts: [{ table, key: UNKNOWN, value }], removes: [] })
      await expectScheduling(cell, clock)
    }).timeout(30_000)
  }

  // One row that an owner could not use would end each owner that reads it, and nothing would be scheduled any more.
  it('ends no owner and delays no other job', async () => {
    const paths = fc.array(fc.nat({ max: 50 }), { maxLength: 6 })
    await fc.assert(fc.asyncProperty(fc.nat(), paths, replacement, async (choice, path, part) => {
      const cell = new MemoryCell({ nodes: 3, workers: 3 })
      await clock.tickAsync(2_000)
      submitInBackground(cell, RUNNING, [{ count: 2, estimatedRunMs: 20_000 }, { after: [0] }])
      submitInBackground(cell, MALFORMED, [{ count: 2, estimatedRunMs: 20_000 }, { after: [0] }], undefined, 3)
      await clock.tickAsync(1_500)
      const rows = listRows(cell).filter(({ key }) => key !== RUNNING)
      const row = rows[choice % rows.length]!
      const value = replacePart(JSON.parse(Buffer.from(row.value!).toString()), path, part)
      const { table, partition } = row
      // An owner takes a job from its row only if it does not know the job yet.
      const key = row.key === MALFORMED && choice % 2 === 1 ? UNKNOWN : row.key
      cell.rows.apply({
        partition, expected: [], puts: [{ table, key, value: Buffer.from(JSON.stringify(value)) }], removes: []
      })
      await expectScheduling(cell, clock)
    }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  }).timeout(300_000)
})
