import { install } from '@sinonjs/fake-timers'
import { createQueue, LoadGenerator, MemoryCell, SeededRandom, type JobKind } from '@gypsumspring/jobs/standins'
import type { Benchmark } from '../benchmarks.ts'

const SEEDS = [1, 2, 3, 4]
const WORKERS = 10
const LOAD_MS = 60_000

/** Time after the load in which the last jobs can still meet their objective, in ms. */
const DRAIN_MS = 30_000
const START_MS = 2_000
const STOP_MS = 10_000

/** Simulated time of one turn, in ms. */
const TURN_MS = 1_000
const TICKET_MS = 2_000

/** Jobs whose tasks take a worker's memory, and two to all of its accelerators. Their estimates are far off. */
const matching: JobKind = {
  queue: createQueue('matching', {
    priority: 1,
    maxAttempts: 4,
    stretch: 2.2,
    targetLatencyMs: 1_000,
    advice: { decisionMs: 530, perWorkerMs: 7, validMs: TICKET_MS }
  }),
  rate: 1.29,
  meanTasks: 1.5,
  demands: [2, 4, 8, 8].map((accelerators) => ({ cpuMillis: 31_000, memoryMb: 81_000, accelerators })),
  meanRunMs: 3_600,
  estimateError: 0.9,
  allowedShare: 0.3,
  step: { savesProgress: true }
}

/** Less urgent jobs of several tasks with one accelerator each. */
const scoring: JobKind = {
  queue: createQueue('scoring', {
    priority: 2,
    maxAttempts: 4,
    stretch: 4,
    targetLatencyMs: 3_000,
    advice: { decisionMs: 240, perWorkerMs: 3.4, validMs: TICKET_MS }
  }),
  rate: 0.854,
  meanTasks: 6.4,
  demands: [{ cpuMillis: 5_600, memoryMb: 11_000, accelerators: 1 }],
  meanRunMs: 3_800,
  estimateError: 0.2,
  allowedShare: 0.45,
  step: { savesProgress: true }
}

/**
 * Measures which share of the jobs of two kinds meet their objective on a pool of workers with accelerators that is
 * used to nine tenths, behind a policy service that allows few workers for each step.
 *
 * @param report - Receives a row for each seed; shares are from 0 to 1.
 *
 * @example
 * measureScarcity(console.log)
 */
export const measureScarcity: Benchmark = async (report) => {
  for (const seed of SEEDS) report({ seed, ...await simulate(seed) })
}

async function simulate (seed: number): Promise<{ matchingInTime: string, scoringInTime: string }> {
  const clock = install()
  const load = new LoadGenerator(new SeededRandom(seed), [matching, scoring])
  const endedAt = new Map<string, number>()
  const cell = new MemoryCell({
    nodes: 6,
    workers: WORKERS,
    capacity: { cpuMillis: 64_000, memoryMb: 131_072, accelerators: 8 },
    planRunEnd: load.planRunEnd,
    createAdviser: () => load.createAdviser(),
    log: {
      info: ({ job }, message) => { if (message === 'job ended') endedAt.set(String(job), performance.now()) },
      warn: () => {}
    }
  })
  await clock.tickAsync(START_MS)
  load.schedule(cell, LOAD_MS)
  for (let elapsed = 0; elapsed < LOAD_MS + DRAIN_MS; elapsed += TURN_MS) await clock.tickAsync(TURN_MS)
  const stopped = cell.stop()
  await clock.tickAsync(STOP_MS)
  await stopped
  clock.uninstall()
  const share = (kind: JobKind) => load.shareInTime(kind, (job) => endedAt.get(job)).toFixed(3)
  return { matchingInTime: share(matching), scoringInTime: share(scoring) }
}
