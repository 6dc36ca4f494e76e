import type { Benchmark } from '../benchmarks.ts'
import { createRandom } from '../_lib/createRandom.ts'
import { EventQueue } from '../_lib/EventQueue.ts'
import { Percentiles } from '../_lib/Percentiles.ts'
import { SimulatedRunner } from '../_lib/SimulatedRunner.ts'
import {
  ENTRY_COUNT, fixedShares, HOP_LATENCY_MS, ledgerTokens, randomRunner, RUNNER_COUNT, runnerQueues, SLOTS_PER_RUNNER,
  type Arrival, type Strategy
} from './_lib/strategies.ts'

const MEAN_SERVICE_MS = 100
// Covers three periods of the shifting skew after the warm-up; runs of 60 s make the benchmark take minutes.
const RUN_MS = 20_000
const WARM_UP_MS = 5000
const LOADS = [0.5, 0.8, 0.95]

/** Relative arrival rates of the entries at a time, by the name of the skew. */
const ARRIVAL_WEIGHTS: Record<string, (now: number) => number[]> = {
  even: () => Array.from({ length: ENTRY_COUNT }, () => 1),
  zipf: () => Array.from({ length: ENTRY_COUNT }, (_, entry) => 1 / (entry + 1)),
  // One entry receives four times as many requests as each of the others; every 5 s the next one does.
  shifting: (now) => Array.from({ length: ENTRY_COUNT }, (_, entry) =>
    Math.floor(now / 5000) % ENTRY_COUNT === entry ? 4 : 1)
}

/** The strategies by their names in the report. */
const STRATEGIES: Record<string, Strategy> = {
  divided: fixedShares,
  owned: runnerQueues,
  'lent-10': ledgerTokens(10),
  'lent-50': ledgerTokens(50),
  'lent-200': ledgerTokens(200),
  // The defaults of the slot holder: 50 ms, and 20 ms while callers wait for tokens.
  'lent-50-20': ledgerTokens(50, 20),
  unlimited: randomRunner
}

/**
 * Measures wait times under several strategies of sharing slots among entries, in a queueing simulation: Poisson
 * arrivals, exponential service times with a mean of 100 ms, 30 runners with 8 slots each. The wait time of a request
 * is the time until its service begins, without the network hop to the runner that every strategy needs. Runs last
 * 20 s; the seeds are 11 for arrivals and 12 for the choices of the strategies.
 *
 * @param report - Receives a row for each strategy, load and skew; times in ms.
 *
 * @example
 * measureSlots(console.log)
 */
export const measureSlots: Benchmark = (report) => {
  for (const load of LOADS) {
    for (const skew of Object.keys(ARRIVAL_WEIGHTS)) {
      const arrivals = drawArrivals(load, ARRIVAL_WEIGHTS[skew] as (now: number) => number[])
      for (const strategy of Object.keys(STRATEGIES)) {
        report({ strategy, load, skew, ...measure(arrivals, STRATEGIES[strategy] as Strategy) })
      }
    }
  }
}

function drawArrivals (load: number, skew: (now: number) => number[]): Arrival[] {
  const random = createRandom(11)
  const meanGapMs = MEAN_SERVICE_MS / (load * RUNNER_COUNT * SLOTS_PER_RUNNER)
  const arrivals: Arrival[] = []
  for (let at = random.exponential(meanGapMs); at < RUN_MS; at += random.exponential(meanGapMs)) {
    arrivals.push({ at, entry: random.weighted(skew(at)), serviceMs: random.exponential(MEAN_SERVICE_MS) })
  }
  return arrivals
}

function measure (arrivals: Arrival[], strategy: Strategy) {
  const events = new EventQueue()
  const waitTimes = new Percentiles()
  const runners = Array.from({ length: RUNNER_COUNT }, () =>
    new SimulatedRunner(events, { slots: SLOTS_PER_RUNNER, connections: Infinity }))
  let served = 0
  const sendToRunner = (arrival: Arrival, runner: number, done: () => void): void => {
    events.add(events.now + HOP_LATENCY_MS, () => {
      runners[runner]?.submit(arrival.serviceMs, () => {
        if (arrival.at >= WARM_UP_MS) waitTimes.record(events.now - arrival.serviceMs - arrival.at - HOP_LATENCY_MS)
        served++
        events.add(events.now + HOP_LATENCY_MS, done)
      })
    })
  }
  const accept = strategy({ events, random: createRandom(12), runners, sendToRunner })
  for (const arrival of arrivals) events.add(arrival.at, () => accept(arrival))
  events.runUntil(RUN_MS)
  return {
    waitP50Ms: waitTimes.get(50),
    waitP99Ms: waitTimes.get(99),
    maxInUsePerRunner: Math.max(...runners.map(({ maxRequestCount }) => maxRequestCount)),
    unserved: arrivals.length - served
  }
}
