import { addScaled, fits } from '../_lib/resources.ts'
import { allowsDomain, findAvoidedWorker, findSpreadKey } from '../_lib/rules.ts'
import { computeOveruse, scoreWorker } from '../scoreWorker/index.ts'
import type { GroupRecord } from '../types.ts'
import type { Assignment, CellView, WorkerView } from './types.ts'

/** Assigns `count` tasks of a group one by one, each to the best of all workers. Undefined unless all of them fit. */
export function searchWorkers (
  view: CellView, group: GroupRecord, count: number, mayUseIdle: boolean
): Assignment[] | undefined {
  const need = group.spec.resources
  const assignments: Assignment[] = []
  const assignedTo = ({ node }: WorkerView): number => assignments.filter(({ worker }) => worker === node.id).length
  const freeOn = (worker: WorkerView): WorkerView['free'] => addScaled(worker.free, need, -assignedTo(worker))
  const isIdle = (worker: WorkerView): boolean => worker.tasks.length + assignedTo(worker) === 0
  const avoided = findAvoidedWorker(group)
  const isAvoided = (worker: WorkerView): boolean => worker.node.id === avoided
  const spreadCounts = countSpread(view, group)
  const spreadOf = (worker: WorkerView): number => spreadCounts.get(findSpreadKey(group, worker.node)) ?? 0

  for (let index = 0; index < count; index++) {
    let best: WorkerView | undefined
    for (const worker of view.workers) {
      if (!allowsDomain(group, worker.node.failureDomain)) continue
      if (worker.isProbing && group.spec.kind === 'gang') continue
      if (!mayUseIdle && isIdle(worker)) continue
      if (!fits(need, addScaled(freeOn(worker), worker.reserved, -1))) continue
      if (best === undefined || compare(worker, best) < 0) best = worker
    }
    if (best === undefined) return undefined
    assignments.push({ worker: best.node.id })
    const key = findSpreadKey(group, best.node)
    if (key !== '') spreadCounts.set(key, (spreadCounts.get(key) ?? 0) + 1)
  }
  return assignments

  function compare (a: WorkerView, b: WorkerView): number {
    return Number(isAvoided(a)) - Number(isAvoided(b)) ||
      spreadOf(a) - spreadOf(b) || Number(isIdle(a)) - Number(isIdle(b)) || score(a) - score(b)
  }

  function score (worker: WorkerView): number {
    const { capacity } = worker.node
    const remaining = addScaled(freeOn(worker), need, -1)
    return scoreWorker(
      remaining.cpuMillis, capacity.cpuMillis,
      remaining.memoryMb, capacity.memoryMb,
      remaining.accelerators, capacity.accelerators
    ) + (1 - view.packingWeight) * computeOveruse(worker.measured, worker.free, capacity)
  }
}

/** Counts the placed tasks of the group in each spread domain. */
function countSpread (view: CellView, group: GroupRecord): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { worker } of group.tasks) {
    const key = worker === undefined ? '' : findSpreadKey(group, view.nodes.get(worker)!)
    if (key !== '') counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts
}
