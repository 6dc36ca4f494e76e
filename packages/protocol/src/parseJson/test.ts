import { expect } from 'chai'
import { parseJson } from './index.ts'

describe('parseJson', () => {
  const cases: Array<[string, string | Uint8Array, unknown]> = [
    ['text', '{"a":1}', { a: 1 }],
    ['bytes', Buffer.from('[null]'), [null]],
    ['a cut-off text', '{"a":', undefined],
    ['nothing', '', undefined]
  ]
  for (const [name, source, expected] of cases) {
    it(`reads ${name}`, () => { expect(parseJson(source)).to.deep.equal(expected) })
  }
})
