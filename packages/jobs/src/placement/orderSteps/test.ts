import { expect } from 'chai'
import { TrackedJob } from '../../model/index.ts'
import { createQueue, createStep } from '../../standins/index.ts'
import { NOW } from '../_test/makeState.ts'
import { orderSteps } from './index.ts'

const EARLIER = 20
const NAMED = 7_900
const OCCURRENCES = 24

/** Counts how often the dependencies of a step, and the tasks of all steps, are read. */
const reads = { dependencies: 0, tasks: 0 }

/** Creates a job whose last step names its earlier ones many times, with all occurrences open. */
function createJob (account?: string): TrackedJob {
  const after = new Proxy(Array.from({ length: NAMED }, (_, index) => index % EARLIER), {
    get: (target, key) => {
      reads.dependencies++
      return Reflect.get(target, key) as unknown
    }
  })
  const earlier = Array.from({ length: EARLIER }, () => createStep({ count: 5, estimatedRunMs: 100 }))
  const steps = [...earlier, createStep({ after })]
  const spec = { payload: '', steps, occurrences: OCCURRENCES, firstRunAt: 0, intervalMs: 0 }
  const job = new TrackedJob({ id: 'a', queue: createQueue('batch'), acceptedAt: 0, account, spec }, NOW, 0)
  for (let occurrence = 0; occurrence < OCCURRENCES; occurrence++) {
    for (const step of job.openOccurrence(occurrence, NOW)) {
      const { tasks } = step
      Object.defineProperty(step, 'tasks', { get: () => { reads.tasks++; return tasks } })
    }
  }
  return job
}

describe('orderSteps of jobs with many dependencies', () => {
  // Guards against rounds that go through all dependencies and tasks of a job for each of its steps: no owner lasted
  // until the end of its first one. Work is counted, since times depend on what else the machine does.
  for (const account of [undefined, 'one']) {
    it(`reads them once, and the tasks of an occurrence once, account ${account}`, () => {
      const steps = [...createJob(account).occurrences.values()].flat()
      const ready = steps.filter((step) => step.isReady())
      Object.assign(reads, { dependencies: 0, tasks: 0 })
      expect(orderSteps(ready, NOW)).to.have.lengthOf(OCCURRENCES * EARLIER)
      expect(reads.dependencies).to.be.at.most(2 * NAMED)
      expect(reads.tasks).to.be.at.most(3 * steps.length)
    })
  }

  it('counts the longest chain of steps once, however often a step is named', () => {
    const job = createJob()
    const [first] = job.occurrences.get(0)!
    expect(orderSteps([first!], NOW)[0]).to.include({ pathMs: 100 + job.expectedRunMs(EARLIER) })
  })
})
