import { IndexedPlacer, type TaskGroup, type WorkerNode } from '@gypsumspring/core'
import { setImmediate } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { Benchmark } from '../benchmarks.ts'

const SIZES = {
  worker: [6000, 12000, 24000],
  placed: [50_000, 100_000, 200_000],
  queued: [50_000, 100_000, 200_000]
}
const TASKS_PER_GROUP = [1, 20]
/** With the tasks per worker, this holds all tasks of the largest size. */
const WORKERS = 1000
const TASKS_PER_WORKER = 200

/**
 * Measures the memory that a placer retains, including the specifications passed to it, by the number of workers,
 * placed tasks and queued tasks.
 *
 * @param report - Receives a row for each size, with the bytes per item on average and between this size and the last.
 *
 * @example
 * await measurePlacementMemory(console.log)
 */
export const measurePlacementMemory: Benchmark = async (report) => {
  setFlagsFromString('--expose-gc')
  const runGarbageCollector = runInNewContext('gc') as () => void
  const collectGarbage = async (): Promise<void> => {
    // Objects referenced from a stack frame stay reachable until a later turn of the event loop. A collection that
    // completes marking begun earlier keeps objects that became unreachable since then.
    for (let pass = 0; pass < 3; pass++) {
      await setImmediate()
      runGarbageCollector()
    }
  }
  const measure = async (fill: (placer: IndexedPlacer) => void): Promise<number> => {
    await collectGarbage()
    const before = readBytes()
    const placer = new IndexedPlacer()
    fill(placer)
    await collectGarbage()
    const bytes = readBytes() - before
    // This use keeps the placer reachable until its memory has been read.
    placer.setPackingWeight(0)
    return bytes
  }
  const measureSizes = async (
    kind: string, sizes: number[], tasksPerGroup: number, fill: (placer: IndexedPlacer, size: number) => void
  ): Promise<void> => {
    let previous: { size: number, bytes: number } | undefined
    for (const size of sizes) {
      const bytes = await measure((placer) => fill(placer, size))
      const slope = previous === undefined ? bytes / size : (bytes - previous.bytes) / (size - previous.size)
      const bytesEach = Math.round(bytes / size)
      report({ kind, tasksPerGroup, size, bytes, bytesEach, slopeBytesEach: Math.round(slope) })
      previous = { size, bytes }
    }
  }
  // Warm-up: the first use compiles code and fills caches that are not released.
  await measure((placer) => fillTasks(placer, 1000, 1, true))
  await measureSizes('worker', SIZES.worker, 0, addWorkers)
  for (const tasksPerGroup of TASKS_PER_GROUP) {
    const fill = (isPlaced: boolean) => (placer: IndexedPlacer, size: number) =>
      fillTasks(placer, size, tasksPerGroup, isPlaced)
    await measureSizes('placed', SIZES.placed, tasksPerGroup, fill(true))
    await measureSizes('queued', SIZES.queued, tasksPerGroup, fill(false))
  }
}

function readBytes (): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

function addWorkers (placer: IndexedPlacer, count: number): void {
  for (let index = 0; index < count; index++) {
    const worker: WorkerNode = {
      id: `worker-${index}`,
      failureDomain: `domain-${index % 16}`,
      rack: `rack-${index >> 3}`,
      capacity: { cpuMillis: TASKS_PER_WORKER, memoryMb: TASKS_PER_WORKER, accelerators: 0 }
    }
    placer.addWorker(worker)
  }
}

function fillTasks (placer: IndexedPlacer, count: number, tasksPerGroup: number, isPlaced: boolean): void {
  addWorkers(placer, WORKERS)
  for (let index = 0; index < count / tasksPerGroup; index++) {
    const group: TaskGroup = {
      id: `group-${index}`,
      team: `team-${index % 160}`,
      kind: 'batch',
      priority: 'normal',
      spread: 'none',
      preemptible: false,
      resources: { cpuMillis: 1, memoryMb: 1, accelerators: 0 },
      tasks: Array.from({ length: tasksPerGroup }, (_, task) => `group-${index}-${task}`),
      submittedAt: 0
    }
    placer.submit(group)
  }
  if (!isPlaced) return
  const decisions = placer.decide(1, count)
  if (decisions.length !== count) throw new Error(`only ${decisions.length} of ${count} tasks were placed`)
}
