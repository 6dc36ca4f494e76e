import { throwUncaught } from '@gypsumspring/protocol'
import type { Row, Transaction } from '@gypsumspring/adapters'
import type { QuotaClaim, QuotaDemand } from '@gypsumspring/core'
import type { Failure, Resources } from '@gypsumspring/protocol'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { computePhase } from '../_lib/computePhase.ts'
import { CLAIM_IDLE_MS, CLAIM_INTERVAL_MS, CLAIM_POLL_MS, CLAIM_READS_AT_ONCE, CLAIMS_AT_ONCE } from '../constants/index.ts'
import { TeamClaim } from './_lib/TeamClaim.ts'
import type { QuotaClaimsOptions, QuotaRow } from './types.ts'

export type * from './types.ts'

const PREFIX = 'quota/'
const NO_DEMAND: QuotaDemand = Object.freeze({
  used: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
  reserved: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
  needs: []
})

interface Change { claim: TeamClaim, key: string, row: QuotaRow, kind: 'claimed' | 'returned' }

/**
 * Claims parts of the teams' quotas for one shard and gives back what it does not use. The claims belong to the shard;
 * each write checks the version of `shard/<id>`, so that only the present owner changes them. One call to the store is
 * open at a time. Without the store, claims stay as they are.
 */
export class QuotaClaims {
  readonly #options: QuotaClaimsOptions
  readonly #teams = new Map<string, TeamClaim>()
  readonly #random
  #published = ''
  #nextAt = 0
  /** Teams written in one transaction; halved by a conflict, which fails all of them, and doubled by a success. */
  #batchSize = CLAIMS_AT_ONCE
  #turn = 0
  #busy = false
  #timer: NodeJS.Timeout | undefined
  #closed = false

  constructor (options: QuotaClaimsOptions) {
    this.#options = options
    this.#random = xoroshiro128plus(computePhase(options.ownership.shard, 2 ** 31))
    this.#publish()
  }

  /** Brings quotas into force. After a reduction nothing starts before the claims of all shards have been read. */
  setQuotas (quotas: Map<string, Resources>): void {
    for (const team of this.#teams.keys()) if (!quotas.has(team)) this.#teams.delete(team)
    for (const [team, quota] of quotas) {
      const known = this.#teams.get(team)
      if (known === undefined) this.#teams.set(team, new TeamClaim(this.#options.ownership.shard, quota))
      else known.changeQuota(quota)
    }
    this.#publish()
  }

  /** Claims or gives back what is due. Cheap when called often: the placer is asked once in `CLAIM_INTERVAL_MS`. */
  review (): void {
    if (this.#closed || this.#busy || this.#timer !== undefined || this.#teams.size === 0) return
    const delayMs = this.#nextAt - performance.now()
    if (delayMs > 0) {
      this.#timer = setTimeout(() => {
        this.#timer = undefined
        this.review()
      }, delayMs)
      return
    }
    this.#busy = true
    this.#runRound().catch(throwUncaught).finally(() => {
      this.#busy = false
    })
  }

  close (): void {
    this.#closed = true
    clearTimeout(this.#timer)
  }

  async #runRound (): Promise<void> {
    const { onChange } = this.#options
    this.#nextAt = performance.now() + CLAIM_INTERVAL_MS
    const now = performance.now()
    const due = [...this.#teams.values()].filter((claim) =>
      claim.isUnread || claim.isStale || (claim.isShort && now >= claim.nextPollAt))
    await this.#read(new Set(due))
    // Other shards have often changed a row since it was read last; a fresh one makes conflicts rare.
    const outdated = this.#isActive() ? this.#listChanges().map(({ claim }) => claim) : []
    await this.#read(new Set(outdated.filter((claim) => !due.includes(claim))))
    if (!this.#isActive()) return
    const changes = this.#listChanges()
    const start = changes.length > this.#batchSize ? this.#turn++ % changes.length : 0
    const chosen = changes.slice(start, start + this.#batchSize)
    for (const change of chosen) change.row = change.claim.prepare(change.row.claims[change.claim.shard]!)
    if (this.#publish()) onChange()
    if (chosen.length > 0) await this.#write(chosen)
    if (!this.#closed && this.#publish()) onChange()
  }

  /** Claims to make and to give back, as far as the rows known allow. */
  #listChanges (): Change[] {
    const demands = this.#options.placer.listQuotaDemands()
    const now = performance.now()
    const changes: Change[] = []
    for (const [team, claim] of this.#teams) {
      if (claim.isUnread || claim.isStale) continue
      const next = claim.review(demands.get(team) ?? NO_DEMAND, now, () => CLAIM_IDLE_MS + this.#below(CLAIM_IDLE_MS))
      if (next !== undefined) changes.push(describeChange(team, claim, next))
    }
    return changes
  }

  async #read (claims: Set<TeamClaim>): Promise<void> {
    const { table, metrics } = this.#options
    const now = performance.now()
    const due = [...this.#teams].filter(([, claim]) => claims.has(claim))
    if (due.length === 0) return
    for (const [, claim] of due) claim.nextPollAt = now + CLAIM_POLL_MS + this.#below(CLAIM_POLL_MS / 2)
    if (due.length > CLAIM_READS_AT_ONCE) {
      const scanned = await table.scan(PREFIX)
      scanned.ifLeft(({ reason }) => metrics.count('quota_read_failed', { reason }))
      scanned.ifRight((rows) => {
        const byKey = new Map(rows.map((row) => [row.key, row]))
        for (const [team, claim] of due) this.#follow(team, claim, byKey.get(PREFIX + team))
      })
      return
    }
    await Promise.all(due.map(async ([team, claim]) => {
      const read = await table.read(PREFIX + team)
      read.ifLeft(({ reason }) => metrics.count('quota_read_failed', { reason }))
      read.ifRight((row) => this.#follow(team, claim, row))
    }))
  }

  /** The configuration may have changed during the read. */
  #follow (team: string, claim: TeamClaim, row: Row | undefined): void {
    if (this.#teams.get(team) === claim) claim.follow(row)
  }

  async #write (changes: Change[]): Promise<void> {
    const { ownership, table, metrics, log } = this.#options
    const transaction: Transaction = {
      checks: [{ key: `shard/${ownership.shard}`, version: ownership.rowVersion }],
      writes: []
    }
    for (const { key, claim, row } of changes) {
      transaction.checks.push({ key, version: claim.version })
      transaction.writes.push({ kind: 'put', key, value: row })
    }
    const outcome = await table.transact(transaction)
    outcome.caseOf({
      Right: ({ versions }) => {
        this.#batchSize = Math.min(CLAIMS_AT_ONCE, this.#batchSize * 2)
        for (const [index, { claim, row, kind }] of changes.entries()) {
          claim.confirm(row, versions[index]!)
          metrics.count('quota_claims', { kind })
        }
      },
      Left: (failure: Failure) => {
        for (const { claim } of changes) claim.isStale = true
        metrics.count('quota_claim_failed', { reason: failure.reason, certainty: failure.certainty })
        log.debug({ shard: ownership.shard, reason: failure.reason }, 'quota claim failed')
        if (failure.reason !== 'conflict') return
        this.#batchSize = Math.max(1, Math.floor(changes.length / 2))
        // Shards that want the same quota would otherwise collide again.
        this.#nextAt = performance.now() + this.#below(CLAIM_INTERVAL_MS)
      }
    })
  }

  /** Passes the claims to the placer; true when they have changed. */
  #publish (): boolean {
    const claims = new Map<string, QuotaClaim>()
    for (const [team, claim] of this.#teams) claims.set(team, claim.usable)
    const published = JSON.stringify([...claims])
    if (published === this.#published) return false
    this.#published = published
    this.#options.placer.setClaims(claims)
    return true
  }

  #isActive (): boolean {
    return !this.#closed && this.#options.mayWrite()
  }

  #below (limit: number): number {
    return uniformInt(this.#random, 0, limit - 1)
  }
}

function describeChange (team: string, claim: TeamClaim, next: Resources): Change {
  const { cpuMillis, memoryMb, accelerators } = claim.own
  const isLarger = next.cpuMillis > cpuMillis || next.memoryMb > memoryMb || next.accelerators > accelerators
  const row = { claims: { [claim.shard]: next } }
  return { claim, key: PREFIX + team, row, kind: isLarger ? 'claimed' : 'returned' }
}
