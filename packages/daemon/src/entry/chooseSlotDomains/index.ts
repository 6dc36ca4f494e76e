import type { SlotDemand } from '@gypsumspring/protocol'

/** How an endpoint stands in this entry. */
export interface EndpointShortage {
  endpoint: string
  waiting: number
  /** Failure domains in which the endpoint has runners. */
  failureDomains: string[]
  /** Since when requests wait although no token of the own domain is free, in ms; undefined while that is not so. */
  shortSince: number | undefined
}

/** How long the own domain has to be short before the next other domain is asked for tokens, in ms. */
export const SHORT_MS = 100

/**
 * Chooses the other failure domains that an entry asks for tokens: none while its own domain has enough, then one more
 * for each period of shortage, so that a short peak does not register the entry everywhere.
 *
 * @param own - Failure domain of the entry.
 * @param shortages - State of each endpoint.
 * @param now - Time in ms.
 * @returns The demands by failure domain, own domain included.
 *
 * @example
 * chooseSlotDomains('a', [{ endpoint: 'e', waiting: 2, failureDomains: ['a', 'b'], shortSince: 0 }], 100)
 */
export function chooseSlotDomains (
  own: string, shortages: EndpointShortage[], now: number
): Map<string, SlotDemand[]> {
  const demands = new Map<string, SlotDemand[]>([[own, []]])
  for (const { endpoint, waiting, failureDomains, shortSince } of shortages) {
    const asked = failureDomains.includes(own) ? [own] : []
    if (shortSince !== undefined) {
      // Without runners in the own domain there is nothing to wait for.
      const periods = Math.floor((now - shortSince) / SHORT_MS) + (asked.length === 0 ? 1 : 0)
      asked.push(...rotate(failureDomains, own).slice(0, periods))
    }
    for (const domain of asked) demands.set(domain, [...(demands.get(domain) ?? []), { endpoint, waiting }])
  }
  return demands
}

/** The other domains in name order, starting after the own one, so that short domains do not all ask the same one. */
function rotate (domains: string[], own: string): string[] {
  const others = [...new Set(domains)].filter((domain) => domain !== own).sort()
  return [...others.filter((domain) => domain > own), ...others.filter((domain) => domain < own)]
}
