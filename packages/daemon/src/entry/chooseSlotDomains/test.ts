import { expect } from 'chai'
import { chooseSlotDomains } from './index.ts'

describe('chooseSlotDomains', () => {
  const cases = [
    { name: 'only the own domain while it has enough', own: 'b', domains: ['a', 'b', 'c'], shortSince: undefined, asked: ['b'] },
    { name: 'only the own domain in a short peak', own: 'b', domains: ['a', 'b', 'c'], shortSince: 901, asked: ['b'] },
    { name: 'the next domain after one period', own: 'b', domains: ['a', 'b', 'c'], shortSince: 900, asked: ['b', 'c'] },
    { name: 'all domains in a long shortage', own: 'b', domains: ['a', 'b', 'c'], shortSince: 0, asked: ['b', 'c', 'a'] },
    { name: 'another domain at once when the own one has no runner', own: 'x', domains: ['a', 'b'], shortSince: 1000, asked: ['x', 'a'] }
  ]
  for (const { name, own, domains, shortSince, asked } of cases) {
    it(`asks ${name}, so that entries are not registered where they need nothing`, () => {
      const demands = chooseSlotDomains(own, [{ endpoint: 'e', waiting: 2, failureDomains: domains, shortSince }], 1000)
      expect([...demands.keys()]).to.deep.equal(asked)
    })
  }
})
