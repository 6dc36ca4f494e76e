import { throwUncaught } from '@gypsumspring/protocol'
import type { Row, Transaction } from '@gypsumspring/adapters'
import type { QuotaClaim, QuotaDemand } from '@gypsumspring/core'
import type { Failure, Resources } from '@gypsumspring/protocol'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { computePhase } from '../_lib/computePhase.ts'
import {
  CLAIM_IDLE_TIMEOUT_MS, CLAIM_POLL_INTERVAL_MS, MAX_CLAIMS_PER_TRANSACTION, MAX_SINGLE_CLAIM_READS,
  MIN_CLAIM_INTERVAL_MS
} from '../constants/index.ts'
import { TeamClaim } from './_lib/TeamClaim.ts'
import type { QuotaClaimsOptions, QuotaRow } from './types.ts'

export type * from './types.ts'

const QUOTA_KEY_PREFIX = 'quota/'
const NO_DEMAND: QuotaDemand = Object.freeze({
  used: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
  reserved: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
  needs: []
})

interface ClaimChange { claim: TeamClaim, key: string, row: QuotaRow, kind: 'claimed' | 'returned' }

/**
 * Claims parts of the teams' quotas for one shard and returns what the shard does not use. The claims belong to the
 * shard and pass to its next owner. Each write checks the version of `shard/<id>`, so that only the current owner
 * changes them. Rounds of reads and writes don't overlap. While the store is unavailable, claims stay unchanged.
 */
export class QuotaClaims {
  readonly #options: QuotaClaimsOptions
  readonly #teams = new Map<string, TeamClaim>()
  readonly #random
  /** Claims last passed to the placer, as JSON. */
  #published = ''
  #nextRoundAt = 0
  /**
   * Maximum number of teams in one transaction. Halved after a conflict, because a conflict over one team fails the
   * whole transaction, and doubled after a success.
   */
  #batchSize = MAX_CLAIMS_PER_TRANSACTION
  /** Rotates which changes are written first when they don't fit into one transaction. */
  #rotation = 0
  #busy = false
  #timer: NodeJS.Timeout | undefined
  #closed = false

  constructor (options: QuotaClaimsOptions) {
    this.#options = options
    this.#random = xoroshiro128plus(computePhase(options.ownership.shard, 2 ** 31))
    this.#publish()
  }

  /** Sets the quotas by team. After a reduction, no task of the team starts before all shards' claims were read. */
  setQuotas (quotas: Map<string, Resources>): void {
    for (const team of this.#teams.keys()) if (!quotas.has(team)) this.#teams.delete(team)
    for (const [team, quota] of quotas) {
      const known = this.#teams.get(team)
      if (known === undefined) this.#teams.set(team, new TeamClaim(this.#options.ownership.shard, quota))
      else known.setQuota(quota)
    }
    this.#publish()
  }

  /**
   * Starts a round of claims and returns, or schedules one. May be called often, since at most one round runs in
   * `MIN_CLAIM_INTERVAL_MS`.
   */
  update (): void {
    if (this.#closed || this.#busy || this.#timer !== undefined || this.#teams.size === 0) return
    const delayMs = this.#nextRoundAt - performance.now()
    if (delayMs > 0) {
      this.#timer = setTimeout(() => {
        this.#timer = undefined
        this.update()
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
    this.#nextRoundAt = performance.now() + MIN_CLAIM_INTERVAL_MS
    const now = performance.now()
    const due = [...this.#teams.values()].filter((claim) =>
      claim.isUnread || claim.isStale || (claim.hasUnmetDemand && now >= claim.nextPollAt))
    await this.#read(new Set(due))
    // Other shards have often changed a row since the last read; reading it again before the write avoids conflicts.
    const toWrite = this.#isActive() ? this.#listChanges().map(({ claim }) => claim) : []
    await this.#read(new Set(toWrite.filter((claim) => !due.includes(claim))))
    if (!this.#isActive()) return
    const changes = this.#listChanges()
    const start = changes.length > this.#batchSize ? this.#rotation++ % changes.length : 0
    const chosen = changes.slice(start, start + this.#batchSize)
    for (const change of chosen) change.row = change.claim.prepareWrite(change.row.claims[change.claim.shard]!)
    if (this.#publish()) onChange()
    if (chosen.length > 0) await this.#write(chosen)
    if (!this.#closed && this.#publish()) onChange()
  }

  /** Lists the claims to make and to return, for the teams whose row is up to date. */
  #listChanges (): ClaimChange[] {
    const demands = this.#options.placer.listQuotaDemands()
    const now = performance.now()
    const changes: ClaimChange[] = []
    const computePeriodMs = (): number => CLAIM_IDLE_TIMEOUT_MS + this.#randomBelow(CLAIM_IDLE_TIMEOUT_MS)
    for (const [team, claim] of this.#teams) {
      if (claim.isUnread || claim.isStale) continue
      const next = claim.planNextClaim(demands.get(team) ?? NO_DEMAND, now, computePeriodMs)
      if (next !== undefined) changes.push(createClaimChange(team, claim, next))
    }
    return changes
  }

  async #read (claims: Set<TeamClaim>): Promise<void> {
    const { table, metrics } = this.#options
    const now = performance.now()
    const due = [...this.#teams].filter(([, claim]) => claims.has(claim))
    if (due.length === 0) return
    for (const [, claim] of due) {
      claim.nextPollAt = now + CLAIM_POLL_INTERVAL_MS + this.#randomBelow(CLAIM_POLL_INTERVAL_MS / 2)
    }
    if (due.length > MAX_SINGLE_CLAIM_READS) {
      const scanned = await table.scan(QUOTA_KEY_PREFIX)
      scanned.ifLeft(({ reason }) => metrics.count('quota_read_failed', { reason }))
      scanned.ifRight((rows) => {
        const byKey = new Map(rows.map((row) => [row.key, row]))
        for (const [team, claim] of due) this.#applyRow(team, claim, byKey.get(QUOTA_KEY_PREFIX + team))
      })
      return
    }
    await Promise.all(due.map(async ([team, claim]) => {
      const read = await table.read(QUOTA_KEY_PREFIX + team)
      read.ifLeft(({ reason }) => metrics.count('quota_read_failed', { reason }))
      read.ifRight((row) => this.#applyRow(team, claim, row))
    }))
  }

  /** Applies a row, unless the configuration dropped the team during the read. */
  #applyRow (team: string, claim: TeamClaim, row: Row | undefined): void {
    if (this.#teams.get(team) === claim) claim.applyRow(row)
  }

  async #write (changes: ClaimChange[]): Promise<void> {
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
        this.#batchSize = Math.min(MAX_CLAIMS_PER_TRANSACTION, this.#batchSize * 2)
        for (const [index, { claim, row, kind }] of changes.entries()) {
          claim.confirmWrite(row, versions[index]!)
          metrics.count('quota_claims', { kind })
        }
      },
      Left: (failure: Failure) => {
        for (const { claim } of changes) claim.isStale = true
        metrics.count('quota_claim_failed', { reason: failure.reason, certainty: failure.certainty })
        log.debug({ shard: ownership.shard, reason: failure.reason }, 'quota claim failed')
        if (failure.reason !== 'conflict') return
        this.#batchSize = Math.max(1, Math.floor(changes.length / 2))
        // The random delay keeps shards that claim the same quota from conflicting again.
        this.#nextRoundAt = performance.now() + this.#randomBelow(MIN_CLAIM_INTERVAL_MS)
      }
    })
  }

  /** Passes the claims to the placer if they have changed. Returns true when they have. */
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

  /** Random integer from 0 to `limit` - 1. */
  #randomBelow (limit: number): number {
    return uniformInt(this.#random, 0, limit - 1)
  }
}

function createClaimChange (team: string, claim: TeamClaim, next: Resources): ClaimChange {
  const { cpuMillis, memoryMb, accelerators } = claim.ownClaim
  const isLarger = next.cpuMillis > cpuMillis || next.memoryMb > memoryMb || next.accelerators > accelerators
  const row = { claims: { [claim.shard]: next } }
  return { claim, key: QUOTA_KEY_PREFIX + team, row, kind: isLarger ? 'claimed' : 'returned' }
}
