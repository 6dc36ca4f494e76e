import { expect } from 'chai'
import { chooseSlotDomains } from './index.ts'

describe('chooseSlotDomains', () => {
  const cases = [
    { name: 'only its own domain without a shortage', own: 'b', domains: ['a', 'b', 'c'], shortSince: undefined, asked: ['b'] },
    { name: 'only its own domain during a short peak', own: 'b', domains: ['a', 'b', 'c'], shortSince: 901, asked: ['b'] },
    { name: 'the next domain after one period of shortage', own: 'b', domains: ['a', 'b', 'c'], shortSince: 900, asked: ['b', 'c'] },
    { name: 'all domains during a long shortage', own: 'b', domains: ['a', 'b', 'c'], shortSince: 0, asked: ['b', 'c', 'a'] },
    { name: 'another domain at once if its own has no runner', own: 'x', domains: ['a', 'b'], shortSince: 1000, asked: ['x', 'a'] }
  ]
  for (const { name, own, domains, shortSince, asked } of cases) {
    it(`asks ${name}, so that entries don't register with domains they don't need`, () => {
      const demands = chooseSlotDomains(own, [{ endpoint: 'e', waiting: 2, failureDomains: domains, shortageSince: shortSince }], 1000)
      expect([...demands.keys()]).to.deep.equal(asked)
    })
  }
})
