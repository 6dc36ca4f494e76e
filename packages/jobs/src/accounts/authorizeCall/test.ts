import { expect } from 'chai'
import { AccountDirectory } from '../AccountDirectory/index.ts'
import { authorizeCall } from './index.ts'

const CAP = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
const accounts = new AccountDirectory([
  { name: 'one', keys: ['k1', 'shared'], weight: 1, cap: CAP },
  { name: 'two', keys: ['k2', 'shared'], weight: 1, cap: CAP },
  { name: 'none', keys: [], weight: 1, cap: CAP }
])

// Guards against calls that are served although their key is unknown or was withdrawn.
describe('authorizeCall', () => {
  const cases = [
    { name: 'a known key', credentials: ['Token k2'], outcome: 'two' },
    { name: 'the scheme in lower case', credentials: ['token k1'], outcome: 'one' },
    { name: 'a key of two accounts, which counts for the first', credentials: ['Token shared'], outcome: 'one' },
    { name: 'an unknown key', credentials: ['Token k3'], outcome: 'key-unknown' },
    { name: 'no key', credentials: [], outcome: 'key-missing' },
    { name: 'another scheme', credentials: ['Bearer k1'], outcome: 'key-malformed' },
    { name: 'a key without a scheme', credentials: ['k1'], outcome: 'key-malformed' },
    { name: 'two keys in one header', credentials: ['Token k1 k2'], outcome: 'key-malformed' },
    { name: 'a repeated header', credentials: ['Token k1', 'Token k1'], outcome: 'key-malformed' },
    { name: 'an empty header', credentials: [''], outcome: 'key-malformed' },
    { name: 'a key of 1 MB', credentials: [`Token ${'k'.repeat(1 << 20)}`], outcome: 'key-malformed' },
    { name: 'the name of a property of objects', credentials: ['Token __proto__'], outcome: 'key-unknown' },
    { name: 'a public queue without a key', isPublic: true, credentials: [], outcome: undefined },
    { name: 'a public queue with a known key', isPublic: true, credentials: ['Token k1'], outcome: 'one' },
    { name: 'a public queue with an unknown key', isPublic: true, credentials: ['Token k3'], outcome: 'key-unknown' }
  ]
  for (const { name, isPublic, credentials, outcome } of cases) {
    it(`decides on ${name}`, () => {
      const decision = authorizeCall(accounts, isPublic ?? false, credentials)
      expect(decision.kind === 'authorized' ? decision.account : decision.reason).to.equal(outcome)
    })
  }

  it('needs no key where the configuration has no accounts', () => {
    expect(authorizeCall(undefined, false, ['Token any'])).to.deep.equal({ kind: 'authorized', account: undefined })
  })

  it('admits nobody where all accounts were removed', () => {
    expect(authorizeCall(new AccountDirectory([]), false, ['Token k1']).kind).to.equal('unauthorized')
  })
})
