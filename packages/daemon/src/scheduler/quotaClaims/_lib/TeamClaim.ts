import type { Row } from '@gypsumspring/adapters'
import { planQuotaClaim, planQuotaReturn, type QuotaClaim, type QuotaDemand } from '@gypsumspring/core'
import type { Resources } from '@gypsumspring/protocol'
import { ZERO_RESOURCES } from '../../constants/index.ts'
import type { QuotaRow } from '../types.ts'

/** One shard's view of the claims on the quota of one team, as last read from or written to the row of the team. */
export class TeamClaim {
  readonly shard: string
  /** The row has to be read before new tasks may start. */
  isUnread = true
  /** A write failed, so that the row may have changed since it was read. */
  isStale = false
  /** The shard has demand that its claim does not cover. */
  hasUnmetDemand = false
  nextPollAt = 0
  demand: QuotaDemand = { used: ZERO_RESOURCES, reserved: ZERO_RESOURCES, needs: [] }
  #quota: Resources
  #version = 0
  #claims = new Map<string, Resources>()
  /**
   * Smallest claim among the writes in progress or with an unknown outcome. They may take effect until the row has a
   * new version, so the placer may use no more than this.
   */
  #unconfirmedClaim: Resources | undefined
  #maxClaim = ZERO_RESOURCES
  #exceedsQuota = false
  /** Peak usage in the current period and in the previous one. */
  #usagePeaks = [ZERO_RESOURCES, ZERO_RESOURCES]
  #periodEndsAt: number | undefined

  constructor (shard: string, quota: Resources) {
    this.shard = shard
    this.#quota = quota
  }

  get version (): number {
    return this.#version
  }

  get ownClaim (): Resources {
    return this.#claims.get(this.shard) ?? ZERO_RESOURCES
  }

  /** Claim that the placer may use; zero before the row was read and while the quota is exceeded. */
  get usable (): QuotaClaim {
    if (this.isUnread || this.#exceedsQuota) return { claimed: ZERO_RESOURCES, maxClaim: ZERO_RESOURCES }
    const unconfirmed = this.#unconfirmedClaim
    const claimed = unconfirmed === undefined ? this.ownClaim : minimum(this.ownClaim, unconfirmed)
    return { claimed, maxClaim: maximum(claimed, this.#maxClaim) }
  }

  /** Sets the quota. After a reduction the row is read again first, as the claims of other shards limit new starts. */
  setQuota (quota: Resources): void {
    const { cpuMillis, memoryMb, accelerators } = this.#quota
    const isReduced = quota.cpuMillis < cpuMillis || quota.memoryMb < memoryMb || quota.accelerators < accelerators
    this.#quota = quota
    if (isReduced) this.isUnread = true
    else this.nextPollAt = 0
  }

  /** Takes over a row that was read from the store; undefined when the team has none. */
  applyRow (row: Row | undefined): void {
    const version = row?.version ?? 0
    // A write that checks the old version can no longer take effect.
    if (version !== this.#version) this.#unconfirmedClaim = undefined
    this.#version = version
    this.#claims = new Map(Object.entries((row?.value as QuotaRow | undefined)?.claims ?? {}))
    this.isStale = this.isUnread = false
    this.#updatePlan()
  }

  /** Updates the shard's demand. Returns the claim to write; undefined when it stays as it is. */
  planNextClaim (demand: QuotaDemand, now: number, periodMs: () => number): Resources | undefined {
    this.demand = demand
    const taken = add(demand.used, demand.reserved)
    if (this.#periodEndsAt === undefined || now >= this.#periodEndsAt) {
      this.#usagePeaks = [taken, this.#usagePeaks[0]!]
      this.#periodEndsAt = now + periodMs()
    }
    this.#usagePeaks[0] = maximum(this.#usagePeaks[0]!, taken)
    const { claim } = this.#updatePlan()
    if (claim !== undefined) return claim
    const recent = this.#exceedsQuota ? ZERO_RESOURCES : maximum(this.#usagePeaks[0], this.#usagePeaks[1]!)
    const kept = planQuotaReturn(this.ownClaim, recent, demand)
    // Writing the present claim again changes the version, which rules out a late effect of the unconfirmed write.
    return kept ?? (this.#unconfirmedClaim === undefined ? undefined : this.ownClaim)
  }

  /** Builds the row for a new claim. From now on the placer may use no more than that claim. */
  prepareWrite (claim: Resources): QuotaRow {
    this.#unconfirmedClaim = this.#unconfirmedClaim === undefined ? claim : minimum(this.#unconfirmedClaim, claim)
    const claims = new Map(this.#claims).set(this.shard, claim)
    if (isZero(claim)) claims.delete(this.shard)
    return { claims: Object.fromEntries(claims) }
  }

  /** Takes over a row that was written successfully. */
  confirmWrite (row: QuotaRow, version: number): void {
    this.#version = version
    this.#claims = new Map(Object.entries(row.claims))
    this.#unconfirmedClaim = undefined
    // A new claim counts as used, so that it is not returned before tasks could use it.
    this.#usagePeaks[0] = maximum(this.#usagePeaks[0]!, this.ownClaim)
    this.#updatePlan()
  }

  #updatePlan (): ReturnType<typeof planQuotaClaim> {
    const plan = planQuotaClaim(this.shard, this.#quota, this.#claims, this.demand)
    this.#maxClaim = plan.maxClaim
    this.#exceedsQuota = plan.exceedsQuota
    this.hasUnmetDemand = this.demand.needs.length > 0
    return plan
  }
}

function isZero ({ cpuMillis, memoryMb, accelerators }: Resources): boolean {
  return cpuMillis === 0 && memoryMb === 0 && accelerators === 0
}

function add (a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => x + y)
}

function minimum (a: Resources, b: Resources): Resources {
  return combine(a, b, Math.min)
}

function maximum (a: Resources, b: Resources): Resources {
  return combine(a, b, Math.max)
}

function combine (a: Resources, b: Resources, merge: (x: number, y: number) => number): Resources {
  return {
    cpuMillis: merge(a.cpuMillis, b.cpuMillis),
    memoryMb: merge(a.memoryMb, b.memoryMb),
    accelerators: merge(a.accelerators, b.accelerators)
  }
}
