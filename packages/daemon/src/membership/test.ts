import FakeTimers from '@sinonjs/fake-timers'
import { expect } from 'chai'
import type { Machine } from '@gypsumspring/adapters'
import { done, type Member } from '@gypsumspring/protocol'
import { createLogger } from '../logging/index.ts'
import { Metrics } from '../metrics/index.ts'
import type { Peers } from '../types.ts'
import { GossipMembership, MemberTable } from './index.ts'

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

describe('GossipMembership', () => {
  const vm = (id: string, fields: Partial<Machine> = {}): Machine =>
    ({ id, kind: 'entry', failureDomain: 'a', rack: 'r', address: `${id}:7101`, state: 'live', ...fields })

  /** Creates the membership of process `self:7101` with a list of VMs; peers answer with no members. */
  function createMembership (machines: Machine[]) {
    const called: string[] = []
    const call = async (address: string) => {
      called.push(address)
      return done({ configVersion: 1, members: [] })
    }
    const membership = new GossipMembership({
      id: 'self',
      self: () => member('self', 0, { address: 'self:7101' }),
      inventory: { list: async () => done(machines) },
      peers: { call } as unknown as Peers,
      metrics: new Metrics(),
      log: createLogger({ id: 'self', logLevel: 'error' }),
      peerPorts: '7101,7102',
      exchangeMs: 1_000,
      inventoryMs: 2_000,
      memberTimeoutMs: 10_000,
      onPeerVersion: () => {}
    })
    return { membership, called }
  }

  // Guards against peers that are missed or called twice, and against a call to the process itself.
  it('contacts every port of every entry VM and every other known member once', async () => {
    const { membership, called } = createMembership([vm('self'), vm('b'), vm('w', { kind: 'worker' })])
    membership.receiveExchange({ from: 'b', configVersion: 1, members: [member('c', 0), member('b', 0, { address: 'b:7102' })] })
    await membership.discover()
    expect(called.sort()).to.deep.equal(['b:7101', 'b:7102', 'c:1', 'self:7102'])
  })

  // Guards against a process that gets new work although the platform already removes its VM.
  it('lists a member as leaving while the last inventory lists its entry VM as leaving', async () => {
    const machines = [vm('b', { state: 'leaving' }), vm('c', { kind: 'worker', state: 'leaving' }), vm('d')]
    const { membership } = createMembership(machines)
    membership.receiveExchange({ from: 'b', configVersion: 1, members: ['b', 'c', 'd'].map((id) => member(id, 0)) })
    const listLeaving = () => membership.members().filter(({ leaving }) => leaving).map(({ id }) => id)
    await membership.discover()
    expect(listLeaving()).to.deep.equal(['b'])
    machines.splice(0, machines.length, vm('b'), vm('d', { state: 'leaving' }))
    await membership.discover()
    expect(listLeaving()).to.deep.equal(['d'])
  })

  // Guards against work of an idle process that grows with members times machines: it searched all VMs per member.
  it('goes through the inventory once per reading, however often members are listed', async () => {
    let reads = 0
    const workers = Array.from({ length: 100 }, (_value, index) => vm(`w${index}`, { kind: 'worker' }))
    const machines = workers.map((worker) => new Proxy(worker, {
      get: (target, field) => {
        reads++
        return Reflect.get(target, field)
      }
    }))
    const clock = FakeTimers.install()
    try {
      const { membership, called } = createMembership(machines)
      const members = Array.from({ length: 20 }, (_value, index) => member(`m${index}`, 0))
      membership.receiveExchange({ from: 'm0', configVersion: 1, members })
      membership.start()
      await clock.tickAsync(10_000)
      membership.stop()
      expect(called).to.have.length(20)
      // Five readings of the inventory in 10 s, and one field of each machine in each.
      expect(reads).to.equal(5 * machines.length)
    } finally {
      clock.uninstall()
    }
  })
})
