import { expect } from 'chai'
import fc from 'fast-check'
import { createQueue, createStep } from '../standins/index.ts'
import type { Job } from '../types.ts'
import { countOpenOccurrences, encodeProgress, TrackedJob } from './index.ts'

const MAX_ROW_BYTES = 65_536

function createJob (counts: number[], occurrences: number, payload = ''): Job {
  const steps = counts.map((count) => createStep({ count }))
  const spec = { payload, steps, occurrences, firstRunAt: 0, intervalMs: 0 }
  return { id: '0123456789abcdef', queue: createQueue('batch'), acceptedAt: 1_768_309_550_000, spec }
}

/** Opens occurrences of a job, the first of them at the end of its list, and runs all their tasks. */
function runAllTasks (job: Job, occurrences: number): TrackedJob {
  const tracked = new TrackedJob(job, 0, 0)
  for (let finished = 0; finished < job.spec.occurrences - occurrences; finished++) {
    tracked.finishedOccurrences.add(finished)
  }
  for (let index = 0; index < occurrences; index++) {
    tracked.openOccurrence(Math.max(0, job.spec.occurrences - 1) + index, 0)
  }
  for (const task of tracked.tasks()) {
    Object.assign(task, { status: 'running', run: 999, failures: 9, worker: 'i-0123456789', checkpoint: '0123456789abcdef' })
  }
  return tracked
}

describe('countOpenOccurrences', () => {
  // The store refuses a row that is too large, and with it everything else that the owner stores at the time.
  it('allows only as many as fit into a row with all their tasks running', () => {
    const counts = fc.array(fc.integer({ min: 1, max: 1_000 }), { minLength: 1, maxLength: 20 })
    const payload = fc.string({ maxLength: 4_000 })
    fc.assert(fc.property(counts, fc.integer({ min: 0, max: 10_000 }), payload, (steps, occurrences, text) => {
      const job = createJob(steps, occurrences, text)
      const allowed = Math.min(countOpenOccurrences(job, MAX_ROW_BYTES), Math.max(1, occurrences))
      if (allowed > 0) expect(encodeProgress(runAllTasks(job, allowed)).length).to.be.at.most(MAX_ROW_BYTES)
    }), { seed: 31, numRuns: 200 })
  })

  const cases = [
    { name: 'a small job', job: createJob([20, 20], 0), expected: 'some' },
    { name: 'a job of 700 tasks', job: createJob([700], 0), expected: 'some' },
    { name: 'a job of 1,500 tasks', job: createJob([1_000, 500], 0), expected: 'none' },
    { name: 'a small job with 10,000 occurrences', job: createJob([1], 10_000), expected: 'some' },
    { name: 'a job of 100 tasks with 10,000 occurrences', job: createJob([100], 10_000), expected: 'none' }
  ]
  for (const { name, job, expected } of cases) {
    it(`allows ${expected} of ${name}`, () => {
      expect(countOpenOccurrences(job, MAX_ROW_BYTES) > 0).to.equal(expected === 'some')
    })
  }
})
