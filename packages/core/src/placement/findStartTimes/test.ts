import { expect } from 'chai'
import { findStartTimes } from './index.ts'

const cores = (count: number): Parameters<typeof findStartTimes>[0] =>
  ({ cpuMillis: 1000 * count, memoryMb: 0, accelerators: 0 })

describe('findSlotTimes', () => {
  // Guards against reservations that start too early, or that count on a task that never ends.
  const cases = [
    { name: 'free room is there now', free: 2, need: 1, ends: [], limit: 5, expected: [10, 10] },
    { name: 'several ends add up to one slot', free: 0, need: 3, ends: [[30, 1], [20, 1], [40, 2]], limit: 5, expected: [40] },
    { name: 'no more slots than asked for', free: 9, need: 1, ends: [[20, 1]], limit: 2, expected: [10, 10] },
    { name: 'a debt to others is paid first', free: -2, need: 1, ends: [[20, 2], [30, 1]], limit: 2, expected: [30] },
    { name: 'a service never ends', free: 0, need: 1, ends: [[Infinity, 4]], limit: 2, expected: [] }
  ] as const
  for (const { name, free, need, ends, limit, expected } of cases) {
    it(name, () => {
      const list = ends.map(([endsAt, count]) => ({ endsAt, resources: cores(count) }))
      expect(findStartTimes(cores(free), cores(need), list, limit, 10)).to.deep.equal(expected)
    })
  }
})
