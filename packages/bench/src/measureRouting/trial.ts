import type { Benchmark } from '../benchmarks.ts'
import { EventQueue } from '../_lib/EventQueue.ts'
import { Runner } from '../_lib/Runner.ts'
import { runReference } from './_lib/runReference.ts'
import { runRouters } from './_lib/runRouters.ts'
import { Tally } from './_lib/Tally.ts'
import {
  CONNECTIONS, drawTrace, FAILING_RUNNER, FAILS_AFTER_MS, RUNNERS, SLOTS, SLOW_RUNNER, SLOWDOWN, type TraceRequest
} from './_lib/trace.ts'

const LOADS = [0.8, 0.95]
const RUN_MS = 30_000
const WARM_UP_MS = 5000
/** The longest deadline; every request has its answer then. */
const DRAIN_MS = 20_000

type System = (trace: TraceRequest[], events: EventQueue, runners: Runner[], tally: Tally) => void

/**
 * Compares our routers with a random choice of runner and three retries, on the same arrivals: 30 runners with 8 slots
 * of which one is ten times slower and another one fails every request after 1 ms. Loads are shares of what the runners
 * can serve in that state. The first 5 s are left out for both.
 *
 * @param report - Receives a row for each load; times in ms, goodput as a share of the capacity.
 *
 * @example
 * measureRouting(console.log)
 */
export const measureRouting: Benchmark = (report) => {
  for (const load of LOADS) {
    const trace = drawTrace(load, RUN_MS)
    const ours = measure(trace, runRouters)
    const reference = Object.entries(measure(trace, runReference)).map(([name, value]) => {
      return [`reference${name[0]?.toUpperCase()}${name.slice(1)}`, value]
    })
    report({ load, requests: trace.length, ...ours, ...Object.fromEntries(reference) })
  }
}

function measure (trace: TraceRequest[], run: System) {
  const events = new EventQueue()
  const runners = Array.from({ length: RUNNERS }, (_, runner) => new Runner(events, {
    slots: SLOTS,
    connections: CONNECTIONS,
    slowdown: runner === SLOW_RUNNER ? SLOWDOWN : 1,
    ...(runner === FAILING_RUNNER ? { failsAfterMs: FAILS_AFTER_MS } : {})
  }))
  const tally = new Tally(WARM_UP_MS, RUN_MS)
  run(trace, events, runners, tally)
  events.runUntil(RUN_MS + DRAIN_MS + 1000)
  return { ...tally.figures(), maxInUsePerRunner: Math.max(...runners.map(({ maxPresent }) => maxPresent)) }
}
measureRouting((r) => console.log(JSON.stringify(r)))
