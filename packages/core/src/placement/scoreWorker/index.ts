import type { Resources } from '@gypsumspring/protocol'

/**
 * Scores a worker for a task; lower is better. The score is what stays free, as a sum of shares of the capacity (best
 * fit), plus a penalty for measured use above the declared amounts, which matters less the more packing weighs.
 *
 * @param free amounts free on the worker
 * @param need of the task
 * @param capacity of the worker
 * @param measured use of its tasks; the declared amounts for tasks without a report
 * @param packingWeight 0 to 1
 * @returns the score, no unit
 * @example
 * const worker = { cpuMillis: 2000, memoryMb: 1024, accelerators: 0 }
 * scoreWorker(worker, worker, worker, { cpuMillis: 0, memoryMb: 0, accelerators: 0 }, 1) // 0
 */
export function scoreWorker (
  free: Resources, need: Resources, capacity: Resources, measured: Resources, packingWeight: number
): number {
  const cpu = Math.max(1, capacity.cpuMillis)
  const memory = Math.max(1, capacity.memoryMb)
  const left = (free.cpuMillis - need.cpuMillis) / cpu + (free.memoryMb - need.memoryMb) / memory +
    (free.accelerators - need.accelerators) / Math.max(1, capacity.accelerators)
  const excess = Math.max(
    0,
    (measured.cpuMillis - (capacity.cpuMillis - free.cpuMillis)) / cpu,
    (measured.memoryMb - (capacity.memoryMb - free.memoryMb)) / memory
  )
  return left + (1 - packingWeight) * excess
}
