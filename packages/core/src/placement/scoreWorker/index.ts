import type { Resources } from '@gypsumspring/protocol'

/**
 * Best-fit score of a worker: the sum over the dimensions of the share of its capacity that stays free once the task is
 * placed. The lowest score is the best fit. Takes plain numbers, because it runs for every worker that is compared.
 *
 * @param remainingCpu - Processor capacity that stays free, in thousandths of a processor.
 * @param cpuCapacity - Processor capacity of the worker, in thousandths.
 * @param remainingMemory - Memory that stays free, in MiB.
 * @param memoryCapacity - Memory of the worker, in MiB.
 * @param remainingAccelerators - Accelerators that stay free.
 * @param acceleratorCapacity - Number of accelerators.
 * @returns The score, from 0 to 3.
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
 * Computes how far the measured use of a worker's tasks exceeds what they declared, as a share of its capacity. It
 * raises the worker's score, the more so the lower the packing weight, but never changes which tasks fit.
 *
 * @param measured - Measured use of the tasks; the declared amounts for tasks without a usage report.
 * @param free - Capacity less the declared amounts.
 * @param capacity - Capacity of the worker.
 * @returns The larger of the shares of processors and memory, at least 0.
 * @example
 * const worker = { cpuMillis: 2000, memoryMb: 1024, accelerators: 0 }
 * computeOveruse({ ...worker, cpuMillis: 500 }, worker, worker) // 0.25
 */
export function computeOveruse (measured: Resources, free: Resources, capacity: Resources): number {
  return Math.max(
    0,
    (measured.cpuMillis - (capacity.cpuMillis - free.cpuMillis)) / Math.max(1, capacity.cpuMillis),
    (measured.memoryMb - (capacity.memoryMb - free.memoryMb)) / Math.max(1, capacity.memoryMb)
  )
}
