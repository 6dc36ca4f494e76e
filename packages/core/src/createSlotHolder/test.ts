import { expect } from 'chai'
import type { SlotResponse } from '../types.ts'
import { createSlotHolder } from './index.ts'

const grant = { endpoint: 'origem', runner: 'r1', slots: 2 }

function responseTo (sequence: number, fields: Partial<SlotResponse> = {}): SlotResponse {
  return { epoch: 3, sequence, registered: true, validMs: 10_000, grants: [grant], releases: [], ...fields }
}

describe('createSlotHolder', () => {
  const setUp = () => {
    const holder = createSlotHolder('e1', 'a')
    holder.followEpoch(3)
    const first = holder.createReport(0, [], [])?.sequence ?? 0
    const second = holder.createReport(1500, [], [])?.sequence ?? 0
    return { holder, first, second }
  }

  it('applies the response to its last report, with a validity that starts when the report was sent', () => {
    const { holder, second } = setUp()
    const change = holder.applyResponse(responseTo(second), 1510)
    expect(change).to.deep.equal({ validUntil: 11_500, grants: [grant], releases: [] })
  })

  // Applying any of these would count a token twice, or use one that the allocator has granted to another entry.
  const refused: [string, (sequences: { first: number, second: number }) => SlotResponse, number][] = [
    ['a response to an earlier report', ({ first }) => responseTo(first), 1510],
    ['a response of a replaced allocator', ({ second }) => responseTo(second, { epoch: 2 }), 1510],
    ['a response of an allocator that it does not follow yet', ({ second }) => responseTo(second, { epoch: 4 }), 1510],
    ['a response that arrives after its tokens have expired', ({ second }) => responseTo(second), 11_500],
    ['a response to an entry that is not registered', ({ second }) => responseTo(second, { registered: false }), 1510]
  ]
  for (const [name, build, now] of refused) {
    it(`refuses ${name}`, () => {
      const { holder, ...sequences } = setUp()
      expect(holder.applyResponse(build(sequences), now)).to.deep.equal({ grants: [], releases: [] })
    })
  }

  it('applies a repeated response once', () => {
    const { holder, second } = setUp()
    holder.applyResponse(responseTo(second), 1510)
    expect(holder.applyResponse(responseTo(second), 1520)).to.deep.equal({ grants: [], releases: [] })
  })

  it('reports early when notified, but not repeatedly, and not for an allocator that it does not follow', () => {
    const { holder, second } = setUp()
    holder.applyResponse(responseTo(second), 1510)
    expect(holder.nextReportAt(0, 8), 'nothing waits').to.equal(2500)
    for (const other of [2, 4]) holder.notify(other)
    expect(holder.nextReportAt(0, 8), 'another epoch').to.equal(2500)
    for (let repeated = 0; repeated < 2; repeated++) holder.notify(3)
    expect(holder.nextReportAt(0, 8), 'notified').to.equal(1520)
    const third = holder.createReport(1700, [], [])?.sequence ?? 0
    holder.notify(3)
    expect(holder.nextReportAt(0, 8), 'a response is awaited').to.equal(2700)
    holder.applyResponse(responseTo(third), 1701)
    holder.createReport(1720, [], [])
    holder.applyResponse(responseTo(third + 1), 1721)
    expect(holder.nextReportAt(0, 8), 'reported since').to.equal(2720)
  })

  it('reports again only when the response is overdue, and cancels recalls that a response no longer lists', () => {
    const { holder, second } = setUp()
    expect(holder.createReport(2000, [], [])).to.equal(undefined)
    holder.applyResponse(responseTo(second, { grants: [], releases: [grant] }), 2010)
    const third = holder.createReport(2020, [], [])?.sequence ?? 0
    const { releases } = holder.applyResponse(responseTo(third, { grants: [] }), 2030)
    expect(releases).to.deep.equal([{ ...grant, slots: 0 }])
  })
})
