import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { Notifier } from './Notifier.ts'

describe('Notifier', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  it('resolves all waiters on the next event, and each waiter at the latest after its timeout', async () => {
    const notifier = new Notifier()
    const ended: string[] = []
    const wait = (name: string, waitMs: number) => { notifier.wait(waitMs).then(() => ended.push(name), () => {}) }
    wait('short', 100)
    wait('long', 1_000)
    wait('longer', 2_000)
    await clock.tickAsync(100)
    expect(ended).to.deep.equal(['short'])
    notifier.notifyAll()
    await clock.tickAsync(0)
    expect(ended).to.deep.equal(['short', 'long', 'longer'])
    expect(clock.countTimers()).to.equal(0)
  })
})
