import { expect } from 'chai'
import type { Member } from '@gypsumspring/protocol'
import { MemberTable } from './index.ts'

function member (id: string, ageMs: number, fields: Partial<Member> = {}): Member {
  return {
    id,
    role: 'entry',
    failureDomain: 'a',
    address: `${id}:1`,
    incarnation: '1',
    leaving: false,
    configVersion: 1,
    ageMs,
    ...fields
  }
}

describe('MemberTable', () => {
  const cases = [
    { name: 'lists members in id order', merges: [[member('b', 0), member('a', 5)]], now: 10, ids: ['a', 'b'] },
    { name: 'never lists its own process', merges: [[member('self', 0)]], now: 10, ids: [] },
    { name: 'removes a member without new information within the timeout', merges: [[member('a', 0)]], now: 101, ids: [] },
    { name: 'adds the age that a received record already has', merges: [[member('a', 60)]], now: 50, ids: [] },
    { name: 'replaces older information by newer', merges: [[member('a', 0)], [member('a', 0, { leaving: true })]], now: 20, ids: ['a'], leaving: true },
    { name: 'ignores delayed gossip older than its own information', merges: [[member('a', 0, { leaving: true })], [member('a', 50)]], now: 20, ids: ['a'], leaving: true }
  ]
  for (const { name, merges, now, ids, leaving } of cases) {
    it(name, () => {
      const table = new MemberTable('self', 100)
      merges.forEach((members, index) => table.merge(members, index))
      const live = table.listLive(now)
      expect(live.map(({ id }) => id)).to.deep.equal(ids)
      if (leaving !== undefined) expect(live[0]?.leaving).to.equal(leaving)
    })
  }
})
