import { expect } from 'chai'
import { TeamClaim } from './TeamClaim.ts'

const cores = (count: number) => ({ cpuMillis: 1000 * count, memoryMb: 1000 * count, accelerators: 0 })
const demand = (used: number) => ({ used: cores(used), reserved: cores(0), needs: [] })
const row = (version: number, claims: Record<string, number>) => ({
  key: 'quota/t',
  version,
  value: { claims: Object.fromEntries(Object.entries(claims).map(([shard, count]) => [shard, cores(count)])) }
})

describe('TeamClaim', () => {
  it('has no usable claim before the row is read, and after a reduced quota until the claims fit into it', () => {
    // Guards against starts under a claim that no longer fits into the quota together with those of other shards.
    const claim = new TeamClaim('a', cores(8))
    expect(claim.usable.claimed).to.deep.equal(cores(0))
    claim.applyRow(row(1, { a: 3 }))
    expect(claim.usable).to.deep.equal({ claimed: cores(3), maxClaim: cores(8) })
    claim.setQuota(cores(4))
    expect(claim.usable.claimed).to.deep.equal(cores(0))
    claim.applyRow(row(2, { a: 3, b: 2 }))
    expect(claim.usable.claimed).to.deep.equal(cores(0))
    claim.applyRow(row(3, { a: 3, b: 1 }))
    expect(claim.usable.claimed).to.deep.equal(cores(3))
  })

  it('uses no more than a returned claim with an unknown outcome, until another write is confirmed', () => {
    // Guards against a write whose response was lost and that takes effect after a read still showed the old row.
    const claim = new TeamClaim('a', cores(8))
    claim.applyRow(row(1, { a: 6 }))
    claim.prepareWrite(cores(2))
    expect(claim.usable.claimed).to.deep.equal(cores(2))
    claim.applyRow(row(1, { a: 6 }))
    expect(claim.usable.claimed).to.deep.equal(cores(2))
    const next = claim.planNextClaim(demand(2), 0, () => 1)
    expect(next).to.not.equal(undefined)
    claim.confirmWrite(claim.prepareWrite(next!), 2)
    expect(claim.usable.claimed).to.deep.equal(next)
  })

  it('keeps a claim that was used within the last period, then returns it', () => {
    // Guards against returning a claim and making it again for each short task.
    const claim = new TeamClaim('a', cores(8))
    claim.applyRow(row(1, { a: 6 }))
    expect(claim.planNextClaim(demand(6), 0, () => 10)).to.equal(undefined)
    expect(claim.planNextClaim(demand(1), 11, () => 10)).to.equal(undefined)
    expect(claim.planNextClaim(demand(1), 22, () => 10)).to.deep.equal(cores(1))
  })
})
