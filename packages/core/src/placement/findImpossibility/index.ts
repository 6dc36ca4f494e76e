import type { Resources } from '@gypsumspring/protocol'
import type { TaskGroup } from '../../types.ts'
import { addScaled, countFitting, formatResources, fits, ZERO_RESOURCES } from '../_lib/resources.ts'
import type { CapacityShape } from '../types.ts'

/**
 * Finds why a group can never run on these workers within this quota, even if nothing else runs. Unavailable workers
 * count, since they may become available again. In a cell without workers no group is impossible.
 *
 * @param group - The group to check.
 * @param shapes - All workers of the cell, counted by capacity.
 * @param quota - Quota of the team; undefined when it has none.
 * @returns The reason as a sentence, or undefined when the group can run.
 * @example
 * findImpossibility(group, [], undefined) // undefined
 */
export function findImpossibility (
  group: TaskGroup, shapes: Iterable<CapacityShape>, quota: Resources | undefined
): string | undefined {
  const allShapes = [...shapes]
  if (allShapes.length === 0) return undefined
  const need = group.resources
  const taskCount = group.kind === 'gang' ? group.tasks.length : 1
  const needed = addScaled(ZERO_RESOURCES, need, taskCount)
  if (quota !== undefined && !fits(needed, quota)) {
    const subject = taskCount > 1 ? `the gang of ${taskCount} tasks needs` : 'a task needs'
    return `${subject} ${formatResources(needed)}, more than the whole quota of team ${group.team}: ${formatResources(quota)}`
  }
  const allowed = allShapes.filter((shape) => group.failureDomains?.includes(shape.failureDomain) ?? true)
  const scope = group.failureDomains === undefined ? 'the cell' : `failure domains ${group.failureDomains.join(', ')}`
  if (allowed.length === 0) return `no worker is in ${scope}`
  const maxTasks = allowed.reduce((sum, shape) => sum + shape.count * countFitting(need, shape.capacity), 0)
  if (maxTasks === 0) return `a task needs ${formatResources(need)}, more than any worker in ${scope} has`
  if (maxTasks < taskCount) return `the gang has ${taskCount} tasks, and all workers in ${scope} together hold ${maxTasks}`
  return undefined
}
