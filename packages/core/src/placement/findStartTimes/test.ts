import { expect } from 'chai'
import { findStartTimes } from './index.ts'

const cores = (count: number): Parameters<typeof findStartTimes>[0] =>
  ({ cpuMillis: 1000 * count, memoryMb: 0, accelerators: 0 })

describe('findStartTimes', () => {
  // Guards against reservations that start too early, or that rely on the end of a service.
  const cases = [
    { name: 'uses capacity that is free now', free: 2, need: 1, ends: [], limit: 5, expected: [10, 10] },
    { name: 'adds up several ends for one task', free: 0, need: 3, ends: [[30, 1], [20, 1], [40, 2]], limit: 5, expected: [40] },
    { name: 'returns no more times than the limit', free: 9, need: 1, ends: [[20, 1]], limit: 2, expected: [10, 10] },
    { name: 'fills up negative free capacity first', free: -2, need: 1, ends: [[20, 2], [30, 1]], limit: 2, expected: [30] },
    { name: 'never counts on the end of a service', free: 0, need: 1, ends: [[Infinity, 4]], limit: 2, expected: [] }
  ] as const
  for (const { name, free, need, ends, limit, expected } of cases) {
    it(name, () => {
      const list = ends.map(([endsAt, count]) => ({ endsAt, resources: cores(count) }))
      expect(findStartTimes(cores(free), cores(need), list, limit, 10)).to.deep.equal(expected)
    })
  }
})
