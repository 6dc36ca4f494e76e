import type { Benchmark } from '../benchmarks.ts'
import { EventQueue } from '../_lib/EventQueue.ts'
import { SimulatedRunner } from '../_lib/SimulatedRunner.ts'
import { RequestStatistics } from './_lib/RequestStatistics.ts'
import { simulateEndpointRouters } from './_lib/simulateEndpointRouters.ts'
import { simulateRandomRouting } from './_lib/simulateRandomRouting.ts'
import {
  CONNECTIONS_PER_RUNNER, FAILING_RUNNER_INDEX, FAILS_AFTER_MS, generateTrace, RUNNER_COUNT, SLOTS_PER_RUNNER,
  SLOW_RUNNER_INDEX, SLOWDOWN, type TraceRequest
} from './_lib/trace.ts'

const LOADS = [0.5, 0.8, 0.95, 1.5]
const RUN_MS = 60_000
const WARM_UP_MS = 5000
/** Equals the longest deadline, so that every request has its answer at the end. */
const DRAIN_MS = 20_000

type RoutingSimulation = (
  trace: TraceRequest[], events: EventQueue, runners: SimulatedRunner[], statistics: RequestStatistics
) => void

/**
 * Compares the endpoint routers with a baseline that chooses runners at random and retries up to three times, on the
 * same arrivals. There are 30 runners with 8 slots each; one is ten times slower, and another one fails every request
 * after 1 ms. Loads are shares of what the runners can serve in this state. The first 5 s are excluded as warm-up.
 *
 * @param report - Receives a row for each load, with the figures of the baseline under names that start with
 * `reference`. Times are in ms, goodput is a share of the capacity.
 *
 * @example
 * measureRouting(console.log)
 */
export const measureRouting: Benchmark = (report) => {
  for (const load of LOADS) {
    const trace = generateTrace(load, RUN_MS)
    const endpointRouters = measure(trace, simulateEndpointRouters)
    const randomRouting = Object.entries(measure(trace, simulateRandomRouting)).map(([name, value]) => {
      return [`reference${name[0]?.toUpperCase()}${name.slice(1)}`, value]
    })
    report({ load, requests: trace.length, ...endpointRouters, ...Object.fromEntries(randomRouting) })
  }
}

function measure (trace: TraceRequest[], simulate: RoutingSimulation) {
  const events = new EventQueue()
  const runners = Array.from({ length: RUNNER_COUNT }, (_, runner) => new SimulatedRunner(events, {
    slots: SLOTS_PER_RUNNER,
    connections: CONNECTIONS_PER_RUNNER,
    slowdown: runner === SLOW_RUNNER_INDEX ? SLOWDOWN : 1,
    ...(runner === FAILING_RUNNER_INDEX ? { failsAfterMs: FAILS_AFTER_MS } : {})
  }))
  const statistics = new RequestStatistics(WARM_UP_MS, RUN_MS)
  simulate(trace, events, runners, statistics)
  events.runUntil(RUN_MS + DRAIN_MS + 1000)
  const maxInUsePerRunner = Math.max(...runners.map(({ maxRequestCount }) => maxRequestCount))
  return { ...statistics.summarize(), maxInUsePerRunner }
}
