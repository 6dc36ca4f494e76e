import type { SlotDemand } from '@gypsumspring/protocol'
import { chooseSlotDomains, SHORT_MS } from '../chooseSlotDomains/index.ts'
import { DomainSlots, type DomainSlotsParts } from '../domainSlots/index.ts'
import type { EndpointRoutes } from '../endpointRoutes/index.ts'

export interface SlotsReporterParts extends Omit<DomainSlotsParts, 'failureDomain' | 'routes' | 'demands'> {
  ownDomain: string
  routes: EndpointRoutes
}

/** Time in which submissions are collected before reports are brought forward, in ms; a review costs each endpoint. */
const POKE_DELAY_MS = 2

/** How long an entry keeps tokens of another domain after its own domain has enough again, in ms. */
const REMOTE_IDLE_MS = 10_000

/** Holds the entry's slot tokens: those of its own failure domain always, others only while that one is short. */
export class SlotsReporter {
  readonly #parts: SlotsReporterParts
  readonly #domains = new Map<string, { slots: DomainSlots, neededAt: number }>()
  readonly #shortSince = new Map<string, number>()
  #demands = new Map<string, SlotDemand[]>()
  #timer: ReturnType<typeof setInterval> | undefined
  #pokeTimer: ReturnType<typeof setTimeout> | undefined
  #leaving = false

  constructor (parts: SlotsReporterParts) {
    this.#parts = parts
  }

  start (): void {
    this.#timer = setInterval(() => this.#review(), SHORT_MS)
    this.#review()
  }

  /** Requests wait: reports go out as soon as they are due. */
  poke (): void {
    if (this.#leaving || this.#pokeTimer !== undefined) return
    this.#pokeTimer = setTimeout(() => {
      this.#pokeTimer = undefined
      if (this.#leaving) return
      this.#review()
      for (const { slots } of this.#domains.values()) slots.poke()
    }, POKE_DELAY_MS)
  }

  /** The allocator of a failure domain asks for a report at once. */
  notify (failureDomain: string, epoch: number): void {
    if (!this.#leaving) this.#domains.get(failureDomain)?.slots.notify(epoch)
  }

  /** Failure domains whose allocator does not answer. */
  unreachable (): string[] {
    return [...this.#domains].filter(([, { slots }]) => !slots.reachable).map(([domain]) => domain)
  }

  /** Whether an allocator answers that could grant tokens. */
  get reachesAllocator (): boolean {
    return [...this.#domains.values()].some(({ slots }) => slots.reachable)
  }

  /** Gives all tokens back and stops. */
  async close (withinMs: number): Promise<void> {
    this.#leaving = true
    clearInterval(this.#timer)
    clearTimeout(this.#pokeTimer)
    await Promise.all([...this.#domains.values()].map(async ({ slots }) => await slots.giveBack(withinMs)))
  }

  #review (): void {
    const now = performance.now()
    this.#demands = chooseSlotDomains(this.#parts.ownDomain, this.#shortages(now), now)
    for (const domain of this.#demands.keys()) this.#need(domain, now)
    for (const [domain, { slots, neededAt }] of this.#domains) {
      if (domain !== this.#parts.ownDomain && now - neededAt >= REMOTE_IDLE_MS) slots.leave()
    }
  }

  #shortages (now: number) {
    const { routes, ownDomain } = this.#parts
    return routes.endpoints().map(({ id, runners }) => {
      const task = routes.find(id)
      const waiting = task?.waiting() ?? 0
      const spare = (task?.use() ?? []).filter((use) => use.failureDomain === ownDomain)
        .reduce((sum, { held, inUse }) => sum + held - inUse, 0)
      if (waiting === 0 || spare > 0) this.#shortSince.delete(id)
      else if (!this.#shortSince.has(id)) this.#shortSince.set(id, now)
      const failureDomains = [...new Set(runners.map(({ failureDomain }) => failureDomain))]
      return { endpoint: id, waiting, failureDomains, shortSince: this.#shortSince.get(id) }
    })
  }

  #need (domain: string, now: number): void {
    const known = this.#domains.get(domain)
    if (known !== undefined) {
      known.neededAt = now
      known.slots.want()
      return
    }
    const { ownDomain, routes, ...parts } = this.#parts
    const slots = new DomainSlots({
      ...parts,
      failureDomain: domain,
      routes: () => routes.all(),
      demands: () => this.#demands.get(domain) ?? []
    })
    this.#domains.set(domain, { slots, neededAt: now })
    slots.poke()
  }
}
