import type { Resources } from '@gypsumspring/protocol'
import type { QuotaClaim } from '../../types.ts'
import { addScaled, computeDominantShare, NOTHING } from '../_lib/resources.ts'
import { limitByClaim } from '../_lib/rules.ts'
import type { GroupRecord } from '../types.ts'

interface TeamTotal { used: Resources, usedByServices: Resources, share: number, shareVersion: number }

/** Keeps what each team uses, and its dominant share of its quota or, without one, of the cell. */
export class TeamTotals {
  readonly #totals = new Map<string, TeamTotal>()
  #quotas = new Map<string, Resources>()
  #claims: Map<string, QuotaClaim> | undefined
  #cell = NOTHING
  #version = 0

  setQuotas (quotas: Map<string, Resources>): void {
    this.#quotas = new Map(quotas)
    this.#version++
  }

  setClaims (claims: Map<string, QuotaClaim> | undefined): void {
    this.#claims = claims && new Map(claims)
  }

  /** Adds a worker to the capacity of the cell, or takes it out with the factor -1. */
  addCapacity (capacity: Resources, factor: number): void {
    this.#cell = addScaled(this.#cell, capacity, factor)
    this.#version++
  }

  addTask (group: GroupRecord, factor: number): void {
    const total = this.#find(group.spec.team)
    total.used = addScaled(total.used, group.spec.resources, factor)
    if (group.spec.kind === 'service') total.usedByServices = addScaled(total.usedByServices, group.spec.resources, factor)
    total.shareVersion = -1
  }

  used (team: string): Resources {
    return this.#totals.get(team)?.used ?? NOTHING
  }

  usedByServices (team: string): Resources {
    return this.#totals.get(team)?.usedByServices ?? NOTHING
  }

  quota (team: string): Resources | undefined {
    return this.#quotas.get(team)
  }

  limit (team: string): QuotaClaim | undefined {
    return limitByClaim(team, this.#quotas.get(team), this.#claims)
  }

  * usedByTeam (): Generator<[string, Resources]> {
    for (const [team, { used }] of this.#totals) yield [team, used]
  }

  share (team: string): number {
    const total = this.#find(team)
    if (total.shareVersion !== this.#version) {
      total.share = computeDominantShare(total.used, this.#quotas.get(team) ?? this.#cell)
      total.shareVersion = this.#version
    }
    return total.share
  }

  #find (team: string): TeamTotal {
    let total = this.#totals.get(team)
    if (total === undefined) {
      total = { used: NOTHING, usedByServices: NOTHING, share: 0, shareVersion: -1 }
      this.#totals.set(team, total)
    }
    return total
  }
}
