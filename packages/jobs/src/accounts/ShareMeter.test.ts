import { expect } from 'chai'
import fc from 'fast-check'
import { TrackedJob } from '../model/index.ts'
import { createQueue, createStep } from '../standins/index.ts'
import { ShareMeter } from './ShareMeter.ts'

/** Monotonic time of the tests, in ms. */
const NOW = 100_000

/** Creates a job of the account `one` that was accepted at a monotonic time. */
function createJob (id: string, acceptedAt: number): TrackedJob {
  const spec = { payload: '', steps: [createStep({})], occurrences: 0, firstRunAt: 0, intervalMs: 0 }
  return new TrackedJob({ id, queue: createQueue('batch'), account: 'one', acceptedAt: 0, spec }, acceptedAt, 0)
}

/** Meters jobs in the given order and returns the ids of those beyond the share. */
function listBeyond (weight: number | undefined, jobs: readonly TrackedJob[]): string[] {
  const meter = new ShareMeter(() => weight)
  for (const job of jobs) meter.add(job, NOW)
  return jobs.filter(({ beyondShare }) => beyondShare).map(({ id }) => id)
}

// Guards against accounts that take the room of others with a burst, and against owners that disagree on the burst.
describe('ShareMeter', () => {
  const every = (intervalMs: number, count: number, from = NOW - 5_000) =>
    Array.from({ length: count }, (_, index) => createJob(`j${index}`, from + index * intervalMs))
  const cases: Array<{
    name: string, weight: number | undefined, jobs: TrackedJob[], beyond: string[]
  }> = [
    { name: 'a steady account at its rate', weight: 4, jobs: every(250, 20), beyond: [] },
    { name: 'a burst of one second after a pause', weight: 4, jobs: every(0, 4), beyond: [] },
    { name: 'a burst of more than one second', weight: 4, jobs: every(0, 6), beyond: ['j4', 'j5'] },
    { name: 'an account at twice its rate', weight: 1, jobs: every(500, 5), beyond: ['j1', 'j3'] },
    { name: 'a weight of less than one job a second', weight: 0.5, jobs: every(1_000, 4), beyond: ['j1', 'j3'] },
    { name: 'an account with a weight of 0', weight: 0, jobs: every(1_000, 2), beyond: ['j0', 'j1'] },
    { name: 'an account that the owner does not know yet', weight: undefined, jobs: every(0, 9), beyond: [] }
  ]
  for (const { name, weight, jobs, beyond } of cases) {
    it(`meters ${name}`, () => { expect(listBeyond(weight, jobs)).to.deep.equal(beyond) })
  }

  it('leaves jobs without an account within the share', () => {
    const jobs = every(0, 3)
    for (const { definition } of jobs) definition.account = undefined
    expect(listBeyond(1, jobs)).to.deep.equal([])
  })

  // All jobs seem to be old then, and would gain no share until the time of the clock was made up.
  it('goes on when the clock of the owner is set ahead by an hour', () => {
    const meter = new ShareMeter(() => 2)
    meter.add(createJob('before', NOW), NOW)
    for (let now = NOW + 15_000; now < NOW + 25_000; now += 500) {
      const job = createJob(`j${now}`, now - 600_000)
      meter.add(job, now)
      expect(job.beyondShare, job.id).to.equal(false)
    }
  })

  it('finds the same jobs beyond the share in whatever order the owner learns of them', () => {
    const arrivals = fc.array(fc.record({ at: fc.integer({ min: NOW - 9_000, max: NOW }), key: fc.nat(100) }),
      { maxLength: 40 })
    fc.assert(fc.property(arrivals, fc.integer({ min: 1, max: 5 }), (jobs, weight) => {
      const create = () => jobs.map(({ at, key }, index) => (
        { job: createJob(`j${String(index).padStart(2, '0')}`, at), key }))
      const inOrder = create().map(({ job }) => job)
      const shuffled = create().sort((a, b) => a.key - b.key).map(({ job }) => job)
      const restored = create().map(({ job }) => job)
      new ShareMeter(() => weight).restore(restored, NOW)
      const beyond = listBeyond(weight, inOrder)
      expect(listBeyond(weight, shuffled).sort()).to.deep.equal(beyond)
      expect(restored.filter(({ beyondShare }) => beyondShare).map(({ id }) => id)).to.deep.equal(beyond)
    }))
  })

  it('lets at most the weight, for the time and one second more, be within the share', () => {
    fc.assert(fc.property(fc.array(fc.nat(8_000), { maxLength: 60 }), fc.integer({ min: 1, max: 5 }), (at, weight) => {
      const jobs = at.sort((a, b) => a - b).map((time, index) => createJob(`j${index}`, NOW - 8_000 + time))
      const within = jobs.length - listBeyond(weight, jobs).length
      const spanMs = (at.at(-1) ?? 0) - (at[0] ?? 0)
      expect(within).to.be.at.most(Math.floor(weight * (1 + spanMs / 1_000) + 1e-6))
    }))
  })
})
