import { expect } from 'chai'
import fc from 'fast-check'
import { addScaled, fits, ZERO_RESOURCES } from '../placement/_lib/resources.ts'
import type { QuotaNeed } from '../types.ts'
import { planQuotaReturn } from '../planQuotaReturn/index.ts'
import { planQuotaClaim } from './index.ts'

const cores = (count: number) => ({ cpuMillis: 1000 * count, memoryMb: 1000 * count, accelerators: 0 })
const batch = (tasks: number): QuotaNeed => ({ resources: cores(1), tasks, allOrNothing: false })
const gang = (tasks: number): QuotaNeed => ({ resources: cores(1), tasks, allOrNothing: true })

describe('planQuotaClaim', () => {
  const cases = [
    { name: 'claims an eighth of what is left for a small need', own: 0, others: 0, used: 0, needs: [batch(1)], claim: 2 },
    { name: 'claims what is needed if that is more than an eighth', own: 0, others: 4, used: 0, needs: [batch(7)], claim: 7 },
    { name: 'claims all of the rest for a batch run that needs more', own: 2, others: 11, used: 2, needs: [batch(9)], claim: 5 },
    { name: 'claims nothing while it has enough', own: 4, others: 4, used: 2, needs: [batch(2)], claim: undefined },
    { name: 'claims no part of a gang', own: 0, others: 12, used: 0, needs: [gang(5)], claim: undefined },
    { name: 'claims for a batch run queued behind a gang that can not start', own: 0, others: 12, used: 0, needs: [gang(5), batch(3)], claim: 3 },
    { name: 'claims nothing while the claims exceed a lowered quota', own: 4, others: 16, used: 4, needs: [batch(1)], claim: undefined },
    { name: 'covers running tasks that have no claim yet', own: 0, others: 16, used: 3, needs: [batch(1)], claim: 3 }
  ]
  for (const { name, own, others, used, needs, claim } of cases) {
    it(name, () => {
      const claims = new Map([['a', cores(own)], ['b', cores(others)]])
      const plan = planQuotaClaim('a', cores(16), claims, { used: cores(used), reserved: ZERO_RESOURCES, needs })
      expect(plan.claim).to.deep.equal(claim === undefined ? undefined : cores(claim))
    })
  }

  it('keeps the sum of the claims within the quota and each claim at or above what is used', () => {
    // Guards against a claim that fits in one resource dimension and exceeds the quota in another.
    const amount = (max: number) => fc.record({
      cpuMillis: fc.nat(max), memoryMb: fc.nat(max), accelerators: fc.nat(max)
    })
    const need = fc.record({ resources: amount(20), tasks: fc.integer({ min: 1, max: 9 }), allOrNothing: fc.boolean() })
    const demand = fc.record({ used: amount(20), reserved: amount(10), needs: fc.array(need, { maxLength: 4 }) })
    const steps = fc.array(fc.record({ shard: fc.nat(2), demand, recent: amount(20) }), { minLength: 20 })
    fc.assert(fc.property(amount(100), steps, (quota, history) => {
      const claims = new Map([0, 1, 2].map((shard) => [String(shard), ZERO_RESOURCES]))
      for (const { shard, demand, recent } of history) {
        const own = claims.get(String(shard))!
        const within = { ...demand, used: fits(demand.used, own) ? demand.used : own }
        const plan = planQuotaClaim(String(shard), quota, claims, within)
        expect(plan.exceedsQuota).to.equal(false)
        claims.set(String(shard), plan.claim ?? planQuotaReturn(own, recent, within) ?? own)
        expect(fits(within.used, claims.get(String(shard))!)).to.equal(true)
        const sum = [...claims.values()].reduce((total, claim) => addScaled(total, claim, 1), ZERO_RESOURCES)
        expect(fits(sum, quota), JSON.stringify({ sum, quota })).to.equal(true)
      }
    }), { seed: 20261203, numRuns: 300 })
  })
})
