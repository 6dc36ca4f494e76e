import type { Resources } from '@gypsumspring/protocol'

export const ZERO_RESOURCES: Resources = Object.freeze({ cpuMillis: 0, memoryMb: 0, accelerators: 0 })

/** Tells whether a need fits into the free amount in every dimension. */
export function fits (need: Resources, free: Resources): boolean {
  return need.cpuMillis <= free.cpuMillis && need.memoryMb <= free.memoryMb && need.accelerators <= free.accelerators
}

/** Computes `amount + factor * other` in each dimension. */
export function addScaled (amount: Resources, other: Resources, factor: number): Resources {
  return {
    cpuMillis: amount.cpuMillis + factor * other.cpuMillis,
    memoryMb: amount.memoryMb + factor * other.memoryMb,
    accelerators: amount.accelerators + factor * other.accelerators
  }
}

/** Minimum in each dimension. */
export function minResources (a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators)
  }
}

/** Maximum in each dimension. */
export function maxResources (a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators)
  }
}

/**
 * Dominant share as in dominant resource fairness: the largest ratio of use to limit over the dimensions. A dimension
 * with a limit of 0 counts only when it is used.
 */
export function computeDominantShare (used: Resources, limit: Resources): number {
  return Math.max(
    dimensionShare(used.cpuMillis, limit.cpuMillis),
    dimensionShare(used.memoryMb, limit.memoryMb),
    dimensionShare(used.accelerators, limit.accelerators)
  )
}

function dimensionShare (used: number, limit: number): number {
  return used === 0 ? 0 : used / Math.max(limit, 1)
}

/** Counts the tasks of a need that fit into a capacity. */
export function countFitting (need: Resources, capacity: Resources): number {
  const count = Math.min(
    countInDimension(capacity.cpuMillis, need.cpuMillis),
    countInDimension(capacity.memoryMb, need.memoryMb),
    countInDimension(capacity.accelerators, need.accelerators)
  )
  return Math.max(0, count)
}

function countInDimension (capacity: number, need: number): number {
  return need === 0 ? Number.MAX_SAFE_INTEGER : Math.floor(capacity / need)
}

export function formatResources (amount: Resources): string {
  return `${amount.cpuMillis / 1000} processors, ${amount.memoryMb} MiB, ${amount.accelerators} accelerators`
}
