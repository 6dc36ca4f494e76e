import type { Resources } from '@gypsumspring/protocol'

/**
 * Scores a worker by what stays free once a task is placed, as a sum of shares of its capacity: the least is the best
 * fit. Takes numbers, since it runs for each worker that a placement compares.
 *
 * @param remainingCpu thousandths of a processor that stay free
 * @param cpuCapacity capacity of the worker in thousandths of a processor
 * @param remainingMemory MiB that stay free
 * @param memoryCapacity capacity in MiB
 * @param remainingAccelerators accelerators that stay free
 * @param acceleratorCapacity capacity
 * @returns the score from 0 to 3, no unit
 * @example
 * scoreWorker(0, 2000, 512, 1024, 0, 0) // 0.5
 */
export function scoreWorker (
  remainingCpu: number, cpuCapacity: number,
  remainingMemory: number, memoryCapacity: number,
  remainingAccelerators: number, acceleratorCapacity: number
): number {
  return remainingCpu / Math.max(1, cpuCapacity) +
    remainingMemory / Math.max(1, memoryCapacity) +
    remainingAccelerators / Math.max(1, acceleratorCapacity)
}

/**
 * Computes by how much the measured use of a worker's tasks is above what they declared, as a share of the capacity.
 * It worsens the score of the worker the more, the less packing weighs; it never changes what fits.
 *
 * @param measured use of the tasks; the declared amounts for tasks without a report
 * @param free capacity less the declared amounts
 * @param capacity of the worker
 * @returns the larger share of processors and memory, at least 0
 * @example
 * const worker = { cpuMillis: 2000, memoryMb: 1024, accelerators: 0 }
 * computeExcess({ ...worker, cpuMillis: 500 }, worker, worker) // 0.25
 */
export function computeOveruse (measured: Resources, free: Resources, capacity: Resources): number {
  return Math.max(
    0,
    (measured.cpuMillis - (capacity.cpuMillis - free.cpuMillis)) / Math.max(1, capacity.cpuMillis),
    (measured.memoryMb - (capacity.memoryMb - free.memoryMb)) / Math.max(1, capacity.memoryMb)
  )
}
