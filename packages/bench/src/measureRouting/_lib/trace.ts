import type { RequestClass } from '@gypsumspring/core'
import { createRandom } from '../../_lib/createRandom.ts'

export const ENTRY_COUNT = 8
export const RUNNER_COUNT = 30
export const SLOTS_PER_RUNNER = 8
export const CONNECTIONS_PER_RUNNER = 64
export const MEAN_SERVICE_MS = 100
/** One-way network latency between any two machines. */
export const HOP_LATENCY_MS = 0.5
export const SLOW_RUNNER_INDEX = 3
export const SLOWDOWN = 10
export const FAILING_RUNNER_INDEX = 17
export const FAILS_AFTER_MS = 1
/** Requests per ms that the runners can serve; the failing one serves none and the slow one a tenth of its share. */
export const CAPACITY_PER_MS = (RUNNER_COUNT - 2 + 1 / SLOWDOWN) * SLOTS_PER_RUNNER / MEAN_SERVICE_MS

/** Request of a trace. Times are simulated, in ms. */
export interface TraceRequest {
  id: string
  /** Arrival at its entry. */
  at: number
  /** Index of its entry. */
  entry: number
  team: string
  class: RequestClass
  deadline: number
  repeatable: boolean
  /** Service time on a healthy runner. */
  serviceMs: number
}

const CLASSES: { class: RequestClass, weight: number, deadlineMs: number }[] = [
  { class: 'interactive', weight: 3, deadlineMs: 2000 },
  { class: 'normal', weight: 5, deadlineMs: 5000 },
  { class: 'bulk', weight: 2, deadlineMs: 20_000 }
]
const TEAM_WEIGHTS = [8, 4, 2, 1]

/**
 * Generates the requests of a run with Poisson arrivals, exponential service times and four teams of unequal traffic. A
 * fifth of the requests are not repeatable.
 *
 * @param load - Mean load as a share of the capacity of the runners.
 * @param runMs - Time in which requests arrive, in ms.
 * @returns The requests in order of arrival; always the same for the same arguments.
 *
 * @example
 * generateTrace(0.8, 60_000)
 */
export function generateTrace (load: number, runMs: number): TraceRequest[] {
  const random = createRandom(21)
  const meanGapMs = 1 / (load * CAPACITY_PER_MS)
  const trace: TraceRequest[] = []
  for (let at = random.exponential(meanGapMs); at < runMs; at += random.exponential(meanGapMs)) {
    const drawnClass = CLASSES[random.weighted(CLASSES.map(({ weight }) => weight))] as (typeof CLASSES)[number]
    trace.push({
      id: `${trace.length}`,
      at,
      entry: random.integer(ENTRY_COUNT),
      team: `team-${random.weighted(TEAM_WEIGHTS)}`,
      class: drawnClass.class,
      deadline: at + drawnClass.deadlineMs,
      repeatable: random.uniform() < 0.8,
      serviceMs: random.exponential(MEAN_SERVICE_MS)
    })
  }
  return trace
}
