import { createHash } from 'node:crypto'
import type { Configuration, Workload } from '@gypsumspring/protocol'
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

/**
 * Divides a configuration into task groups: a batch run or a gang is one group, a service has one per failure domain.
 *
 * @param configuration - The configuration in force.
 * @param failureDomains - All failure domains of the cell; a service that names none runs in each of them.
 * @returns The groups by id. Raising or lowering the tasks of a service changes the last tasks of its groups only.
 *
 * @example
 * divideConfiguration(configuration, ['hall-a', 'hall-b']).get('scope/index')
 */
export function divideConfiguration (
  configuration: Configuration, failureDomains: string[]
): Map<string, GroupDefinition> {
  const groups = new Map<string, GroupDefinition>()
  const cancelled = new Set(
    configuration.index.operations.cancelledWorkloads.map(({ scope, workload }) => `${scope}/${workload}`))
  for (const [scope, manifest] of Object.entries(configuration.manifests)) {
    for (const workload of manifest.workloads ?? []) {
      const base = describeWorkload(scope, workload, cancelled.has(`${scope}/${workload.id}`))
      for (const group of divideWorkload(base, workload, failureDomains)) groups.set(group.id, group)
    }
  }
  return groups
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

function divideWorkload (base: Base, workload: Workload, failureDomains: string[]): GroupDefinition[] {
  const id = `${base.scope}/${base.workload}`
  if (base.kind !== 'service') return [{ ...base, id, tasks: nameTasks(id, workload.tasks) }]
  const domains = (workload.failureDomains ?? failureDomains).toSorted()
  const count = new Map(domains.map((domain) => [domain, Math.floor(workload.tasks / domains.length)]))
  // The remainder goes to domains chosen per workload, so that the first domain does not get it of every workload.
  let open = domains
  for (let rest = workload.tasks % Math.max(1, domains.length); rest > 0; rest--) {
    const chosen = chooseShard(id, open) as string
    count.set(chosen, (count.get(chosen) ?? 0) + 1)
    open = open.filter((domain) => domain !== chosen)
  }
  return [...count].filter(([, tasks]) => tasks > 0).map(([domain, tasks]) => {
    const group = `${id}@${domain}`
    return { ...base, id: group, failureDomains: [domain], tasks: nameTasks(group, tasks) }
  })
}

function nameTasks (group: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${group}/${index}`)
}
