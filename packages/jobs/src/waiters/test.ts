import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { Waiters } from './Waiters.ts'

describe('Waiters', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  it('lets all go on with the next event, or each one when its time is over', async () => {
    const waiters = new Waiters()
    const ended: string[] = []
    const wait = (name: string, waitMs: number) => { waiters.next(waitMs).then(() => ended.push(name), () => {}) }
    wait('short', 100)
    wait('long', 1_000)
    wait('longer', 2_000)
    await clock.tickAsync(100)
    expect(ended).to.deep.equal(['short'])
    waiters.wake()
    await clock.tickAsync(0)
    expect(ended).to.deep.equal(['short', 'long', 'longer'])
    expect(clock.countTimers()).to.equal(0)
  })
})
