import type { Resources } from '@gypsumspring/protocol'
import type { QuotaClaim } from '../../types.ts'
import { addScaled, computeDominantShare, ZERO_RESOURCES } from '../_lib/resources.ts'
import { resolveQuotaClaim } from '../_lib/rules.ts'
import type { GroupRecord } from '../types.ts'

interface UsageTotal {
  used: Resources
  usedByServices: Resources
  /** Cached dominant share, valid while `shareVersion` is the current version. */
  share: number
  shareVersion: number
}

/** Tracks what each team uses, and its dominant share of its quota or, without a quota, of the cell's capacity. */
export class TeamUsage {
  readonly #totals = new Map<string, UsageTotal>()
  #quotas = new Map<string, Resources>()
  #claims: Map<string, QuotaClaim> | undefined
  #cellCapacity = ZERO_RESOURCES
  /** Incremented whenever the shares of all teams may have changed. */
  #version = 0

  setQuotas (quotas: Map<string, Resources>): void {
    this.#quotas = new Map(quotas)
    this.#version++
  }

  setClaims (claims: Map<string, QuotaClaim> | undefined): void {
    this.#claims = claims && new Map(claims)
  }

  /** Adds a worker's capacity to that of the cell; a factor of -1 subtracts it. */
  addCapacity (capacity: Resources, factor: number): void {
    this.#cellCapacity = addScaled(this.#cellCapacity, capacity, factor)
    this.#version++
  }

  addTask (group: GroupRecord, factor: number): void {
    const total = this.#getOrCreate(group.spec.team)
    total.used = addScaled(total.used, group.spec.resources, factor)
    if (group.spec.kind === 'service') total.usedByServices = addScaled(total.usedByServices, group.spec.resources, factor)
    total.shareVersion = -1
  }

  used (team: string): Resources {
    return this.#totals.get(team)?.used ?? ZERO_RESOURCES
  }

  usedByServices (team: string): Resources {
    return this.#totals.get(team)?.usedByServices ?? ZERO_RESOURCES
  }

  quota (team: string): Resources | undefined {
    return this.#quotas.get(team)
  }

  limit (team: string): QuotaClaim | undefined {
    return resolveQuotaClaim(team, this.#quotas.get(team), this.#claims)
  }

  * usedByTeam (): Generator<[string, Resources]> {
    for (const [team, { used }] of this.#totals) yield [team, used]
  }

  share (team: string): number {
    const total = this.#getOrCreate(team)
    if (total.shareVersion !== this.#version) {
      total.share = computeDominantShare(total.used, this.#quotas.get(team) ?? this.#cellCapacity)
      total.shareVersion = this.#version
    }
    return total.share
  }

  #getOrCreate (team: string): UsageTotal {
    let total = this.#totals.get(team)
    if (total === undefined) {
      total = { used: ZERO_RESOURCES, usedByServices: ZERO_RESOURCES, share: 0, shareVersion: -1 }
      this.#totals.set(team, total)
    }
    return total
  }
}
