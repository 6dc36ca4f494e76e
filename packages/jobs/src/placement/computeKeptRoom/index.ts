import type { StepInstance, TaskInstance } from '../../model/index.ts'
import type { Demand } from '../../types.ts'
import { NO_DEMAND, type WorkerState } from '../../workers/WorkerState.ts'
import { addDemand } from '../addDemand/index.ts'

/**
 * Computes the room that has to stay free on a worker for a task that waits until others there have ended. What is free
 * beyond that can be used without delaying it.
 *
 * @param step - Step of the task that waits.
 * @param worker - A worker without room for it.
 * @param now - Monotonic time, in ms.
 * @returns What the task needs beyond the resources of the tasks that have to end first.
 */
export function computeKeptRoom (step: StepInstance, worker: WorkerState, now: number): Demand {
  const { spec } = step
  const byEnd = [...worker.lingering.keys(), ...[...worker.tasks].sort((a, b) => expectEnd(a, now) - expectEnd(b, now))]
  const ending: TaskInstance[] = []
  let change = NO_DEMAND
  for (const task of byEnd) {
    if (worker.hasRoom(spec, change)) break
    ending.push(task)
    change = addDemand(change, task.step.spec, -1)
  }
  // Some of them are too small to matter: there is room without their end as soon as the larger ones have ended.
  for (const task of ending) {
    const rest = addDemand(change, task.step.spec, 1)
    if (worker.hasRoom(spec, rest)) change = rest
  }
  const { cpuMillis, memoryMb, accelerators } = addDemand(change, spec, 1)
  return {
    cpuMillis: Math.max(0, cpuMillis), memoryMb: Math.max(0, memoryMb), accelerators: Math.max(0, accelerators)
  }
}

/** Monotonic time at which a run is expected to end, in ms. */
function expectEnd ({ status, startedAt, step }: TaskInstance, now: number): number {
  const { expectedRunMs } = step
  if (status === 'stopping') return now
  if (step.spec.longRunning) return Number.MAX_SAFE_INTEGER
  return status === 'running' ? Math.max(now, startedAt + expectedRunMs) : now + expectedRunMs
}
