import { expect } from 'chai'
import { OWNER_TAKEOVER_MS } from '../../constants/index.ts'
import { TrackedJob } from '../../model/index.ts'
import { createQueue, createStep } from '../../standins/index.ts'
import { NOW } from '../_test/makeState.ts'
import { orderSteps } from './index.ts'

const EARLIER = 20

/** Creates a job whose last step names its earlier ones many times. */
function createJob (named: number, occurrences: number, account?: string): TrackedJob {
  const after = Array.from({ length: named }, (_, index) => index % EARLIER)
  const earlier = Array.from({ length: EARLIER }, () => createStep({ count: 70, estimatedRunMs: 100 }))
  const steps = [...earlier, createStep({ after })]
  const spec = { payload: '', steps, occurrences, firstRunAt: 0, intervalMs: 0 }
  const job = new TrackedJob({ id: 'a', queue: createQueue('batch'), acceptedAt: 0, account, spec }, NOW, 0)
  for (let occurrence = 0; occurrence < occurrences; occurrence++) job.openOccurrence(occurrence, NOW)
  return job
}

describe('orderSteps of jobs with many dependencies', () => {
  // Guards against rounds that take so long that each owner is replaced before its first one ends.
  for (const account of [undefined, 'one']) {
    it(`takes a small part of the time after which an owner is replaced, account ${account}`, () => {
      const jobs = Array.from({ length: 12 }, () => createJob(7_900, 24, account))
      const steps = jobs.flatMap(({ occurrences }) => [...occurrences.values()].flat())
      const startedAt = performance.now()
      const ordered = orderSteps(steps.filter((step) => step.isReady()), NOW)
      expect(performance.now() - startedAt).to.be.lessThan(OWNER_TAKEOVER_MS / 4)
      expect(ordered).to.have.lengthOf(12 * 24 * EARLIER)
    })
  }

  it('counts the longest chain of steps once, however often a step is named', () => {
    const job = createJob(7_900, 1)
    const [first] = job.occurrences.get(0)!
    expect(orderSteps([first!], NOW)[0]).to.include({ pathMs: 100 + first!.job.expectedRunMs(EARLIER) })
  })
})
