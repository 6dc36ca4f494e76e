import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import type { Table, Transaction } from '@gypsumspring/adapters'
import { MemoryTable } from '@gypsumspring/standins'
import { pino } from 'pino'
import { Metrics } from '../metrics/index.ts'
import { Lease } from './index.ts'

const durations = { shardLeaseMs: 10_000, runHorizonMs: 60_000 }

describe('Lease', () => {
  let clock: Clock
  let table: MemoryTable
  let events: string[]
  let leases: Lease[]

  const startCandidate = (owner: string, rank = 0, through: Table = table): Lease => {
    const lease = new Lease({
      shard: 's',
      owner,
      writer: `${owner}-1`,
      address: () => '',
      table: through,
      durations,
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

  it('lets only one of two candidates win that write at the same time, so that there are never two owners', async () => {
    table.faults.set({ delayMs: 50 })
    const [a, b] = [startCandidate('a'), startCandidate('b')]
    await clock.tickAsync(30_000)
    expect(events).to.deep.equal(['a gains 1'])
    expect([a.right(), b.right()]).to.deep.equal(['decide', 'none'])
  })

  it('never lets two processes decide at the same time when a candidate replaces an owner that cannot reach the table', async () => {
    const a = startCandidate('a')
    await clock.tickAsync(1_000)
    const b = startCandidate('b')
    // From here on, renewals by the owner fail, while calls by the candidate succeed.
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

  it('fails to take over when a renewal by the owner reaches the table before the takeover does', async () => {
    const a = startCandidate('a')
    await clock.tickAsync(1_000)
    /** Client of the same table whose writes take one second. */
    const slowTable = Object.assign(Object.create(table) as MemoryTable, {
      read: table.read.bind(table),
      transact: async (transaction: Transaction) => {
        table.faults.clear()
        await new Promise((resolve) => setTimeout(resolve, 1_000))
        return await table.transact(transaction)
      }
    })
    startCandidate('b', 0, slowTable)
    await clock.tickAsync(3_000)
    // Keeps the owner disconnected from the table until the candidate starts its takeover.
    const read = table.read.bind(table)
    slowTable.read = async (key) => {
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

  it('keeps the shard during a table outage and decides again afterwards, since nobody can have taken over', async () => {
    const a = startCandidate('a')
    await clock.tickAsync(1_000)
    table.faults.set({ down: true })
    await clock.tickAsync(20_000)
    expect(a.right()).to.equal('sustain')
    await clock.tickAsync(50_000)
    expect(a.right(), 'after runHorizonMs').to.equal('none')
    table.faults.clear()
    await clock.tickAsync(1_000)
    expect(a.right()).to.equal('decide')
    expect(events).to.deep.equal(['a gains 1'])
  })

  it('detects its own takeover after a lost response, or the shard would have an owner unaware of it', async () => {
    table.faults.set({ loseAnswers: 1 })
    const a = startCandidate('a')
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

  it('lets a candidate acquire a released shard before its lease expires', async () => {
    const a = startCandidate('a')
    await clock.tickAsync(1_000)
    startCandidate('b')
    await clock.tickAsync(1_000)
    await a.close()
    await clock.tickAsync(3_500)
    expect(events).to.deep.equal(['a gains 1', 'a loses', 'b gains 2'])
  })

  it('takes over as second in rank only after the first candidate has had time to do so', async () => {
    startCandidate('a', 1)
    await clock.tickAsync(2_000)
    expect(events).to.deep.equal([])
    await clock.tickAsync(5_000)
    expect(events).to.deep.equal(['a gains 1'])
  })
})
