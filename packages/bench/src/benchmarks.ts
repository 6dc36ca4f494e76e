import { measureRouting } from './measureRouting/index.ts'
import { measureSlots } from './measureSlots/index.ts'

/** A benchmark reports each case as a row of named figures; units are part of the names. */
export type Benchmark = (report: (row: Record<string, string | number>) => void) => Promise<void> | void

export const benchmarks: Record<string, Benchmark> = {
  routing: measureRouting,
  slots: measureSlots
}

export type BenchmarkName = string
