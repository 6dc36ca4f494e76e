import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { RecordedState, type JournalRecord } from '@gypsumspring/core'
import { MemoryObjectStore, MemoryTable } from '@gypsumspring/standins'
import { pino } from 'pino'
import { Metrics } from '../../metrics/index.ts'
import { Journal, readShardState } from './index.ts'

const resources = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
const claim = (group: string): JournalRecord => ({ kind: 'claim', group, generation: 'x', team: 't', workload: 'batch' })
const intent = (attempt: number): JournalRecord =>
  ({ kind: 'intent', task: `g/${attempt}`, group: 'g', attempt, worker: 'w', resources, revision: 'r' })

describe('Journal', () => {
  let clock: Clock
  let table: MemoryTable
  let objects: MemoryObjectStore
  let lost: string[]
  let mayWrite: boolean

  const open = async (writer: string, epoch: number): Promise<Journal> => {
    const put = { kind: 'put' as const, key: 'shard/s', value: { epoch } }
    const { versions } = (await table.transact({ checks: [], writes: [put] })).unsafeCoerce()
    const record = (await readShardState('s', table, objects)).unsafeCoerce()
    return new Journal({
      ...record,
      ownership: { shard: 's', epoch, rowVersion: versions[0] ?? 0, ownedSince: 0 },
      writer,
      table,
      objects,
      flushMs: 100,
      configVersion: () => 1,
      mayWrite: () => mayWrite,
      onLost: (reason) => lost.push(`${writer} ${reason}`),
      log: pino({ level: 'silent' }),
      metrics: new Metrics()
    })
  }
  const read = async (): Promise<RecordedState> => (await readShardState('s', table, objects)).unsafeCoerce().state
  /** Appends records without waiting; the result is added to `results` later. */
  const append = (journal: Journal, records: JournalRecord[], results: string[] = []): string[] => {
    journal.append(records).then((result) => results.push(result), (error) => { throw error })
    return results
  }

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
    table = new MemoryTable()
    objects = new MemoryObjectStore()
    lost = []
    mayWrite = true
  })

  afterEach(() => clock.uninstall())

  it('writes at most one row in flushMs regardless of the number of transitions, or the store would be overloaded', async () => {
    const journal = await open('a', 1)
    append(journal, [claim('g')])
    const before = table.writeCount
    for (let ms = 1; ms <= 1_000; ms++) {
      append(journal, [intent(ms)])
      await clock.tickAsync(1)
    }
    await clock.tickAsync(200)
    expect((await read()).tasks.size).to.equal(1_000)
    expect(table.writeCount - before).to.be.within(10, 12)
  })

  it('rejects the write of an owner that was replaced, even when its row key is still free', async () => {
    const old = await open('a', 1)
    append(old, [claim('g')])
    await clock.tickAsync(200)
    await open('b', 2)
    const results = append(old, [intent(1)])
    await clock.tickAsync(5_000)
    expect({ results, lost }).to.deep.equal({ results: [], lost: ['a journal-conflict'] })
    expect((await read()).tasks.size).to.equal(0)
  })

  const outages = [
    { name: 'loses responses after the write took effect', faults: { loseAnswers: 1 } },
    { name: 'is down', faults: { down: true } },
    { name: 'is slow and loses responses', faults: { delayMs: 700, loseAnswers: 1 } }
  ]
  for (const { name, faults } of outages) {
    it(`resolves no append while the store ${name}, and records it once afterwards`, async () => {
      const journal = await open('a', 1)
      table.faults.set(faults)
      const results = append(journal, [claim('g'), intent(1)])
      await clock.tickAsync(30_000)
      expect({ results, failing: journal.failing }).to.deep.equal({ results: [], failing: true })
      table.faults.clear()
      await clock.tickAsync(5_000)
      expect({ results, failing: journal.failing, lost }).to.deep.equal({ results: ['recorded'], failing: false, lost: [] })
      expect((await read()).toSnapshot()).to.include({ sequence: 1, lastAttempt: 1 })
    })
  }

  it('writes nothing while the lease does not allow it', async () => {
    const journal = await open('a', 1)
    mayWrite = false
    const before = table.writeCount
    const results = append(journal, [claim('g')])
    await clock.tickAsync(10_000)
    expect({ results, writes: table.writeCount - before }).to.deep.equal({ results: [], writes: 0 })
    mayWrite = true
    await clock.tickAsync(3_000)
    expect(results).to.deep.equal(['recorded'])
  })

  it('refuses only the claim of a group that another shard holds, or two shards would run the group', async () => {
    const journal = await open('a', 1)
    const assigned = { kind: 'put' as const, key: 'assignment/g', value: { shard: 'other' } }
    await table.transact({ checks: [], writes: [assigned] })
    const results = append(journal, [claim('g')])
    append(journal, [claim('h')], results)
    await clock.tickAsync(2_000)
    expect(results).to.deep.equal(['refused', 'recorded'])
    expect([...(await read()).groups.keys()]).to.deep.equal(['h'])
  })

  it('replaces rows with snapshots without losing state, even when the object store fails in between', async () => {
    const journal = await open('a', 1)
    append(journal, [claim('g')])
    for (let attempt = 1; attempt <= 650; attempt++) {
      objects.faults.set({ down: attempt > 190 && attempt < 300 })
      append(journal, [intent(attempt)])
      await clock.tickAsync(100)
    }
    await clock.tickAsync(1_000)
    const rows = (await table.scan('journal/s/')).unsafeCoerce()
    expect(rows.length).to.be.below(201)
    const state = await read()
    expect({ tasks: state.tasks.size, groups: state.groups.size }).to.deep.equal({ tasks: 650, groups: 1 })
  })
})
