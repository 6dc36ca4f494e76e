import { expect } from 'chai'
import { chooseTakeoverDelay, computeWeakness } from './index.ts'

describe('chooseTakeoverDelay', () => {
  const strong = { processors: 1, linkMbps: 1000 }
  const cases = [
    { name: 'a small processor', machine: { processors: 0.3, linkMbps: 1000 }, weakness: 0.5 },
    { name: 'a slow link', machine: { processors: 1, linkMbps: 5 }, weakness: 0.9 },
    { name: 'a small processor and a slower link', machine: { processors: 0.3, linkMbps: 5 }, weakness: 0.9 },
    { name: 'a strong machine', machine: strong, weakness: 0 }
  ]
  for (const { name, machine, weakness } of cases) {
    it(`computes a weakness of ${weakness} for ${name}`, () => {
      expect(computeWeakness(machine)).to.be.closeTo(weakness, 1e-9)
    })
  }

  it('makes every strong node wait less than any weak one, whatever their names', () => {
    const nodes = Array.from({ length: 50 }, (_, index) => `n${index}`)
    const slowest = Math.max(...nodes.map((node) => chooseTakeoverDelay({ node, ...strong }, 7)))
    const fastest = Math.min(...nodes.map((node) => chooseTakeoverDelay({ node, processors: 0.3, linkMbps: 1000 }, 7)))
    expect(slowest).to.be.lessThan(fastest)
  })

  it('gives nodes with similar names different delays', () => {
    const nodes = Array.from({ length: 8 }, (_, index) => `n${index}`)
    const delays = new Set(nodes.map((node) => chooseTakeoverDelay({ node, ...strong }, 7)))
    expect(delays.size).to.equal(8)
  })
})
