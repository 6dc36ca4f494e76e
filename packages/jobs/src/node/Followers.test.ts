import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { notDone } from '@gypsumspring/protocol'
import { Followers, MAX_RELAYS } from './Followers.ts'

const peer = { address: '', call: async () => notDone('closed', 'no node answers in this test') }

function createFollowers (count: number, hasStore: (index: number) => boolean = () => true): Followers {
  const followers = new Followers()
  for (let index = 0; index < count; index++) {
    const node = `n${index}`
    const weakness = index % 10 / 10
    const heartbeat = { node, address: node, uptimeMs: 0, resigned: false, hasStore: hasStore(index), weakness }
    followers.recordHeartbeat(heartbeat, { ...peer, address: node })
  }
  return followers
}

describe('Followers', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  const cases = [
    { name: 'all of a few followers', count: 5, hasStore: () => true, expected: 5 },
    // Each of 97 followers got the addresses of all others four times a second.
    { name: 'a limited number of many', count: 300, hasStore: () => true, expected: MAX_RELAYS },
    { name: 'those of many that reach the store', count: 300, hasStore: (index: number) => index < 7, expected: 7 }
  ]
  for (const { name, count, hasStore, expected } of cases) {
    it(`lists ${name} as relays, the strongest first`, () => {
      const relays = createFollowers(count, hasStore).listRelays()
      expect(relays).to.have.length(expected)
      expect(relays.every(({ hasStore: reachesStore }) => reachesStore)).to.equal(true)
      expect(relays.map(({ weakness }) => weakness)).to.deep.equal(relays.map(({ weakness }) => weakness).sort())
    })
  }

  it('lists no relay that has lost the store a quarter of a second ago', () => {
    const followers = createFollowers(1)
    expect(followers.listRelays()).to.have.length(1)
    const { node, ...state } = followers.list()[0]!
    followers.recordHeartbeat({ ...state, node, address: node, hasStore: false }, state.peer)
    clock.tick(250)
    expect(followers.listRelays()).to.have.length(0)
  })
})
