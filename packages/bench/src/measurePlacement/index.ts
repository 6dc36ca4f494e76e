import { NaivePlacer, type Placer } from '@gypsumspring/core'
import { build, type Histogram } from 'hdr-histogram-js'
import type { Benchmark } from '../benchmarks.ts'
import { CellBuilder } from './_lib/CellBuilder.ts'
import { createCell, fillCell, listPlacements, type BenchmarkCell } from './_lib/fillCell.ts'

const SEED = 24000
const WORKER_COUNTS = [30, 3000, 24000]
const FILL_RATIOS = [0.5, 0.95]
const WARM_UP_MS = 500
const MEASURED_MS = 2000
const NAIVE_MEASURED_MS = 1000
const MAX_RECORDED_NS = 2_000_000_000

interface CycleMeasurements {
  decisions: number
  elapsedMs: number
  /** Durations of the cycles in ns. */
  histogram: Histogram
}

/**
 * Measures placement decisions in the steady state of a cell, with the indexed and the naive placer. Each cycle
 * releases a random task, submits a new one and makes a decision.
 *
 * @param report - Receives a row for each number of workers and share of used processors.
 *
 * @example
 * measurePlacement(console.log)
 */
export const measurePlacement: Benchmark = (report) => {
  for (const workers of WORKER_COUNTS) {
    const builder = new CellBuilder(SEED)
    const cell = createCell(builder, workers)
    for (const fill of FILL_RATIOS) {
      fillCell(builder, cell, fill)
      runCycles(builder, cell, cell.placer, WARM_UP_MS)
      const indexed = runCycles(builder, cell, cell.placer, MEASURED_MS)
      const copy = { ...cell, groups: new Map(cell.groups), placed: [...cell.placed] }
      const naive = runCycles(builder, copy, createNaiveCopy(cell), NAIVE_MEASURED_MS)
      const decisionsPerSecond = indexed.decisions / indexed.elapsedMs * 1000
      const naiveDecisionsPerSecond = naive.decisions / naive.elapsedMs * 1000
      report({
        workers,
        fill,
        tasks: cell.placed.length,
        decisionsPerSecond: Math.round(decisionsPerSecond),
        p50Us: indexed.histogram.getValueAtPercentile(50) / 1000,
        p99Us: indexed.histogram.getValueAtPercentile(99) / 1000,
        p999Us: indexed.histogram.getValueAtPercentile(99.9) / 1000,
        naiveDecisionsPerSecond: Number(naiveDecisionsPerSecond.toPrecision(3)),
        speedup: Math.round(decisionsPerSecond / naiveDecisionsPerSecond)
      })
    }
  }
}

/** Runs cycles for a time. The duration of a cycle covers the release, the submission and the decision. */
function runCycles (builder: CellBuilder, cell: BenchmarkCell, placer: Placer, durationMs: number): CycleMeasurements {
  const { placed, groups } = cell
  const histogram = build({ highestTrackableValue: MAX_RECORDED_NS, numberOfSignificantValueDigits: 3 })
  const start = performance.now()
  let decisions = 0
  let now = start
  while (now - start < durationMs) {
    const group = builder.buildGroup(now)
    groups.set(group.tasks[0]!, group)
    const index = builder.drawIndex(placed.length)
    const released = placed[index]!
    const cycleStart = performance.now()
    placer.release(released.task)
    placer.cancel(groups.get(released.task)!.id)
    placer.submit(group)
    const newDecisions = placer.decide(now, 1)
    const end = performance.now()
    histogram.recordValue(Math.min(MAX_RECORDED_NS, Math.max(1, Math.round((end - cycleStart) * 1e6))))
    groups.delete(released.task)
    placed[index] = placed[placed.length - 1]!
    placed.pop()
    placed.push(...listPlacements(newDecisions))
    decisions += newDecisions.length
    now = end
  }
  return { decisions, elapsedMs: now - start, histogram }
}

function createNaiveCopy (cell: BenchmarkCell): NaivePlacer {
  const naive = new NaivePlacer()
  for (const worker of cell.workers) naive.addWorker(worker)
  for (const { task, worker } of cell.placed) {
    naive.submit(cell.groups.get(task)!)
    naive.restore(task, worker)
  }
  return naive
}
