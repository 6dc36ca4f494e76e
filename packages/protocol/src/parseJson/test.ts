import { expect } from 'chai'
import { parseJson } from './index.ts'

describe('parseJson', () => {
  const cases: Array<[string, string | Uint8Array, unknown]> = [
    ['an object from text', '{"a":1}', { a: 1 }],
    ['an array from bytes', Buffer.from('[null]'), [null]],
    ['truncated JSON as undefined', '{"a":', undefined],
    ['empty text as undefined', '', undefined]
  ]
  for (const [name, source, expected] of cases) {
    it(`parses ${name}`, () => { expect(parseJson(source)).to.deep.equal(expected) })
  }
})
