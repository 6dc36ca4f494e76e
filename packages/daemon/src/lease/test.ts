import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import type { Table, Transaction } from '@gypsumspring/adapters'
import { MemoryTable } from '@gypsumspring/standins'
import { pino } from 'pino'
import { Metrics } from '../metrics/index.ts'
import { Lease } from './index.ts'

const terms = { shardLeaseMs: 10_000, runHorizonMs: 60_000 }

describe('Lease', () => {
  let clock: Clock
  let table: MemoryTable
  let events: string[]
  let leases: Lease[]

  const compete = (owner: string, rank = 0, through: Table = table): Lease => {
    const lease = new Lease({
      shard: 's',
      owner,
      writer: `${owner}-1`,
      address: () => '',
      table: through,
      terms,
      rank: () => rank,
      onGained: ({ epoch }) => events.push(`${owner} gains ${epoch}`),
      onLost: () => events.push(`${owner} loses`),
      log: pino({ level: 'silent' }),
      metrics: new Metrics()
    })
    lease.start()
    leases.push(lease)
    return lease
  }

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
    table = new MemoryTable()
    events = []
    leases = []
  })

  afterEach(() => clock.uninstall())

  it('lets one of two candidates win that write at the same moment, or two owners would decide', async () => {
    table.faults.set({ delayMs: 50 })
    const [a, b] = [compete('a'), compete('b')]
    await clock.tickAsync(30_000)
    expect(events).to.deep.equal(['a gains 1'])
    expect([a.right(), b.right()]).to.deep.equal(['decide', 'none'])
  })

  it('never lets two processes decide at once while the owner is cut off and the shard changes hands', async () => {
    const a = compete('a')
    await clock.tickAsync(1_000)
    const b = compete('b')
    // The renewals of the owner fail from now on; the calls of the candidate do not.
    const transact = table.transact.bind(table)
    table.transact = async (transaction) => {
      const renewsFirstEpoch = transaction.checks.length === 1 && JSON.stringify(transaction.writes).includes('"epoch":1')
      if (renewsFirstEpoch) table.faults.set({ down: true })
      const outcome = await transact(transaction)
      table.faults.clear()
      return outcome
    }
    let overlap = 0
    for (let ms = 0; ms < 30_000; ms += 50) {
      await clock.tickAsync(50)
      if (a.right() === 'decide' && b.right() === 'decide') overlap++
    }
    expect(overlap).to.equal(0)
    expect(events).to.deep.equal(['a gains 1', 'b gains 2'])
    expect(a.right()).to.equal('sustain')
    table.transact = transact
    await clock.tickAsync(1_000)
    expect(events.at(-1)).to.equal('a loses')
  })

  it('loses against a renewal that arrives while the takeover is on its way', async () => {
    const a = compete('a')
    await clock.tickAsync(1_000)
    /** Takes a second for each write. */
    const slow = Object.assign(Object.create(table) as MemoryTable, {
      read: table.read.bind(table),
      transact: async (transaction: Transaction) => {
        table.faults.clear()
        await new Promise((resolve) => setTimeout(resolve, 1_000))
        return await table.transact(transaction)
      }
    })
    compete('b', 0, slow)
    await clock.tickAsync(3_000)
    // The owner does not reach the table until the candidate begins to take over.
    const read = table.read.bind(table)
    slow.read = async (key) => {
      table.faults.clear()
      const row = await read(key)
      table.faults.set({ down: true })
      return row
    }
    table.faults.set({ down: true })
    await clock.tickAsync(14_000)
    expect(events).to.deep.equal(['a gains 1'])
    expect(a.right()).to.equal('decide')
  })

  it('keeps the shard over an outage and decides again afterwards, since nobody can have taken it', async () => {
    const a = compete('a')
    await clock.tickAsync(1_000)
    table.faults.set({ down: true })
    await clock.tickAsync(20_000)
    expect(a.right()).to.equal('sustain')
    await clock.tickAsync(50_000)
    expect(a.right(), 'after H').to.equal('none')
    table.faults.clear()
    await clock.tickAsync(1_000)
    expect(a.right()).to.equal('decide')
    expect(events).to.deep.equal(['a gains 1'])
  })

  it('finds a takeover whose answer was lost, or the shard would have an owner that does not know it', async () => {
    table.faults.set({ loseAnswers: 1 })
    const a = compete('a')
    const read = table.read.bind(table)
    table.read = async (key) => {
      table.faults.set({ loseAnswers: 0 })
      const outcome = await read(key)
      table.faults.set({ loseAnswers: 1 })
      return outcome
    }
    await clock.tickAsync(5_000)
    expect(events).to.deep.equal(['a gains 1'])
    expect(a.right(), 'no renewal was confirmed').to.equal('none')
    table.faults.clear()
    table.read = read
    await clock.tickAsync(5_000)
    expect(a.right()).to.equal('decide')
  })

  it('hands a released shard over without waiting for the lease', async () => {
    const a = compete('a')
    await clock.tickAsync(1_000)
    compete('b')
    await clock.tickAsync(1_000)
    await a.close()
    await clock.tickAsync(3_500)
    expect(events).to.deep.equal(['a gains 1', 'a loses', 'b gains 2'])
  })

  it('takes over behind a candidate of better rank only when that one does not', async () => {
    compete('a', 1)
    await clock.tickAsync(2_000)
    expect(events).to.deep.equal([])
    await clock.tickAsync(5_000)
    expect(events).to.deep.equal(['a gains 1'])
  })
})
