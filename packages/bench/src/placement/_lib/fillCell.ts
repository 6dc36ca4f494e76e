import { IndexedPlacer, type PlacementDecision, type TaskGroup, type WorkerNode } from '@gypsumspring/core'
import type { CellBuilder } from './CellBuilder.ts'

const BATCH = 1000

export interface FilledCell {
  workers: WorkerNode[]
  placer: IndexedPlacer
  /** Groups by the id of their only task, and the worker of each placed task. */
  groups: Map<string, TaskGroup>
  placed: Array<{ task: string, worker: string }>
}

export function createCell (builder: CellBuilder, workerCount: number): FilledCell {
  const placer = new IndexedPlacer()
  const workers = builder.buildWorkers(workerCount)
  for (const worker of workers) placer.addWorker(worker)
  return { workers, placer, groups: new Map(), placed: [] }
}

/** Fills a cell until the placed tasks hold a share of its processors. Groups that found no room are cancelled. */
export function fillCell (builder: CellBuilder, { workers, placer, groups, placed }: FilledCell, fill: number): void {
  const used = placed.reduce((sum, { task }) => sum + groups.get(task)!.resources.cpuMillis, 0)
  let missing = fill * workers.reduce((sum, worker) => sum + worker.capacity.cpuMillis, 0) - used
  while (missing > 0) {
    const batch: TaskGroup[] = []
    for (let planned = 0; planned < missing && batch.length < BATCH;) {
      const group = builder.buildGroup(0)
      planned += group.resources.cpuMillis
      batch.push(group)
      groups.set(group.tasks[0]!, group)
      placer.submit(group)
    }
    const started = listPlacements(placer.decide(Number.MAX_SAFE_INTEGER / 4, BATCH))
    for (const placement of started) missing -= groups.get(placement.task)!.resources.cpuMillis
    placed.push(...started)
    const isStarted = new Set(started.map(({ task }) => task))
    for (const group of batch) {
      if (isStarted.has(group.tasks[0]!)) continue
      placer.cancel(group.id)
      groups.delete(group.tasks[0]!)
    }
  }
}

export function listPlacements (decisions: PlacementDecision[]): Array<{ task: string, worker: string }> {
  return decisions.flatMap((decision) => decision.kind === 'place' ? decision.placements : [])
}
