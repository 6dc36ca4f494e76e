import type { Manifest } from '@gypsumspring/protocol'

/** Failure domains that a manifest's runners are in, in order of first mention. */
export function listFailureDomains (manifest: Manifest): string[] {
  const runners = (manifest.endpoints ?? []).flatMap((endpoint) => endpoint.runners)
  return [...new Set(runners.map(({ failureDomain }) => failureDomain))]
}
