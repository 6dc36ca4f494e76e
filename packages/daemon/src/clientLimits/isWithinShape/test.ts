import { expect } from 'chai'
import fc from 'fast-check'
import { isWithinShape } from './index.ts'

const LIMITS = { maxDepth: 4, maxValues: 10, maxContainers: 5 }

function countShape (value: unknown): { depth: number, values: number, containers: number } {
  if (typeof value !== 'object' || value === null) return { depth: 0, values: 0, containers: 0 }
  const children = Object.values(value)
  return children.map(countShape).reduce((sum, child) => ({
    depth: Math.max(sum.depth, child.depth + 1),
    values: sum.values + child.values,
    containers: sum.containers + child.containers
  }), { depth: 1, values: Math.max(1, children.length), containers: 1 })
}

describe('isWithinShape', () => {
  const cases = [
    { name: 'commas and braces in strings', text: `{"a":"${'{[,'.repeat(20)}"}`, expected: true },
    { name: 'an escaped quote before commas', text: `{"a":"\\"${','.repeat(20)}"}`, expected: true },
    { name: 'an escaped backslash before the end of a string', text: `["\\\\"${',1'.repeat(20)}]`, expected: false },
    { name: 'too many values', text: `[${'1,'.repeat(11)}1]`, expected: false },
    { name: 'too deep nesting', text: '[[[[[', expected: false },
    { name: 'too many containers', text: '[{},{},{},{},{}]', expected: false },
    { name: 'a string that does not end', text: '["', expected: true }
  ]
  for (const { name, text, expected } of cases) {
    it(`${expected ? 'allows' : 'refuses'} ${name}`, () => {
      expect(isWithinShape(Buffer.from(text), LIMITS)).to.equal(expected)
    })
  }

  // Guards against texts whose strings hide structure from the count or add to it.
  it('agrees with a count of the parsed values for any JSON text', () => {
    fc.assert(fc.property(fc.json({ maxDepth: 6 }), (text) => {
      const { depth, values, containers } = countShape(JSON.parse(text))
      const expected = depth <= LIMITS.maxDepth && values <= LIMITS.maxValues && containers <= LIMITS.maxContainers
      // Keys that occur twice are parsed as one, so that the count of the text may be higher.
      expect(isWithinShape(Buffer.from(text), LIMITS)).to.equal(expected)
    }), { seed: 4, numRuns: 500 })
  })
})
