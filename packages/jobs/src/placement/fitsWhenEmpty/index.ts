import type { StepInstance } from '../../model/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'

/**
 * Tells whether a worker without any tasks could run a task of a step.
 *
 * @param step - The step.
 * @param worker - The worker.
 * @returns Whether the worker's capacity and labels suffice.
 */
export function fitsWhenEmpty (step: StepInstance, { entry }: WorkerState): boolean {
  const { demand, fills, requiredLabel } = step.spec
  return demand.memoryMb <= entry.capacity.memoryMb && demand.accelerators <= entry.capacity.accelerators &&
    (fills || demand.cpuMillis <= entry.capacity.cpuMillis) &&
    (requiredLabel === '' || entry.labels.includes(requiredLabel))
}
