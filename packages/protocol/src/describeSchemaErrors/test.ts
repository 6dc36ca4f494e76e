import { Type } from '@sinclair/typebox'
import { expect } from 'chai'
import { parseJson } from '../parseJson/index.ts'
import { describeSchemaErrors } from './index.ts'

const DEPTH = 100_000

// The description of a deeply nested value ended with a stack overflow.
describe('describeSchemaErrors', () => {
  const cases = [
    { name: 'a text', value: { a: 'x' }, described: '"x"' },
    { name: 'a missing value', value: {}, described: 'nothing' },
    { name: 'a list', value: { a: [1, ['x']] }, described: '[1,["x"]]' },
    { name: 'deeply nested lists', value: parseJson(`{"a":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}}`), described: 'a deeply nested value' },
    { name: 'deeply nested objects', value: parseJson(`{"a":${'{"b":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}}`), described: 'a deeply nested value' }
  ]
  for (const { name, value, described } of cases) {
    it(`describes ${name}`, () => {
      const violations = describeSchemaErrors(Type.Object({ a: Type.Integer() }), value, { limit: 1 })
      expect(violations.map((violation) => violation.value)).to.deep.equal([described])
    })
  }
})
