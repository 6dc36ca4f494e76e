import type { Manifest } from '@gypsumspring/protocol'

/** Returns the failure domains of a manifest's runners in order of their first occurrence. */
export function listFailureDomains (manifest: Manifest): string[] {
  const runners = (manifest.endpoints ?? []).flatMap((endpoint) => endpoint.runners)
  return [...new Set(runners.map(({ failureDomain }) => failureDomain))]
}
