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
  it('allows nothing before the row was read, nor again after the quota was lowered', () => {
    // Guards against starts in a claim that other shards no longer count.
    const claim = new TeamClaim('a', cores(8))
    expect(claim.usable.claimed).to.deep.equal(cores(0))
    claim.follow(row(1, { a: 3 }))
    expect(claim.usable).to.deep.equal({ claimed: cores(3), reachable: cores(8) })
    claim.changeQuota(cores(4))
    expect(claim.usable.claimed).to.deep.equal(cores(0))
    claim.follow(row(2, { a: 3, b: 2 }))
    expect(claim.usable.claimed).to.deep.equal(cores(0))
    claim.follow(row(3, { a: 3, b: 1 }))
    expect(claim.usable.claimed).to.deep.equal(cores(3))
  })

  it('uses no more than a give-back in doubt leaves, until another write has settled it', () => {
    // Guards against a give-back whose answer was lost and that takes effect after it was read as not done.
    const claim = new TeamClaim('a', cores(8))
    claim.follow(row(1, { a: 6 }))
    claim.prepare(cores(2))
    expect(claim.usable.claimed).to.deep.equal(cores(2))
    claim.follow(row(1, { a: 6 }))
    expect(claim.usable.claimed).to.deep.equal(cores(2))
    const next = claim.review(demand(2), 0, () => 1)
    expect(next).to.not.equal(undefined)
    claim.confirm(claim.prepare(next!), 2)
    expect(claim.usable.claimed).to.deep.equal(next)
  })

  it('keeps what was used within the last period, then gives it back', () => {
    // Guards against a claim that is given back and made again with each short task.
    const claim = new TeamClaim('a', cores(8))
    claim.follow(row(1, { a: 6 }))
    expect(claim.review(demand(6), 0, () => 10)).to.equal(undefined)
    expect(claim.review(demand(1), 11, () => 10)).to.equal(undefined)
    expect(claim.review(demand(1), 22, () => 10)).to.deep.equal(cores(1))
  })
})
