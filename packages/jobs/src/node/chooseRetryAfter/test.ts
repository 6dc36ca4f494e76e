import { expect } from 'chai'
import { chooseRetryAfter } from './index.ts'

describe('chooseRetryAfter', () => {
  const cases: Array<{ name: string, outageMs: number, expected: number }> = [
    { name: 'asks for the shortest delay without an outage', outageMs: 0, expected: 1 },
    { name: 'asks for the shortest delay at the beginning of an outage', outageMs: 1_900, expected: 1 },
    { name: 'asks for half of the duration of a longer outage', outageMs: 4_200, expected: 3 },
    { name: 'limits the delay', outageMs: 600_000, expected: 10 }
  ]
  for (const { name, outageMs, expected } of cases) {
    it(name, () => expect(chooseRetryAfter(outageMs)).to.equal(expected))
  }

  // With one second each time, all attempts of a caller ended within 3 s, before an outage of 4 s was over.
  it('lets five attempts last through an outage of five seconds', () => {
    let outageMs = 900
    for (let attempt = 1; attempt < 5; attempt++) outageMs += 1000 * chooseRetryAfter(outageMs)
    expect(outageMs).to.be.at.least(5_000)
  })
})
