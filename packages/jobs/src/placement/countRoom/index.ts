import type { StepInstance } from '../../model/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'

/**
 * Counts the additional tasks of a step that fit on a worker now.
 *
 * @param step - The step.
 * @param worker - The worker.
 * @param held - Number of the step's tasks that are already there.
 * @returns At most the number of tasks of the step.
 */
export function countRoom (step: StepInstance, worker: WorkerState, held: number): number {
  const { demand, fills, maxPerWorker } = step.spec
  const { capacity } = worker.entry
  const limits = [
    maxPerWorker > 0 ? maxPerWorker - held : Infinity,
    fills ? Infinity : countFits(capacity.cpuMillis - worker.usedCpuMillis, demand.cpuMillis),
    countFits(capacity.memoryMb - worker.usedMemoryMb, demand.memoryMb),
    countFits(capacity.accelerators - worker.usedAccelerators, demand.accelerators),
    step.tasks.length
  ]
  return Math.max(0, Math.min(...limits))
}

function countFits (free: number, demand: number): number {
  if (demand > 0) return Math.floor(free / demand)
  return free < 0 ? 0 : Infinity
}
