import type { StepRun } from '../../book/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'

/**
 * Tells whether a worker could run a task of a step if it were empty.
 *
 * @param step - The step.
 * @param worker - The worker.
 * @returns Whether its capacity and labels suffice.
 */
export function couldRun (step: StepRun, { entry }: WorkerState): boolean {
  const { demand, fills, requiredLabel } = step.spec
  return demand.memoryMb <= entry.capacity.memoryMb && demand.accelerators <= entry.capacity.accelerators &&
    (fills || demand.cpuMillis <= entry.capacity.cpuMillis) &&
    (requiredLabel === '' || entry.labels.includes(requiredLabel))
}
