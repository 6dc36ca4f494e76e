import type { Resources } from '@gypsumspring/protocol'
import { addScaled, countFitting } from '../_lib/resources.ts'

export interface ExpectedEnd {
  endsAt: number
  resources: Resources
}

/**
 * Finds the times at which a worker is expected to have capacity for the first, second, ... task of a group.
 *
 * @param free - What is free now, less what is reserved for others; may be negative.
 * @param need - Need of each task.
 * @param ends - Expected ends of the running tasks, in ms, and what they free.
 * @param limit - Maximum number of tasks.
 * @param now - Current time in ms.
 * @returns Times in ms in ascending order, one for each task that fits by then.
 * @example
 * const core = { cpuMillis: 1000, memoryMb: 0, accelerators: 0 }
 * findStartTimes(core, core, [{ endsAt: 50, resources: core }], 9, 10) // [10, 50]
 */
export function findStartTimes (
  free: Resources, need: Resources, ends: ExpectedEnd[], limit: number, now: number
): number[] {
  const times: number[] = []
  let available = free
  const addTimes = (time: number): void => {
    const fitting = Math.min(limit, countFitting(need, available))
    while (times.length < fitting) times.push(time)
  }
  addTimes(now)
  for (const { endsAt, resources } of ends.filter((end) => end.endsAt < Infinity).sort((a, b) => a.endsAt - b.endsAt)) {
    if (times.length >= limit) break
    available = addScaled(available, resources, 1)
    addTimes(endsAt)
  }
  return times
}
