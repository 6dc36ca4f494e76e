import type { Demand } from '../../types.ts'
import { RESOURCES } from '../_lib/resources.ts'

/**
 * Share of a cap up to which a task starts although the cap does not allow it. A task that is larger than the rest of
 * the cap would never start otherwise while others of its account come and go.
 */
const SURE_SHARE = 0.5

/**
 * Decides whether the cap of a client account lets tasks start.
 *
 * @param used - What the account has running, or may have running.
 * @param cap - Its cap; 0 of a resource means no limit.
 * @param demand - What each of the tasks needs.
 * @param count - Number of tasks that start together. Default: 1.
 * @returns Whether they may all start. What runs then is above the cap by less than one task.
 *
 * @example
 * mayStart({ cpuMillis: 9_000, memoryMb: 0, accelerators: 0 }, { cpuMillis: 10_000, memoryMb: 0, accelerators: 0 },
 *   { cpuMillis: 2_000, memoryMb: 0, accelerators: 0 }) // false
 */
export function mayStart (used: Demand, cap: Demand, demand: Demand, count = 1): boolean {
  return RESOURCES.every((resource) => {
    if (cap[resource] === 0 || demand[resource] === 0) return true
    const before = used[resource] + (count - 1) * demand[resource]
    return before + demand[resource] <= cap[resource] ||
      // All but the last of a gang have to fit, so that what runs then is above the cap by less than one task.
      (used[resource] <= SURE_SHARE * cap[resource] && before <= cap[resource])
  })
}
