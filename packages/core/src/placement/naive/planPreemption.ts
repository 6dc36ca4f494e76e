import { MAX_PREEMPTION_CANDIDATES } from '../constants/index.ts'
import { addScaled, fits } from '../_lib/resources.ts'
import { allowsDomain, computeVictimCost, isExpectedToStop, isPreemptibleFor } from '../_lib/rules.ts'
import { chooseVictims } from '../chooseVictims/index.ts'
import type { GroupRecord, Reservation, TaskRecord, Victim } from '../types.ts'
import type { CellView, PreemptionPlan } from './types.ts'

/**
 * Chooses the worker with the fewest and cheapest victims for each of `count` tasks. Undefined unless capacity for all
 * of them can be freed.
 */
export function planPreemption (
  view: CellView, group: GroupRecord, count: number, now: number
): PreemptionPlan | undefined {
  const need = group.spec.resources
  const reserved = new Map<string, number>()
  const victims = new Set<TaskRecord>()
  for (let index = 0; index < count; index++) {
    const options: Array<{ worker: string, victims: Victim[], cost: number }> = []
    for (const worker of view.workers) {
      if (worker.isProbing || !allowsDomain(group, worker.node.failureDomain)) continue
      const stopping = worker.tasks.filter((task) => isExpectedToStop(task, now) || victims.has(task))
      const required = addScaled(worker.reserved, need, reserved.get(worker.node.id) ?? 0)
      const expectedFree = stopping.reduce((sum, task) => addScaled(sum, task.group.spec.resources, 1), worker.free)
      const free = addScaled(expectedFree, required, -1)
      if (fits(need, free)) {
        options.splice(0, options.length, { worker: worker.node.id, victims: [], cost: 0 })
        break
      }
      const candidates = worker.tasks
        .filter((task) => isPreemptibleFor(task, group) && !victims.has(task))
        .map((task) => ({ task, resources: task.group.spec.resources, cost: computeVictimCost(task, now) }))
      const chosen = chooseVictims(addScaled(need, free, -1), candidates)
      if (chosen === undefined) continue
      options.push({ worker: worker.node.id, victims: chosen, cost: chosen.reduce((sum, { cost }) => sum + cost, 0) })
      if (options.length >= MAX_PREEMPTION_CANDIDATES) break
    }
    const best = options.sort((a, b) => a.victims.length - b.victims.length || a.cost - b.cost)[0]
    if (best === undefined) return undefined
    reserved.set(best.worker, (reserved.get(best.worker) ?? 0) + 1)
    for (const { task } of best.victims) victims.add(task)
  }
  const reservation: Reservation = { group, tasks: reserved, madeAt: now, startsAt: -Infinity, kind: 'preemption' }
  return { reservation, victims: [...victims] }
}
