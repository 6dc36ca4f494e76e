import type { SchemaViolation } from '../../describeSchemaErrors/index.ts'
import type { Manifest } from '../../manifest/index.ts'

/** Finds duplicate IDs and references to teams that the manifest does not declare. */
export function findReferenceViolations (manifest: Manifest): SchemaViolation[] {
  const endpoints = manifest.endpoints ?? []
  const workloads = manifest.workloads ?? []
  const teams = new Set(manifest.teams.map((team) => team.id))
  return [
    ...findDuplicates('/teams', manifest.teams),
    ...findDuplicates('/endpoints', endpoints),
    ...findDuplicates('/workloads', workloads),
    ...endpoints.flatMap((endpoint, index) => findDuplicates(`/endpoints/${index}/runners`, endpoint.runners)),
    ...workloads.flatMap((workload, index) => teams.has(workload.team)
      ? []
      : [{
          path: `/workloads/${index}/team`,
          value: JSON.stringify(workload.team),
          allowed: `a team declared in this manifest: ${[...teams].join(', ')}`
        }])
  ]
}

function findDuplicates (path: string, items: Array<{ id: string }>): SchemaViolation[] {
  const seen = new Set<string>()
  return items.flatMap(({ id }, index) => {
    if (!seen.has(id)) {
      seen.add(id)
      return []
    }
    return [{ path: `${path}/${index}/id`, value: JSON.stringify(id), allowed: 'an ID that is unique in this list' }]
  })
}
