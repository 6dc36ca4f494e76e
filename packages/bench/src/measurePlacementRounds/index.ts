import { install } from '@sinonjs/fake-timers'
import { PlacementRounds, SeededRandom } from '@gypsumspring/jobs/standins'
import type { Benchmark } from '../benchmarks.ts'

const SEED = 25
const WORKER_COUNTS = [50, 100, 350]
const WAITING_COUNTS = [500, 1000, 2000, 4000]

/** Rounds that are not measured: the code is not optimized yet, and the workers fill up. */
const WARM_UP_ROUNDS = 60
const MEASURED_ROUNDS = 60

/** Simulated time between two rounds, in ms; an owner pauses between rounds. */
const ROUND_INTERVAL_MS = 50

/** Assigned tasks that wait again before each round, for each worker. */
const REQUEUED_PER_WORKER = 0.1

/** Reads the real time, in ms, also while the clock is simulated. */
const readRealTime = performance.now.bind(performance)

/**
 * Measures placement rounds of a cell of jobs while many tasks wait, with and without a policy service. Before each
 * round some tasks are requeued, so that there is some room.
 *
 * @param report - Receives a row for each number of workers and of waiting tasks; times are of one round.
 *
 * @example
 * measurePlacementRounds(console.log)
 */
export const measurePlacementRounds: Benchmark = async (report) => {
  for (const hasAdvice of [false, true]) {
    for (const workers of WORKER_COUNTS) {
      const cpuTimesMs: number[] = []
      for (const waiting of WAITING_COUNTS) {
        const { durations, cpuMs } = await measureRounds(workers, waiting, hasAdvice)
        cpuTimesMs.push(cpuMs)
        report({
          advice: hasAdvice ? 'yes' : 'no',
          workers,
          waiting,
          cpuMs: round(cpuMs),
          p50Ms: round(durations[Math.floor(durations.length / 2)]!),
          maxMs: round(durations.at(-1)!)
        })
      }
      report({ advice: hasAdvice ? 'yes' : 'no', workers, cpuUsPerWaitingTask: round(computeSlope(cpuTimesMs) * 1000) })
    }
  }
}

interface RoundMeasurements {
  /** Durations of the rounds in ascending order, in ms. */
  durations: number[]
  /** Mean processor time of a round, in ms; includes other threads of the process, such as the garbage collector's. */
  cpuMs: number
}

async function measureRounds (workers: number, waiting: number, hasAdvice: boolean): Promise<RoundMeasurements> {
  const clock = install()
  const rounds = new PlacementRounds(new SeededRandom(SEED), { workers, waiting, hasAdvice })
  const durations: number[] = []
  let cpuUs = 0
  for (let index = 0; index < WARM_UP_ROUNDS + MEASURED_ROUNDS; index++) {
    rounds.requeue(Math.round(workers * REQUEUED_PER_WORKER))
    rounds.fill()
    const startedAt = readRealTime()
    const cpuStart = process.cpuUsage()
    rounds.run()
    const { user, system } = process.cpuUsage(cpuStart)
    if (index >= WARM_UP_ROUNDS) {
      durations.push(readRealTime() - startedAt)
      cpuUs += user + system
    }
    rounds.confirm()
    await clock.tickAsync(ROUND_INTERVAL_MS)
  }
  clock.uninstall()
  return { durations: durations.sort((a, b) => a - b), cpuMs: cpuUs / 1000 / MEASURED_ROUNDS }
}

/** Slope of the least-squares line through the durations over the numbers of waiting tasks, in ms for each task. */
function computeSlope (durations: readonly number[]): number {
  const meanX = WAITING_COUNTS.reduce((sum, x) => sum + x, 0) / WAITING_COUNTS.length
  const meanY = durations.reduce((sum, y) => sum + y, 0) / durations.length
  let covariance = 0
  let variance = 0
  for (const [index, x] of WAITING_COUNTS.entries()) {
    covariance += (x - meanX) * (durations[index]! - meanY)
    variance += (x - meanX) ** 2
  }
  return covariance / variance
}

function round (value: number): number {
  return Number(value.toPrecision(3))
}
