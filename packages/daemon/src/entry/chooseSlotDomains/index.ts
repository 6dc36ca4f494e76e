import type { SlotDemand } from '@gypsumspring/protocol'

/** Demand and supply of slot tokens for an endpoint in this entry. */
export interface EndpointSlotState {
  endpoint: string
  waiting: number
  /** Failure domains in which the endpoint has runners. */
  failureDomains: string[]
  /** Time since which requests wait for lack of free tokens of the own domain, in ms; undefined without a shortage. */
  shortageSince: number | undefined
}

/** Duration of a shortage in the own domain after which one more domain is asked for tokens, in ms. */
export const SHORTAGE_PERIOD_MS = 100

/**
 * Chooses the failure domains that an entry asks for tokens: only its own while that has enough, then one more for each
 * period of shortage, so that a short peak does not register the entry everywhere.
 *
 * @param ownDomain - Failure domain of the entry.
 * @param endpoints - State of each endpoint.
 * @param now - Current time in ms.
 * @returns The demands by failure domain, including the own domain.
 *
 * @example
 * chooseSlotDomains('a', [{ endpoint: 'e', waiting: 2, failureDomains: ['a', 'b'], shortageSince: 0 }], 100)
 */
export function chooseSlotDomains (
  ownDomain: string, endpoints: EndpointSlotState[], now: number
): Map<string, SlotDemand[]> {
  const demands = new Map<string, SlotDemand[]>([[ownDomain, []]])
  for (const { endpoint, waiting, failureDomains, shortageSince } of endpoints) {
    const asked = failureDomains.includes(ownDomain) ? [ownDomain] : []
    if (shortageSince !== undefined) {
      // Without runners in its own domain the entry asks another domain at once.
      const periods = Math.floor((now - shortageSince) / SHORTAGE_PERIOD_MS) + (asked.length === 0 ? 1 : 0)
      asked.push(...rotateOtherDomains(failureDomains, ownDomain).slice(0, periods))
    }
    for (const domain of asked) demands.set(domain, [...(demands.get(domain) ?? []), { endpoint, waiting }])
  }
  return demands
}

/** Sorts the other domains by name, starting after the own one, so that domains do not all ask the same one first. */
function rotateOtherDomains (domains: string[], ownDomain: string): string[] {
  const others = [...new Set(domains)].filter((domain) => domain !== ownDomain).sort()
  return [...others.filter((domain) => domain > ownDomain), ...others.filter((domain) => domain < ownDomain)]
}
