import { IndexedPlacer, type PlacementDecision, type TaskGroup, type WorkerNode } from '@gypsumspring/core'
import type { CellBuilder } from './CellBuilder.ts'

const MAX_GROUPS_PER_BATCH = 1000

/** A cell of single-task groups and its placer. */
export interface BenchmarkCell {
  workers: WorkerNode[]
  placer: IndexedPlacer
  /** Groups by the id of their only task. */
  groups: Map<string, TaskGroup>
  /** Placed tasks with their workers. */
  placed: Array<{ task: string, worker: string }>
}

/** Creates a cell without tasks. */
export function createCell (builder: CellBuilder, workerCount: number): BenchmarkCell {
  const placer = new IndexedPlacer()
  const workers = builder.buildWorkers(workerCount)
  for (const worker of workers) placer.addWorker(worker)
  return { workers, placer, groups: new Map(), placed: [] }
}

/** Fills a cell until its tasks hold a share of its processors. Groups that do not fit are cancelled. */
export function fillCell (
  builder: CellBuilder, { workers, placer, groups, placed }: BenchmarkCell, fillRatio: number
): void {
  const usedCpuMillis = placed.reduce((sum, { task }) => sum + groups.get(task)!.resources.cpuMillis, 0)
  let missingCpuMillis = fillRatio * workers.reduce((sum, worker) => sum + worker.capacity.cpuMillis, 0) - usedCpuMillis
  while (missingCpuMillis > 0) {
    const batch: TaskGroup[] = []
    for (let plannedCpuMillis = 0; plannedCpuMillis < missingCpuMillis && batch.length < MAX_GROUPS_PER_BATCH;) {
      const group = builder.buildGroup(0)
      plannedCpuMillis += group.resources.cpuMillis
      batch.push(group)
      groups.set(group.tasks[0]!, group)
      placer.submit(group)
    }
    const started = listPlacements(placer.decide(Number.MAX_SAFE_INTEGER / 4, MAX_GROUPS_PER_BATCH))
    for (const placement of started) missingCpuMillis -= groups.get(placement.task)!.resources.cpuMillis
    placed.push(...started)
    const startedTasks = new Set(started.map(({ task }) => task))
    for (const group of batch) {
      if (startedTasks.has(group.tasks[0]!)) continue
      placer.cancel(group.id)
      groups.delete(group.tasks[0]!)
    }
  }
}

export function listPlacements (decisions: PlacementDecision[]): Array<{ task: string, worker: string }> {
  return decisions.flatMap((decision) => decision.kind === 'place' ? decision.placements : [])
}
