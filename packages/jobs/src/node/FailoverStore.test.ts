import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { failureOf } from '@gypsumspring/protocol'
import { MemoryRecordStore, MemoryRows } from '../standins/index.ts'
import { FailoverStore } from './FailoverStore.ts'

const NO_METRICS = { count: () => {}, recordDuration: () => {}, set: () => {} }

describe('FailoverStore', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  it('abandons calls sent during an outage as soon as any later call is answered', async () => {
    const direct = new MemoryRecordStore(new MemoryRows())
    const store = new FailoverStore(direct, () => [], NO_METRICS)
    await clock.tickAsync(2_000)
    direct.fault = () => 'silent'
    const commit = store.commit({ partition: 'cell', expected: [], puts: [], removes: [] })
    await clock.tickAsync(500)
    direct.fault = () => undefined
    const read = store.readRow('control', 'cell', 'owner')
    await clock.tickAsync(10)
    expect((await read).isRight()).to.equal(true)
    let outcome: Awaited<typeof commit> | undefined
    commit.then((settled) => { outcome = settled }, () => {})
    await clock.tickAsync(0)
    expect(outcome === undefined ? undefined : failureOf(outcome)?.certainty).to.equal('unknown')
  })
})
