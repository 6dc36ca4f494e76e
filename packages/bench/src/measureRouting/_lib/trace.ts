import type { RequestClass } from '@gypsumspring/core'
import { createRandom } from '../../_lib/createRandom.ts'

export const ENTRIES = 8
export const RUNNERS = 30
export const SLOTS = 8
export const CONNECTIONS = 64
export const SERVICE_MS = 100
export const HOP_MS = 0.5
export const SLOW_RUNNER = 3
export const SLOWDOWN = 10
export const FAILING_RUNNER = 17
export const FAILS_AFTER_MS = 1
/** What the runners can serve: the failing one nothing, the slow one a tenth. */
export const CAPACITY_PER_MS = (RUNNERS - 2 + 1 / SLOWDOWN) * SLOTS / SERVICE_MS

export interface TraceRequest {
  id: string
  at: number
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

/** Draws the arrivals of a run: Poisson, exponential service, four teams of unequal traffic, a fifth not repeatable. */
export function drawTrace (load: number, runMs: number): TraceRequest[] {
  const random = createRandom(21)
  const gapMs = 1 / (load * CAPACITY_PER_MS)
  const trace: TraceRequest[] = []
  for (let at = random.exponential(gapMs); at < runMs; at += random.exponential(gapMs)) {
    const kind = CLASSES[random.weighted(CLASSES.map(({ weight }) => weight))] as (typeof CLASSES)[number]
    trace.push({
      id: `${trace.length}`,
      at,
      entry: random.integer(ENTRIES),
      team: `team-${random.weighted(TEAM_WEIGHTS)}`,
      class: kind.class,
      deadline: at + kind.deadlineMs,
      repeatable: random.uniform() < 0.8,
      serviceMs: random.exponential(SERVICE_MS)
    })
  }
  return trace
}
