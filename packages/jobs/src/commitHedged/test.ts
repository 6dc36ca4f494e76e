import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { MemoryRecordStore, MemoryRows, type StoreFault } from '../standins/index.ts'
import type { Commit } from '../ports.ts'
import { commitHedged } from './index.ts'
import { PendingCopies } from './PendingCopies.ts'

const commit: Commit = { partition: 'p0', expected: [{ table: 't', key: 'k', version: 0 }], puts: [], removes: [] }
const elsewhere: Commit = { ...commit, partition: 'p1' }
const conflicting: Commit = { ...elsewhere, expected: [{ table: 't', key: 'k', version: 5 }] }

describe('commitHedged', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  const cases: Array<{
    name: string,
    /** Faults of the first calls, or of all calls. */
    faults: StoreFault[] | StoreFault,
    commits?: Commit[],
    withinMs: number,
    expected: { isRight: boolean, calls: number }
    /** Whether the store may have applied a copy, or may still do so. Default: it may. */
    mayApply?: boolean
  }> = [
    {
      name: 'sends one copy while the store answers',
      faults: [],
      withinMs: 50,
      expected: { isRight: true, calls: 1 }
    },
    {
      // Three lost answers in a row made a commit wait for the timeout of the first copy, up to 3 s.
      name: 'goes on sending copies after three lost answers',
      faults: ['lost', 'late', 'lost'],
      withinMs: 1_000,
      expected: { isRight: true, calls: 4 }
    },
    {
      name: 'sends few copies to a store that answers nothing',
      faults: 'silent',
      withinMs: 4_000,
      expected: { isRight: false, calls: 5 }
    },
    {
      name: 'tries the next partition at once when one is out of service',
      faults: ['refused'],
      commits: [commit, elsewhere],
      withinMs: 20,
      expected: { isRight: true, calls: 2 }
    },
    {
      name: 'gives up when all partitions are out of service',
      faults: 'refused',
      commits: [commit, elsewhere],
      withinMs: 20,
      expected: { isRight: false, calls: 2 },
      mayApply: false
    },
    {
      name: 'reports nothing pending after a conflict',
      faults: [],
      commits: [conflicting],
      withinMs: 20,
      expected: { isRight: true, calls: 1 },
      mayApply: false
    },
    {
      // The conflict was taken for the end of all copies: a job was refused, and stored later.
      name: 'reports a copy that is unanswered when another one meets a conflict',
      faults: ['late'],
      commits: [commit, conflicting],
      withinMs: 100,
      expected: { isRight: true, calls: 2 }
    }
  ]
  for (const { name, faults, commits = [commit], withinMs, expected, mayApply = true } of cases) {
    it(name, async () => {
      const store = new MemoryRecordStore(new MemoryRows())
      let calls = 0
      store.fault = () => Array.isArray(faults) ? faults[calls++] : (calls++, faults)
      let isRight: boolean | undefined
      const copies = new PendingCopies()
      commitHedged(store, commits, copies).then((outcome) => { isRight = outcome.isRight() }, () => {})
      await clock.tickAsync(withinMs)
      expect({ isRight, calls }).to.deep.equal(expected)
      expect(copies.mayApply).to.equal(mayApply)
    })
  }

  it('sends copies without growing delays once answers were found to be lost', async () => {
    const store = new MemoryRecordStore(new MemoryRows())
    const faults: StoreFault[] = ['lost', undefined, 'lost', 'lost', 'lost', 'lost', 'lost', undefined]
    store.fault = () => faults.shift()
    const first = commitHedged(store, [commit])
    await clock.tickAsync(100)
    expect((await first).isRight()).to.equal(true)
    let isRight: boolean | undefined
    commitHedged(store, [commit]).then((outcome) => { isRight = outcome.isRight() }, () => {})
    await clock.tickAsync(400)
    expect(isRight).to.equal(true)
  })

  it('does not take the faster answer of another partition for a lost one', async () => {
    const store = new MemoryRecordStore(new MemoryRows())
    store.fault = (_call, partition) => partition === 'p0' ? 'silent' : undefined
    const first = commitHedged(store, [commit, elsewhere])
    await clock.tickAsync(200)
    expect((await first).isRight()).to.equal(true)
    let calls = 0
    store.fault = () => {
      calls++
      return 'silent'
    }
    commitHedged(store, [commit]).catch(() => {})
    await clock.tickAsync(1_400)
    expect(calls).to.be.at.most(5)
  })
})
