import type { Benchmark } from '../benchmarks.ts'
import { createRandom } from '../_lib/createRandom.ts'
import { EventQueue } from '../_lib/EventQueue.ts'
import { Percentiles } from '../_lib/Percentiles.ts'
import { Runner } from '../_lib/Runner.ts'
import {
  divided, ENTRIES, HOP_MS, lent, owned, RUNNERS, SLOTS, unlimited, type Arrival, type Strategy
} from './_lib/strategies.ts'

const SERVICE_MS = 100
// Three turns of the shifting skew after the warm-up; with 60 s the benchmark takes minutes.
const RUN_MS = 20_000
const WARM_UP_MS = 5000
const LOADS = [0.5, 0.8, 0.95]

/** Weights of the entries' arrivals at a time. */
const SKEWS: Record<string, (now: number) => number[]> = {
  even: () => Array.from({ length: ENTRIES }, () => 1),
  zipf: () => Array.from({ length: ENTRIES }, (_, entry) => 1 / (entry + 1)),
  // Every 5 s another entry receives four times as much as each of the rest.
  shifting: (now) => Array.from({ length: ENTRIES }, (_, entry) => Math.floor(now / 5000) % ENTRIES === entry ? 4 : 1)
}

const STRATEGIES: Record<string, Strategy> = {
  divided,
  owned,
  'lent-10': lent(10),
  'lent-50': lent(50),
  'lent-200': lent(200),
  // The holder's defaults: 50 ms, and 20 ms while callers wait for tokens.
  'lent-50-20': lent(50, 20),
  unlimited
}

/**
 * Measures waiting times under the ways of sharing slots among entries, in a model of queues: Poisson arrivals,
 * exponential service of 100 ms, 30 runners with 8 slots. Waiting is the time until service begins, without the hop to
 * the runner that every way has. Runs last 20 s; seeds are 11 for arrivals and 12 for the strategies' choices.
 *
 * @param report - Receives a row for each strategy, load and skew; times in ms.
 *
 * @example
 * measureSlots(console.log)
 */
export const measureSlots: Benchmark = (report) => {
  for (const load of LOADS) {
    for (const skew of Object.keys(SKEWS)) {
      const arrivals = drawArrivals(load, SKEWS[skew] as (now: number) => number[])
      for (const strategy of Object.keys(STRATEGIES)) {
        report({ strategy, load, skew, ...measure(arrivals, STRATEGIES[strategy] as Strategy) })
      }
    }
  }
}

function drawArrivals (load: number, skew: (now: number) => number[]): Arrival[] {
  const random = createRandom(11)
  const gapMs = SERVICE_MS / (load * RUNNERS * SLOTS)
  const arrivals: Arrival[] = []
  for (let at = random.exponential(gapMs); at < RUN_MS; at += random.exponential(gapMs)) {
    arrivals.push({ at, entry: random.weighted(skew(at)), serviceMs: random.exponential(SERVICE_MS) })
  }
  return arrivals
}

function measure (arrivals: Arrival[], strategy: Strategy) {
  const events = new EventQueue()
  const waits = new Percentiles()
  const runners = Array.from({ length: RUNNERS }, () => new Runner(events, { slots: SLOTS, connections: Infinity }))
  let served = 0
  const sent = (arrival: Arrival, runner: number, done: () => void): void => {
    events.add(events.now + HOP_MS, () => {
      runners[runner]?.offer(arrival.serviceMs, () => {
        if (arrival.at >= WARM_UP_MS) waits.record(events.now - arrival.serviceMs - arrival.at - HOP_MS)
        served++
        events.add(events.now + HOP_MS, done)
      })
    })
  }
  const accept = strategy({ events, random: createRandom(12), runners, sent })
  for (const arrival of arrivals) events.add(arrival.at, () => accept(arrival))
  events.runUntil(RUN_MS)
  return {
    waitP50Ms: waits.get(50),
    waitP99Ms: waits.get(99),
    maxInUsePerRunner: Math.max(...runners.map(({ maxPresent }) => maxPresent)),
    unserved: arrivals.length - served
  }
}
