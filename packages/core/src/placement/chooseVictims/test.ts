import { expect } from 'chai'
import type { Victim } from '../types.ts'
import { chooseVictims } from './index.ts'

const cores = (count: number): Victim['resources'] => ({ cpuMillis: 1000 * count, memoryMb: 0, accelerators: 0 })
const buildVictim = (id: string, count: number, cost: number): Victim =>
  ({ task: { id } as Victim['task'], resources: cores(count), cost })

describe('chooseVictims', () => {
  // Guards against stopping more tasks than needed, or expensive ones where cheaper ones suffice.
  const cases = [
    { name: 'the cheapest single task that suffices', missing: 2, victims: [['a', 4, 1], ['b', 2, 3], ['c', 1, 0]], expected: ['a'] },
    { name: 'few large tasks rather than many cheap small ones', missing: 4, victims: [['a', 1, 0], ['b', 1, 0], ['c', 3, 9], ['d', 2, 9]], expected: ['c', 'd'] },
    { name: 'no task that the others make unnecessary', missing: 4, victims: [['a', 3, 5], ['b', 2, 1], ['c', 2, 2]], expected: ['a', 'b'] },
    { name: 'none when all together do not suffice', missing: 9, victims: [['a', 4, 1], ['b', 4, 1]], expected: undefined },
    { name: 'none when there is no candidate', missing: 1, victims: [], expected: undefined }
  ] as const
  for (const { name, missing, victims, expected } of cases) {
    it(`chooses ${name}`, () => {
      const chosen = chooseVictims(cores(missing), victims.map(([id, count, cost]) => buildVictim(id, count, cost)))
      expect(chosen?.map(({ task }) => task.id)).to.deep.equal(expected)
    })
  }
})
