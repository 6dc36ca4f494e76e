import { expect } from 'chai'
import type { SlotAnswer } from '../types.ts'
import { createSlotHolder } from './index.ts'

const grant = { endpoint: 'origem', runner: 'r1', slots: 2 }

function answerTo (sequence: number, fields: Partial<SlotAnswer> = {}): SlotAnswer {
  return { epoch: 3, sequence, registered: true, validMs: 10_000, grants: [grant], releases: [], ...fields }
}

describe('createSlotHolder', () => {
  const setUp = () => {
    const holder = createSlotHolder('e1', 'a')
    holder.follow(3)
    const first = holder.report(0, [], [])?.sequence ?? 0
    const second = holder.report(1500, [], [])?.sequence ?? 0
    return { holder, first, second }
  }

  it('applies the answer to its last report, valid from the sending of the report', () => {
    const { holder, second } = setUp()
    expect(holder.apply(answerTo(second), 1510)).to.deep.equal({ validUntil: 11_500, grants: [grant], releases: [] })
  })

  // Each of these would count a token twice, or use one that the allocator has given to another entry.
  const refused: [string, (sequences: { first: number, second: number }) => SlotAnswer, number][] = [
    ['an answer to an earlier report', ({ first }) => answerTo(first), 1510],
    ['an answer of a replaced allocator', ({ second }) => answerTo(second, { epoch: 2 }), 1510],
    ['an answer of an allocator not yet followed', ({ second }) => answerTo(second, { epoch: 4 }), 1510],
    ['an answer that arrives after its tokens have expired', ({ second }) => answerTo(second), 11_500],
    ['an answer to an entry that is not registered', ({ second }) => answerTo(second, { registered: false }), 1510]
  ]
  for (const [name, build, now] of refused) {
    it(`refuses ${name}`, () => {
      const { holder, ...sequences } = setUp()
      expect(holder.apply(build(sequences), now)).to.deep.equal({ grants: [], releases: [] })
    })
  }

  it('applies a repeated answer once', () => {
    const { holder, second } = setUp()
    holder.apply(answerTo(second), 1510)
    expect(holder.apply(answerTo(second), 1520)).to.deep.equal({ grants: [], releases: [] })
  })

  it('reports early when notified, not in a row, and not for an allocator that it does not follow', () => {
    const { holder, second } = setUp()
    holder.apply(answerTo(second), 1510)
    expect(holder.nextReportAt(0, 8), 'nothing waits').to.equal(2500)
    for (const other of [2, 4]) holder.notify(other)
    expect(holder.nextReportAt(0, 8), 'another epoch').to.equal(2500)
    for (let repeated = 0; repeated < 2; repeated++) holder.notify(3)
    expect(holder.nextReportAt(0, 8), 'notified').to.equal(1520)
    const third = holder.report(1700, [], [])?.sequence ?? 0
    holder.notify(3)
    expect(holder.nextReportAt(0, 8), 'an answer is awaited').to.equal(2700)
    holder.apply(answerTo(third), 1701)
    holder.report(1720, [], [])
    holder.apply(answerTo(third + 1), 1721)
    expect(holder.nextReportAt(0, 8), 'reported since').to.equal(2720)
  })

  it('reports again only when the answer is overdue, and cancels recalls that are no longer asked for', () => {
    const { holder, second } = setUp()
    expect(holder.report(2000, [], [])).to.equal(undefined)
    holder.apply(answerTo(second, { grants: [], releases: [grant] }), 2010)
    const third = holder.report(2020, [], [])?.sequence ?? 0
    expect(holder.apply(answerTo(third, { grants: [] }), 2030).releases).to.deep.equal([{ ...grant, slots: 0 }])
  })
})
