import { measureCapacity } from './measureCapacity/index.ts'
import { measurePacking } from './measurePacking/index.ts'
import { measurePlacement } from './measurePlacement/index.ts'
import { measurePlacementMemory } from './measurePlacementMemory/index.ts'
import { measurePlacementRounds } from './measurePlacementRounds/index.ts'
import { measureRouting } from './measureRouting/index.ts'
import { measureScarcity } from './measureScarcity/index.ts'
import { measureSlots } from './measureSlots/index.ts'

/** Runs a benchmark and reports each case as a row of named figures. The unit of a figure is the suffix of its name. */
export type Benchmark = (report: (row: Record<string, string | number>) => void) => Promise<void> | void

/** The benchmarks by their names on the command line. */
export const benchmarks: Record<string, Benchmark> = {
  placement: measurePlacement,
  packing: measurePacking,
  'placement-memory': measurePlacementMemory,
  'placement-rounds': measurePlacementRounds,
  routing: measureRouting,
  slots: measureSlots,
  scarcity: measureScarcity,
  capacity: measureCapacity
}
