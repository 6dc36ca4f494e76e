import { expect } from 'chai'
import { parseCallerHeaders } from './index.ts'

const valid = { 'gs-team': 'demo', 'x-request-id': 'r-1' }

describe('parseCallerHeaders', () => {
  it('derives repeatability from the method unless a header sets it', () => {
    const repeatable = (method: string, headers = {}) =>
      parseCallerHeaders(method, { ...valid, ...headers }).unsafeCoerce().repeatable
    expect(['GET', 'HEAD', 'POST', 'PUT'].map((method) => repeatable(method))).to.deep.equal([true, true, false, false])
    expect(repeatable('POST', { 'gs-repeatable': 'true' })).to.equal(true)
    expect(repeatable('GET', { 'gs-repeatable': 'false' })).to.equal(false)
  })

  const cases = [
    { name: 'a missing team', headers: { 'gs-team': undefined }, path: 'gs-team', value: 'nothing' },
    { name: 'an unknown class', headers: { 'gs-class': 'vip' }, path: 'gs-class', value: '"vip"', allowed: 'one of "interactive", "normal", "bulk"' },
    { name: 'a deadline of 0', headers: { 'gs-deadline-ms': '0' }, path: 'gs-deadline-ms', value: '0' },
    { name: 'a deadline above the limit', headers: { 'gs-deadline-ms': '30001' }, path: 'gs-deadline-ms', value: '30001' },
    { name: 'a deadline in another notation', headers: { 'gs-deadline-ms': '1e3' }, path: 'gs-deadline-ms', value: '"1e3"' },
    { name: 'a doubled header', headers: { 'gs-repeatable': 'true, false' }, path: 'gs-repeatable', value: '"true, false"' },
    { name: 'a request id that would change the record key', headers: { 'x-request-id': 'a/b' }, path: 'x-request-id', value: '"a/b"' },
    { name: 'a non-repeatable request without an id', headers: { 'gs-repeatable': 'false', 'x-request-id': undefined }, path: 'x-request-id', value: 'nothing' },
    { name: 'a misspelt header', headers: { 'gs-deadline': '5' }, path: 'gs-deadline', value: '"5"', allowed: 'one of x-request-id, gs-team, gs-class, gs-deadline-ms, gs-attempt, gs-repeatable' }
  ]
  for (const { name, headers, ...expected } of cases) {
    it(`reports header, value and allowed values for ${name}`, () => {
      const violations = parseCallerHeaders('GET', { ...valid, ...headers }).swap().unsafeCoerce()
      expect(violations[0]).to.include(expected)
      expect(violations[0]?.allowed).to.not.equal('')
    })
  }
})
