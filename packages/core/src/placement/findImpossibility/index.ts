import type { Resources } from '@gypsumspring/protocol'
import type { TaskGroup } from '../../types.ts'
import { addScaled, countFitting, describeResources, fits, NOTHING } from '../_lib/resources.ts'
import type { CapacityShape } from '../types.ts'

/**
 * Finds why a group can never run on these workers with this quota, whatever else runs. Unavailable workers count,
 * since they may return. A cell without workers makes nothing impossible.
 *
 * @param group group to check
 * @param shapes workers of the cell
 * @param quota of the team; undefined when it has none
 * @returns the reason as a sentence, or undefined when the group can run
 * @example
 * findImpossibility(group, [], undefined) // undefined
 */
export function findImpossibility (
  group: TaskGroup, shapes: Iterable<CapacityShape>, quota: Resources | undefined
): string | undefined {
  const all = [...shapes]
  if (all.length === 0) return undefined
  const need = group.resources
  const tasks = group.kind === 'gang' ? group.tasks.length : 1
  const needed = addScaled(NOTHING, need, tasks)
  if (quota !== undefined && !fits(needed, quota)) {
    const subject = tasks > 1 ? `the gang of ${tasks} tasks needs` : 'a task needs'
    return `${subject} ${describeResources(needed)}, more than the whole quota of team ${group.team}: ${describeResources(quota)}`
  }
  const allowed = all.filter((shape) => group.failureDomains?.includes(shape.failureDomain) ?? true)
  const places = group.failureDomains === undefined ? 'the cell' : `failure domains ${group.failureDomains.join(', ')}`
  if (allowed.length === 0) return `no worker is in ${places}`
  const room = allowed.reduce((sum, shape) => sum + shape.count * countFitting(need, shape.capacity), 0)
  if (room === 0) return `a task needs ${describeResources(need)}, more than any worker in ${places} has`
  if (room < tasks) return `the gang has ${tasks} tasks, and all workers in ${places} together hold ${room}`
  return undefined
}
