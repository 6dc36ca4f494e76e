import type { Row } from '@gypsumspring/adapters'
import { planQuotaClaim, planQuotaReturn, type QuotaClaim, type QuotaDemand } from '@gypsumspring/core'
import type { Resources } from '@gypsumspring/protocol'
import type { QuotaRow } from '../types.ts'

const NOTHING: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** The claims on the quota of one team as a shard knows them. */
export class TeamClaim {
  readonly shard: string
  /** The row has to be read before anything new starts. */
  isUnread = true
  /** The row has changed or may have. */
  isStale = false
  /** Demand of the shard that the claims known do not allow. */
  isShort = false
  nextPollAt = 0
  demand: QuotaDemand = { used: NOTHING, reserved: NOTHING, needs: [] }
  #quota: Resources
  #version = 0
  #claims = new Map<string, Resources>()
  /** Claim of a give-back whose fate is unknown; it may still take effect until another write has. */
  #returning: Resources | undefined
  #reachable = NOTHING
  #isOver = false
  /** Most that was used in the present period and in the one before. */
  #peaks = [NOTHING, NOTHING]
  #periodEndsAt: number | undefined

  constructor (shard: string, quota: Resources) {
    this.shard = shard
    this.#quota = quota
  }

  get version (): number {
    return this.#version
  }

  get own (): Resources {
    return this.#claims.get(this.shard) ?? NOTHING
  }

  /** What the placer may use; nothing new starts before the row was read, nor while the quota is exceeded. */
  get usable (): QuotaClaim {
    if (this.isUnread || this.#isOver) return { claimed: NOTHING, reachable: NOTHING }
    const claimed = this.#returning === undefined ? this.own : smaller(this.own, this.#returning)
    return { claimed, reachable: larger(claimed, this.#reachable) }
  }

  /** Sets the quota; after a reduction, what the other shards hold decides on what may start. */
  changeQuota (quota: Resources): void {
    const { cpuMillis, memoryMb, accelerators } = this.#quota
    const isReduced = quota.cpuMillis < cpuMillis || quota.memoryMb < memoryMb || quota.accelerators < accelerators
    this.#quota = quota
    if (isReduced) this.isUnread = true
    else this.nextPollAt = 0
  }

  follow (row: Row | undefined): void {
    const version = row?.version ?? 0
    // Under another version, a write that checked the old one can no longer take effect.
    if (version !== this.#version) this.#returning = undefined
    this.#version = version
    this.#claims = new Map(Object.entries((row?.value as QuotaRow | undefined)?.claims ?? {}))
    this.isStale = this.isUnread = false
    this.#plan()
  }

  /** Takes in what the shard uses and needs. Returns the claim to write, or undefined. */
  review (demand: QuotaDemand, now: number, periodMs: () => number): Resources | undefined {
    this.demand = demand
    const taken = add(demand.used, demand.reserved)
    if (this.#periodEndsAt === undefined || now >= this.#periodEndsAt) {
      this.#peaks = [taken, this.#peaks[0]!]
      this.#periodEndsAt = now + periodMs()
    }
    this.#peaks[0] = larger(this.#peaks[0]!, taken)
    const { claim } = this.#plan()
    if (claim !== undefined) return claim
    const recent = this.#isOver ? NOTHING : larger(this.#peaks[0], this.#peaks[1]!)
    const kept = planQuotaReturn(this.own, recent, demand)
    // Another write settles what became of a give-back in doubt.
    return kept ?? (this.#returning === undefined ? undefined : this.own)
  }

  /** The row to write for a new claim. From here on the placer may use no more than it leaves. */
  prepare (claim: Resources): QuotaRow {
    this.#returning = this.#returning === undefined ? claim : smaller(this.#returning, claim)
    const claims = new Map(this.#claims).set(this.shard, claim)
    if (isNothing(claim)) claims.delete(this.shard)
    return { claims: Object.fromEntries(claims) }
  }

  /** The row was written. */
  confirm (row: QuotaRow, version: number): void {
    this.#version = version
    this.#claims = new Map(Object.entries(row.claims))
    this.#returning = undefined
    // What was just claimed counts as used, so that it is not given back before it could be.
    this.#peaks[0] = larger(this.#peaks[0]!, this.own)
    this.#plan()
  }

  #plan (): ReturnType<typeof planQuotaClaim> {
    const plan = planQuotaClaim(this.shard, this.#quota, this.#claims, this.demand)
    this.#reachable = plan.reachable
    this.#isOver = plan.exceedsQuota
    this.isShort = this.demand.needs.length > 0
    return plan
  }
}

function isNothing ({ cpuMillis, memoryMb, accelerators }: Resources): boolean {
  return cpuMillis === 0 && memoryMb === 0 && accelerators === 0
}

function add (a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => x + y)
}

function smaller (a: Resources, b: Resources): Resources {
  return combine(a, b, Math.min)
}

function larger (a: Resources, b: Resources): Resources {
  return combine(a, b, Math.max)
}

function combine (a: Resources, b: Resources, merge: (x: number, y: number) => number): Resources {
  return {
    cpuMillis: merge(a.cpuMillis, b.cpuMillis),
    memoryMb: merge(a.memoryMb, b.memoryMb),
    accelerators: merge(a.accelerators, b.accelerators)
  }
}
