import { expect } from 'chai'
import { computeLossTime } from '../computeLossTime/index.ts'
import { isLeaseExpired } from '../isLeaseExpired/index.ts'
import { getLeaseRight } from './index.ts'

const durations = { shardLeaseMs: 10_000, runHorizonMs: 1_800_000, taskLeaseMs: 30_000 }

describe('lease arithmetic', () => {
  const cases = [
    { age: 0, right: 'decide' }, { age: 9_999, right: 'decide' },
    { age: 10_000, right: 'sustain' }, { age: 1_799_999, right: 'sustain' },
    { age: 1_800_000, right: 'none' }
  ]
  for (const { age, right } of cases) {
    it(`gives the owner "${right}" ${age} ms after its renewal, so that it never decides on an expired lease`, () => {
      expect(getLeaseRight(5, 5 + age, durations)).to.equal(right)
    })
  }

  it('never lets a candidate take over while the owner may decide, at the maximum clock drift', () => {
    // The worst case that the margin covers: the owner's clock is 1% slow, the candidate's 1% fast.
    for (let trueMs = 0; trueMs < 11_000; trueMs += 7) {
      const owner = getLeaseRight(0, trueMs * 0.99, durations)
      if (isLeaseExpired(0, trueMs * 1.01, durations.shardLeaseMs)) expect(owner).to.not.equal('decide')
    }
  })

  it('waits for a task lease after the last contact, and for the run horizon in addition if there was none', () => {
    expect(computeLossTime({ ownedSince: 1_000 }, durations)).to.equal(1_000 + 1_830_000 * 1.03)
    expect(computeLossTime({ ownedSince: 1_000, lastContactAt: 5_000 }, durations)).to.equal(5_000 + 30_900)
  })
})
