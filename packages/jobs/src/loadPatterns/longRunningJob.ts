import type { Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import type { MemoryCell, MemoryWorker } from '../standins/index.ts'
import { submitInBackground } from './describeCells.ts'

/** Number of tasks of the job, and of the workers in the cell. */
export const TASKS = 6

/** Workers that tests end or silence; the job has as many tasks as allowed on each of them. */
export const DISTURBED = ['w0', 'w1']

export const TASKS_PER_WORKER = 2

const JOB = '00000000000000a1'

/** Name of the first task, which is the only one of `startLongRunningTask`. */
export const TASK = `${JOB}.0.0.0`

/** Starts a long-running job of `TASKS` tasks. */
export async function startLongRunningJob (cell: MemoryCell, clock: Clock): Promise<void> {
  submitInBackground(cell, JOB, [{ count: TASKS, maxPerWorker: TASKS_PER_WORKER, longRunning: true }])
  await clock.tickAsync(2_000)
  expect(countRunning(cell)).to.equal(TASKS)
  for (const id of DISTURBED) expect(cell.workers.workers.get(id)!.runs.size).to.equal(TASKS_PER_WORKER)
}

/** Counts the tasks of the job that have exactly one run. */
export function countRunning (cell: MemoryCell): number {
  const names = Array.from({ length: TASKS }, (_, index) => `${JOB}.0.0.${index}`)
  return names.filter((name) => cell.checker.countRunning(name) === 1).length
}

/** Starts a long-running job of one task and returns the worker that runs it after `waitMs`. */
export async function startLongRunningTask (cell: MemoryCell, clock: Clock, waitMs = 2_000): Promise<MemoryWorker> {
  submitInBackground(cell, JOB, [{ longRunning: true }])
  await clock.tickAsync(waitMs)
  return [...cell.workers.workers.values()].find(({ runs }) => runs.size > 0)!
}
