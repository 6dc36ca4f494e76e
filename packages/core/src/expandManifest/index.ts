import { createHash } from 'node:crypto'
import type { Manifest, Workload } from '@gypsumspring/protocol'
import { chooseByRendezvousHash } from '../chooseByRendezvousHash/index.ts'
import type { RetryPolicy } from '../decideRetry/index.ts'
import type { TaskGroup } from '../types.ts'

/** A task group and the properties of its workload that the scheduler needs beyond placement. */
export interface GroupDefinition extends Omit<TaskGroup, 'submittedAt'> {
  scope: string
  workload: string
  /**
   * Digest of the kind and payload of a batch run or gang; a finished one runs again only under a new generation.
   * Constant for services, which get rolling updates instead.
   */
  generation: string
  /** Digest of the resources and payload; running tasks of another revision are replaced by a rolling update. */
  revision: string
  policy: RetryPolicy
  payload: Record<string, unknown>
  cancelled: boolean
}

const DEFAULT_RETRY_LIMIT = 3

interface ExpandOptions {
  /** Ids of cancelled workloads of the scope. Default: none. */
  cancelled?: ReadonlySet<string>
  /** Selects the groups to return. Others are left out before their task ids are created. Default: all groups. */
  isRelevant?: (group: Pick<GroupDefinition, 'id' | 'failureDomains'>) => boolean
}

/**
 * Expands the workloads of one scope into task groups: one group for a batch run or a gang, and one per failure domain
 * for a service.
 *
 * @param manifest - The manifest in force for the scope.
 * @param failureDomains - All failure domains of the cell; a service that names none runs in each of them.
 * @param options - Cancelled workloads, and which groups to return.
 * @returns The groups. A change of the number of tasks of a service adds or removes only the last tasks of its groups.
 *
 * @example
 * expandManifest(manifest, ['hall-a', 'hall-b'])
 */
export function expandManifest (
  manifest: Manifest, failureDomains: string[], options: ExpandOptions = {}
): GroupDefinition[] {
  const { cancelled = new Set(), isRelevant = () => true } = options
  return (manifest.workloads ?? []).flatMap((workload) => {
    const base = readWorkloadProperties(manifest.scope, workload, cancelled.has(workload.id))
    return expandWorkload(base, workload, failureDomains, isRelevant)
  })
}

function digest (value: unknown): string {
  return createHash('sha1').update(JSON.stringify(value)).digest('hex').slice(0, 12)
}

type WorkloadProperties = Omit<GroupDefinition, 'id' | 'tasks'>

function readWorkloadProperties (scope: string, workload: Workload, cancelled: boolean): WorkloadProperties {
  const { id, team, kind, resources, failureDomains, estimatedRunSeconds } = workload
  const payload = workload.payload ?? {}
  return {
    scope,
    workload: id,
    team,
    kind,
    resources,
    payload,
    cancelled,
    priority: workload.priority ?? 'normal',
    spread: workload.spread ?? 'none',
    preemptible: workload.preemptible ?? false,
    generation: kind === 'service' ? 'service' : digest([kind, payload]),
    revision: digest([resources, payload]),
    policy: {
      kind,
      restart: workload.restart ?? (kind === 'service' ? 'always' : 'on-failure'),
      retryLimit: workload.retryLimit ?? DEFAULT_RETRY_LIMIT
    },
    ...(failureDomains === undefined ? {} : { failureDomains }),
    ...(estimatedRunSeconds === undefined ? {} : { estimatedRunMs: estimatedRunSeconds * 1000 })
  }
}

function expandWorkload (
  base: WorkloadProperties, workload: Workload, failureDomains: string[],
  isRelevant: Required<ExpandOptions>['isRelevant']
): GroupDefinition[] {
  const id = `${base.scope}/${base.workload}`
  if (base.kind !== 'service') {
    return isRelevant({ ...base, id }) ? [{ ...base, id, tasks: createTaskIds(id, workload.tasks) }] : []
  }
  const domains = (workload.failureDomains ?? failureDomains).toSorted()
  const count = new Map(domains.map((domain) => [domain, Math.floor(workload.tasks / domains.length)]))
  // Chooses the domains for the remainder per workload, so that the first domain does not get every remainder.
  let remaining = domains
  for (let rest = workload.tasks % Math.max(1, domains.length); rest > 0; rest--) {
    const chosen = chooseByRendezvousHash(id, remaining) as string
    count.set(chosen, (count.get(chosen) ?? 0) + 1)
    remaining = remaining.filter((domain) => domain !== chosen)
  }
  return [...count].flatMap(([domain, tasks]) => {
    const group = { ...base, id: `${id}@${domain}`, failureDomains: [domain] }
    return tasks > 0 && isRelevant(group) ? [{ ...group, tasks: createTaskIds(group.id, tasks) }] : []
  })
}

function createTaskIds (group: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${group}/${index}`)
}
