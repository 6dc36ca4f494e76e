import { expect } from 'chai'
import { planQuotaReturn } from './index.ts'

const cores = (count: number) => ({ cpuMillis: 1000 * count, memoryMb: 1000 * count, accelerators: 0 })

describe('planQuotaReturn', () => {
  const cases = [
    { name: 'returns what was not used', claim: 8, recent: 3, used: 2, reserved: 0, next: 3 },
    { name: 'keeps what was used recently', claim: 8, recent: 8, used: 0, reserved: 0, next: undefined },
    { name: 'keeps what a reservation needs', claim: 8, recent: 0, used: 2, reserved: 4, next: 6 },
    { name: 'never falls below what the running tasks use', claim: 8, recent: 0, used: 7, reserved: 0, next: 7 },
    { name: 'does not raise the claim for a reservation', claim: 4, recent: 0, used: 2, reserved: 9, next: undefined }
  ]
  for (const { name, claim, recent, used, reserved, next } of cases) {
    it(name, () => {
      const demand = { used: cores(used), reserved: cores(reserved), needs: [] }
      const expected = next === undefined ? undefined : cores(next)
      expect(planQuotaReturn(cores(claim), cores(recent), demand)).to.deep.equal(expected)
    })
  }
})
