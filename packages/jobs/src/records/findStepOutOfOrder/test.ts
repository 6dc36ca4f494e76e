import { expect } from 'chai'
import { findStepOutOfOrder } from './index.ts'

describe('findStepOutOfOrder', () => {
  const cases = [
    { name: 'finds none in steps that wait for earlier ones', after: [[], [0], [0, 1]], expected: -1 },
    { name: 'finds none in a single step', after: [[]], expected: -1 },
    { name: 'finds a step that waits for itself', after: [[], [1]], expected: 1 },
    { name: 'finds a step that waits for a later one', after: [[1], []], expected: 0 },
    { name: 'finds a step that waits for one that does not exist', after: [[], [0], [7]], expected: 2 }
  ]
  for (const { name, after, expected } of cases) {
    it(name, () => { expect(findStepOutOfOrder(after.map((steps) => ({ after: steps })))).to.equal(expected) })
  }
})
