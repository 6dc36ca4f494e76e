import type { Demand, Step } from '../../types.ts'

/**
 * Adds the demand of a task to a sum of resources, or subtracts it. Filler tasks count no CPU.
 *
 * @param sum - The resources so far.
 * @param step - The step of the task.
 * @param sign - 1 to add, -1 to subtract.
 * @returns The new sum.
 */
export function addDemand (sum: Demand, { demand, fills }: Pick<Step, 'demand' | 'fills'>, sign: 1 | -1): Demand {
  return {
    cpuMillis: sum.cpuMillis + (fills ? 0 : sign * demand.cpuMillis),
    memoryMb: sum.memoryMb + sign * demand.memoryMb,
    accelerators: sum.accelerators + sign * demand.accelerators
  }
}
