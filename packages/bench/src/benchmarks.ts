import { measureCapacity } from './measureCapacity/index.ts'
import { runPacking } from './packing/index.ts'
import { runPlacement } from './placement/index.ts'
import { runPlacementMemory } from './placementMemory/index.ts'
import { measureRouting } from './measureRouting/index.ts'
import { measureSlots } from './measureSlots/index.ts'

/** A benchmark reports each case as a row of named figures; units are part of the names. */
export type Benchmark = (report: (row: Record<string, string | number>) => void) => Promise<void> | void

export const benchmarks: Record<string, Benchmark> = {
  placement: runPlacement,
  packing: runPacking,
  'placement-memory': runPlacementMemory,
  routing: measureRouting,
  slots: measureSlots,
  capacity: measureCapacity
}

export type BenchmarkName = string
