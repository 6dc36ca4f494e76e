import type { SlotDemand } from '@gypsumspring/protocol'
import { chooseSlotDomains, SHORTAGE_PERIOD_MS } from '../chooseSlotDomains/index.ts'
import { DomainSlotClient, type DomainSlotClientOptions } from '../domainSlotClient/index.ts'
import type { EndpointDispatchers } from '../endpointDispatchers/index.ts'

export interface SlotManagerOptions extends Omit<DomainSlotClientOptions, 'failureDomain' | 'dispatchers' | 'demands'> {
  ownDomain: string
  dispatchers: EndpointDispatchers
}

/** Time for which submissions are batched before a report, in ms, since each update visits all endpoints. */
const REPORT_DELAY_MS = 2

/** Time for which tokens of another domain are kept after they were last needed, in ms. */
const REMOTE_IDLE_TIMEOUT_MS = 10_000

/** Requests slot tokens for the entry: always from its own failure domain, and from others during a shortage. */
export class SlotManager {
  readonly #options: SlotManagerOptions
  readonly #clients = new Map<string, { client: DomainSlotClient, neededAt: number }>()
  readonly #shortageSince = new Map<string, number>()
  #demands = new Map<string, SlotDemand[]>()
  #timer: ReturnType<typeof setInterval> | undefined
  #reportTimer: ReturnType<typeof setTimeout> | undefined
  #closing = false

  constructor (options: SlotManagerOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = setInterval(() => this.#updateClients(), SHORTAGE_PERIOD_MS)
    this.#updateClients()
  }

  /** Sends reports as soon as they are due. Called when requests are waiting. */
  reportSoon (): void {
    if (this.#closing || this.#reportTimer !== undefined) return
    this.#reportTimer = setTimeout(() => {
      this.#reportTimer = undefined
      if (this.#closing) return
      this.#updateClients()
      for (const { client } of this.#clients.values()) client.scheduleReport()
    }, REPORT_DELAY_MS)
  }

  /** Handles the request of a failure domain's allocator for an immediate report. */
  notify (failureDomain: string, epoch: number): void {
    if (!this.#closing) this.#clients.get(failureDomain)?.client.notify(epoch)
  }

  /** Failure domains whose allocator is unknown or does not respond. */
  unreachableDomains (): string[] {
    return [...this.#clients].filter(([, { client }]) => !client.reachable).map(([domain]) => domain)
  }

  /** Whether at least one allocator responds, so that tokens can be granted. */
  get hasReachableAllocator (): boolean {
    return [...this.#clients.values()].some(({ client }) => client.reachable)
  }

  /** Returns all tokens within a time limit and stops. */
  async close (withinMs: number): Promise<void> {
    this.#closing = true
    clearInterval(this.#timer)
    clearTimeout(this.#reportTimer)
    await Promise.all([...this.#clients.values()].map(async ({ client }) => await client.returnAll(withinMs)))
  }

  #updateClients (): void {
    const now = performance.now()
    this.#demands = chooseSlotDomains(this.#options.ownDomain, this.#listSlotStates(now), now)
    for (const domain of this.#demands.keys()) this.#ensureClient(domain, now)
    for (const [domain, { client, neededAt }] of this.#clients) {
      if (domain !== this.#options.ownDomain && now - neededAt >= REMOTE_IDLE_TIMEOUT_MS) client.startReturning()
    }
  }

  #listSlotStates (now: number) {
    const { dispatchers, ownDomain } = this.#options
    return dispatchers.endpoints().map(({ id, runners }) => {
      const dispatcher = dispatchers.find(id)
      const waiting = dispatcher?.waiting() ?? 0
      const spare = (dispatcher?.listSlotUsage() ?? []).filter((use) => use.failureDomain === ownDomain)
        .reduce((sum, { held, inUse }) => sum + held - inUse, 0)
      if (waiting === 0 || spare > 0) this.#shortageSince.delete(id)
      else if (!this.#shortageSince.has(id)) this.#shortageSince.set(id, now)
      const failureDomains = [...new Set(runners.map(({ failureDomain }) => failureDomain))]
      return { endpoint: id, waiting, failureDomains, shortageSince: this.#shortageSince.get(id) }
    })
  }

  #ensureClient (domain: string, now: number): void {
    const existing = this.#clients.get(domain)
    if (existing !== undefined) {
      existing.neededAt = now
      existing.client.resume()
      return
    }
    const { ownDomain, dispatchers, ...options } = this.#options
    const client = new DomainSlotClient({
      ...options,
      failureDomain: domain,
      dispatchers: () => dispatchers.all(),
      demands: () => this.#demands.get(domain) ?? []
    })
    this.#clients.set(domain, { client, neededAt: now })
    client.scheduleReport()
  }
}
