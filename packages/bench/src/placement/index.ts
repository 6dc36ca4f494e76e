import { NaivePlacer, type Placer } from '@gypsumspring/core'
import { build, type Histogram } from 'hdr-histogram-js'
import type { Benchmark } from '../benchmarks.ts'
import { CellBuilder } from './_lib/CellBuilder.ts'
import { createCell, fillCell, listPlacements, type FilledCell } from './_lib/fillCell.ts'

const SEED = 24000
const WORKER_COUNTS = [30, 3000, 24000]
const FILLS = [0.5, 0.95]
const WARM_UP_MS = 500
const MEASURED_MS = 2000
const NAIVE_MEASURED_MS = 1000
const LONGEST_NS = 2_000_000_000

interface Steady {
  decisions: number
  elapsedMs: number
  histogram: Histogram
}

/** Steady state of a cell: each cycle submits a task, decides, and releases a random task. */
export const runPlacement: Benchmark = (report) => {
  for (const workers of WORKER_COUNTS) {
    const builder = new CellBuilder(SEED)
    const cell = createCell(builder, workers)
    for (const fill of FILLS) {
      fillCell(builder, cell, fill)
      runCycles(builder, cell, cell.placer, WARM_UP_MS)
      const indexed = runCycles(builder, cell, cell.placer, MEASURED_MS)
      const copy = { ...cell, groups: new Map(cell.groups), placed: [...cell.placed] }
      const naive = runCycles(builder, copy, copyToNaive(cell), NAIVE_MEASURED_MS)
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

/** Runs whole cycles for a time; the duration of a cycle covers submission, decision, and release. */
function runCycles (builder: CellBuilder, cell: FilledCell, placer: Placer, durationMs: number): Steady {
  const { placed, groups } = cell
  const histogram = build({ highestTrackableValue: LONGEST_NS, numberOfSignificantValueDigits: 3 })
  const start = performance.now()
  let decisions = 0
  let now = start
  while (now - start < durationMs) {
    const group = builder.buildGroup(now)
    groups.set(group.tasks[0]!, group)
    const index = builder.drawIndex(placed.length)
    const ended = placed[index]!
    const cycleStart = performance.now()
    placer.release(ended.task)
    placer.cancel(groups.get(ended.task)!.id)
    placer.submit(group)
    const made = placer.decide(now, 1)
    const end = performance.now()
    histogram.recordValue(Math.min(LONGEST_NS, Math.max(1, Math.round((end - cycleStart) * 1e6))))
    groups.delete(ended.task)
    placed[index] = placed[placed.length - 1]!
    placed.pop()
    placed.push(...listPlacements(made))
    decisions += made.length
    now = end
  }
  return { decisions, elapsedMs: now - start, histogram }
}

function copyToNaive (cell: FilledCell): NaivePlacer {
  const naive = new NaivePlacer()
  for (const worker of cell.workers) naive.addWorker(worker)
  for (const { task, worker } of cell.placed) {
    naive.submit(cell.groups.get(task)!)
    naive.restore(task, worker)
  }
  return naive
}
