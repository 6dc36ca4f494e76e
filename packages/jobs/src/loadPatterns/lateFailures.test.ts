import { expect } from 'chai'
import { createQueue } from '../standins/index.ts'
import { describeCells, fetchState, submitInBackground, type LoadCase } from './describeCells.ts'

const JOB = '00000000000000a1'

/** Attempts after which the job fails. */
const MAX_ATTEMPTS = 2

const cases: Array<{ name: string, runMs: number, cutMs: number, starts: number }> = [
  // The run must count once, although its end is reported late.
  { name: 'while the lease of the worker lasts', runMs: 1_500, cutMs: 2_500, starts: MAX_ATTEMPTS },
  // The task waits for its next run by then, and the end is not evidence of its former run any more.
  { name: 'after the lease of the worker has expired', runMs: 4_000, cutMs: 6_000, starts: MAX_ATTEMPTS + 1 }
]

describeCells('A job whose first run fails on a worker out of reach', cases.map(({ name, runMs, cutMs, starts }): LoadCase => ({
  name: `fails after ${starts} runs if the end is reported ${name}`,
  options: { workers: 3, planRunEnd: () => ({ reason: 'failed', afterMs: runMs }) },
  run: async (cell, clock) => {
    submitInBackground(cell, JOB, [{}], createQueue('batch', { maxAttempts: MAX_ATTEMPTS }))
    await clock.tickAsync(1_000)
    const first = [...cell.workers.workers.values()].find(({ runs }) => runs.size > 0)!.entry.id
    cell.reachesWorker = (_node, worker) => worker !== first
    await clock.tickAsync(cutMs)
    cell.reachesWorker = () => true
    await clock.tickAsync(20_000)
    expect(cell.checker.starts).to.equal(starts)
    expect(await fetchState(cell, clock, JOB)).to.equal('failed')
  }
})))
