import type { Demand } from '../../types.ts'
import { RESOURCES } from '../_lib/resources.ts'

/** Factor of a cap up to which an account may have running when one more of its tasks starts; the rules of the API. */
const TOLERANCE = 1.1

/**
 * Decides whether a task that was assigned must not start any more: the cap may have been lowered since.
 *
 * @param used - What the account has running, or may have running, with the task.
 * @param cap - Its cap; 0 of a resource means no limit.
 * @param demand - What the task needs.
 * @returns Whether the others alone are above the cap and its tolerance.
 *
 * @example
 * const demand = { cpuMillis: 1_000, memoryMb: 0, accelerators: 0 }
 * exceedsCap({ ...demand, cpuMillis: 4_000 }, { ...demand, cpuMillis: 2_000 }, demand) // true
 */
export function exceedsCap (used: Demand, cap: Demand, demand: Demand): boolean {
  return RESOURCES.some((resource) => cap[resource] > 0 && demand[resource] > 0 &&
    used[resource] - demand[resource] > TOLERANCE * cap[resource])
}
