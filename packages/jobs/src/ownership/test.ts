import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { MemoryRecordStore, MemoryRows } from '../standins/index.ts'
import { Ownership, readOwner, type OwnerRow } from './index.ts'

const CELL = 'cell'
const VACANT: OwnerRow = { version: 0, record: undefined }

describe('Ownership', () => {
  let clock: Clock
  let rows: MemoryRows
  beforeEach(() => {
    clock = install()
    rows = new MemoryRows()
  })
  afterEach(() => clock.uninstall())

  /** Advances the clock and resolves with the result. */
  async function settle<Value> (promise: Promise<Value>, ms = 5_000): Promise<Value> {
    await clock.tickAsync(ms)
    return await promise
  }

  const put = (value: string) => ({ table: 'progress', key: 'job', value: Buffer.from(value) })
  const stored = () => Buffer.from(rows.rows.get('progress/cell/job')?.value ?? []).toString()

  it('is given to only one of two nodes that claim it at the same time', async () => {
    const store = new MemoryRecordStore(rows)
    const claims = await settle(Promise.all(['n0', 'n1'].map((node) =>
      Ownership.claim(store, CELL, VACANT, { node, address: node }))))
    expect(claims.filter((claim) => claim.isRight())).to.have.length(1)
  })

  it('recognizes a claim as successful when the answer to its first attempt was lost', async () => {
    const store = new MemoryRecordStore(rows)
    let calls = 0
    store.fault = () => calls++ === 0 ? 'lost' : undefined
    const claim = await settle(Ownership.claim(store, CELL, VACANT, { node: 'n0', address: 'n0' }))
    expect(claim.isRight()).to.equal(true)
  })

  it('does not apply a late copy of a commit after a newer commit', async () => {
    const store = new MemoryRecordStore(rows)
    const ownership = (await settle(Ownership.claim(store, CELL, VACANT, { node: 'n0', address: 'n0' }))).unsafeCoerce()
    let calls = 0
    store.fault = () => calls++ === 0 ? 'late' : undefined
    expect(await settle(ownership.commit([put('first')]), 1_000)).to.equal(true)
    expect(await settle(ownership.commit([put('second')]), 1_000)).to.equal(true)
    await clock.tickAsync(5_000)
    expect(stored()).to.equal('second')
  })

  it('rejects commits of an owner that was replaced', async () => {
    const store = new MemoryRecordStore(rows)
    const old = (await settle(Ownership.claim(store, CELL, VACANT, { node: 'n0', address: 'n0' }))).unsafeCoerce()
    const row = (await settle(readOwner(store, CELL))).unsafeCoerce()
    const next = (await settle(Ownership.claim(store, CELL, row, { node: 'n1', address: 'n1' }))).unsafeCoerce()
    expect(await settle(old.commit([put('old')]))).to.equal(false)
    expect(old.isLost).to.equal(true)
    expect(next.token).to.be.greaterThan(old.token)
    expect(stored()).to.equal('')
  })

  // Without it, each owner would have to wait for the longest lease that any earlier one may have granted.
  const earlierEnds: Array<{ name: string, earlier: number | undefined, token: number, end: number | null }> = [
    { name: 'its own end, with the end of earlier leases', earlier: 9_000, token: 2, end: 9_000 },
    { name: 'what it knows of its predecessor, if it does not know the end', earlier: undefined, token: 1, end: null }
  ]
  for (const { name, earlier, token, end } of earlierEnds) {
    it(`tells its successor ${name}`, async () => {
      const store = new MemoryRecordStore(rows)
      const vacant = { ...VACANT, record: { node: 'n', address: 'n', token: 1, sequence: 0, released: false } }
      const old = (await settle(Ownership.claim(store, CELL, vacant, { node: 'n0', address: 'n0' }))).unsafeCoerce()
      old.earlierLeasesEnd = earlier
      await settle(old.commit([]))
      const endedBy = performance.now()
      const transfer = await settle(old.transfer([], { node: 'n1', address: 'n1' }))
      const next = Ownership.resume(store, CELL, transfer!)
      expect(next.mayGrantLeases).to.equal(false)
      await settle(next.commit([]))
      const { predecessor, clock } = next
      expect(predecessor).to.include({ token, hasEnded: token === 2 })
      const replacedAt = token === 2 ? endedBy : old.ownedBy
      expect(clock.toMonotonic(predecessor!.replacedBy!)).to.be.within(replacedAt, replacedAt + 20)
      const { earlierLeasesEndAt } = predecessor!
      if (end === null) expect(earlierLeasesEndAt).to.equal(null)
      else expect(clock.toMonotonic(earlierLeasesEndAt!)).to.be.within(end, end + 20)
    })
  }

  // An owner grants no leases before it has stored the end of earlier ones. Those of the owner before it count then.
  const unstored: Array<{ name: string, end: (owner: Ownership) => Promise<unknown> }> = [
    { name: 'an end without a commit', end: async () => {} },
    { name: 'an end after a commit', end: async (owner) => { await owner.commit([]) } },
    { name: 'a release', end: async (owner) => { await owner.transfer([]) } }
  ]
  for (const { name, end } of unstored) {
    it(`passes on its predecessor's leases after ${name}, if it has not stored the end of earlier leases`, async () => {
      const store = new MemoryRecordStore(rows)
      const claim = async (node: string) => {
        const row = (await settle(readOwner(store, CELL))).unsafeCoerce()
        return (await settle(Ownership.claim(store, CELL, row, { node, address: node }))).unsafeCoerce()
      }
      const first = await claim('n0')
      expect(first.mayGrantLeases).to.equal(true)
      const second = await claim('n1')
      expect(second.mayGrantLeases).to.equal(false)
      await settle(end(second))
      const third = await claim('n2')
      expect(third.predecessor).to.deep.include({ token: first.token, hasEnded: false, earlierLeasesEndAt: 0 })
      third.earlierLeasesEnd = 60_000
      await settle(third.commit([]))
      expect(third.mayGrantLeases).to.equal(true)
      const fourth = await claim('n3')
      expect(fourth.predecessor!.token).to.equal(third.token)
      expect(fourth.clock.toMonotonic(fourth.predecessor!.earlierLeasesEndAt!)).to.be.within(60_000, 60_020)
    })
  }

  it('does not take the end of an owner without leases for the end of its predecessor', async () => {
    const store = new MemoryRecordStore(rows)
    const first = (await settle(Ownership.claim(store, CELL, VACANT, { node: 'n0', address: 'n0' }))).unsafeCoerce()
    for (const hasEnded of [false, true]) {
      const row = (await settle(readOwner(store, CELL))).unsafeCoerce()
      const claim = Ownership.claim(store, CELL, row, { node: 'n1', address: 'n1' }, hasEnded)
      const { predecessor } = (await settle(claim)).unsafeCoerce()
      expect(predecessor).to.include({ node: 'n0', token: first.token, hasEnded: false })
    }
  })

  it('passes on the predecessor, and when it was replaced, over two handovers', async () => {
    const store = new MemoryRecordStore(rows)
    const first = (await settle(Ownership.claim(store, CELL, VACANT, { node: 'n0', address: 'n0' }))).unsafeCoerce()
    const row = (await settle(readOwner(store, CELL))).unsafeCoerce()
    const second = (await settle(Ownership.claim(store, CELL, row, { node: 'n1', address: 'n1' }))).unsafeCoerce()
    const toThird = (await settle(second.transfer([], { node: 'n2', address: 'n2' })))!
    const third = Ownership.resume(store, CELL, toThird)
    await settle(third.commit([]))
    const toFourth = (await settle(third.transfer([], { node: 'n3', address: 'n3' })))!
    const { predecessor } = Ownership.resume(store, CELL, toFourth)
    expect(predecessor).to.include({ token: first.token, hasEnded: false, earlierLeasesEndAt: 0 })
    expect(third.clock.toMonotonic(predecessor!.replacedBy!)).to.be.within(second.ownedBy, second.ownedBy + 20)
  })

  // Workers fence off an owner that begins with the first token again, and it would take all earlier leases for over.
  it('keeps the token of a record whose predecessor can not be decoded, and counts the leases of its owner', async () => {
    const store = new MemoryRecordStore(rows)
    const record = { node: 'n0', address: 'n0', token: 7, sequence: 0, released: false, predecessor: { token: 6 } }
    const put = { table: 'control', key: 'owner', value: Buffer.from(JSON.stringify(record)) }
    rows.apply({ partition: CELL, expected: [], puts: [put], removes: [] })
    const row = (await settle(readOwner(store, CELL))).unsafeCoerce()
    const next = (await settle(Ownership.claim(store, CELL, row, { node: 'n1', address: 'n1' }))).unsafeCoerce()
    expect(next.token).to.equal(8)
    expect(next.predecessor).to.include({ node: 'n0', token: 7, hasEnded: false, earlierLeasesEndAt: null })
  })

  it('tells the next owner when it had replaced its predecessor', async () => {
    const store = new MemoryRecordStore(rows)
    const vacant = { ...VACANT, record: { node: 'n', address: 'n', token: 1, sequence: 0, released: false } }
    const second = (await settle(Ownership.claim(store, CELL, vacant, { node: 'n0', address: 'n0' }))).unsafeCoerce()
    await settle(second.commit([]))
    const { record } = (await settle(readOwner(store, CELL))).unsafeCoerce()
    expect(second.clock.toMonotonic(record!.predecessor!.replacedBy!)).to.be.within(second.ownedBy, second.ownedBy + 20)
  })

  it('continues at the successor after a transfer and rejects commits of the previous owner', async () => {
    const store = new MemoryRecordStore(rows)
    const old = (await settle(Ownership.claim(store, CELL, VACANT, { node: 'n0', address: 'n0' }))).unsafeCoerce()
    const transfer = await settle(old.transfer([put('last')], { node: 'n1', address: 'n1' }))
    const next = Ownership.resume(store, CELL, transfer!)
    expect(await settle(next.commit([put('next')]))).to.equal(true)
    expect(await settle(old.commit([put('old')]))).to.equal(false)
    expect(stored()).to.equal('next')
  })
})
