import { createHash } from 'node:crypto'
import type { Manifest, Workload } from '@gypsumspring/protocol'
import { chooseShard } from '../chooseShard/index.ts'
import type { RetryPolicy } from '../decideAfterEnd/index.ts'
import type { TaskGroup } from '../types.ts'

/** A task group with what the scheduler needs beyond placement. */
export interface GroupDefinition extends Omit<TaskGroup, 'submittedAt'> {
  scope: string
  workload: string
  /**
   * Changes with the kind or payload of a batch run or gang; a finished one runs again only under a new generation.
   * Constant for services, which are rolled instead.
   */
  generation: string
  /** Changes with resources or payload; running tasks of another revision are rolled. */
  revision: string
  policy: RetryPolicy
  payload: Record<string, unknown>
  cancelled: boolean
}

const DEFAULT_RETRY_LIMIT = 3

interface DivideOptions {
  /** Ids of cancelled workloads of the scope. Default: none. */
  cancelled?: ReadonlySet<string>
  /** Tells whether a group is wanted at all; the others are left out before their tasks are named. Default: all. */
  isRelevant?: (group: Pick<GroupDefinition, 'id' | 'failureDomains'>) => boolean
}

/**
 * Divides the workloads of one scope into task groups: a batch run or a gang is one group, a service has one per
 * failure domain.
 *
 * @param manifest - The manifest in force for the scope.
 * @param failureDomains - All failure domains of the cell; a service that names none runs in each of them.
 * @param options - Cancelled workloads and the groups wanted.
 * @returns The groups. Raising or lowering the tasks of a service changes the last tasks of its groups only.
 *
 * @example
 * divideManifest(manifest, ['hall-a', 'hall-b'])
 */
export function divideManifest (
  manifest: Manifest, failureDomains: string[], options: DivideOptions = {}
): GroupDefinition[] {
  const { cancelled = new Set(), isRelevant = () => true } = options
  return (manifest.workloads ?? []).flatMap((workload) => {
    const base = describeWorkload(manifest.scope, workload, cancelled.has(workload.id))
    return divideWorkload(base, workload, failureDomains, isRelevant)
  })
}

function digest (value: unknown): string {
  return createHash('sha1').update(JSON.stringify(value)).digest('hex').slice(0, 12)
}

type Base = Omit<GroupDefinition, 'id' | 'tasks'>

function describeWorkload (scope: string, workload: Workload, cancelled: boolean): Base {
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

function divideWorkload (
  base: Base, workload: Workload, failureDomains: string[], isRelevant: Required<DivideOptions>['isRelevant']
): GroupDefinition[] {
  const id = `${base.scope}/${base.workload}`
  if (base.kind !== 'service') {
    return isRelevant({ ...base, id }) ? [{ ...base, id, tasks: nameTasks(id, workload.tasks) }] : []
  }
  const domains = (workload.failureDomains ?? failureDomains).toSorted()
  const count = new Map(domains.map((domain) => [domain, Math.floor(workload.tasks / domains.length)]))
  // The remainder goes to domains chosen per workload, so that the first domain does not get it of every workload.
  let open = domains
  for (let rest = workload.tasks % Math.max(1, domains.length); rest > 0; rest--) {
    const chosen = chooseShard(id, open) as string
    count.set(chosen, (count.get(chosen) ?? 0) + 1)
    open = open.filter((domain) => domain !== chosen)
  }
  return [...count].flatMap(([domain, tasks]) => {
    const group = { ...base, id: `${id}@${domain}`, failureDomains: [domain] }
    return tasks > 0 && isRelevant(group) ? [{ ...group, tasks: nameTasks(group.id, tasks) }] : []
  })
}

function nameTasks (group: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${group}/${index}`)
}
