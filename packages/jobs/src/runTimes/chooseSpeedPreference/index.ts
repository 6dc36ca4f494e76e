import type { SpeedRange } from '../WorkerSpeeds.ts'

/** Which workers a step should have, as far as their speeds differ. */
export interface SpeedPreference {
  /** Cost of a worker per unit of slowdown, in units of one worker's capacity; negative to prefer slow workers. */
  weight: number
  /** Slowdown beyond which a worker is avoided although the step prefers slow ones. */
  maxSlowdown: number
}

/** Deadlines of a step; see `OrderedStep`. Monotonic times, in ms. */
export interface Schedule {
  step: { spec: { longRunning: boolean, fills: boolean, targetLatencyMs: number } }
  /**
   * The step is of one of the most urgent queues of its pool. Such a step prefers fast workers whatever its expected
   * run time: with declared run times that are off by up to 90%, many that seem to have time are late.
   */
  isUrgent?: boolean
  dueAt: number
  missedAt: number
  pathMs: number
}

/**
 * Cost per unit of slowdown for a step that needs a fast worker. A rack without the data, which makes tasks about twice
 * as slow, costs the same.
 */
const URGENT_WEIGHT = 1.5

/** The same for a step that leaves the fast workers to others, which costs it nothing. */
const PATIENT_WEIGHT = -1

/** Time that a step takes beyond the run of its tasks, in ms: a commit, orders, polls, and the answer to the caller. */
const OVERHEAD_MS = 150

/** Share of the expected run time that is allowed for tasks that take longer. */
const RUN_MARGIN = 1.25

/** Multiple of the slowdown of slow workers that a step has to allow for until it fully prefers them. */
const PATIENT_FACTOR = 1.25

/**
 * Chooses which workers a step should have. One that could be late on a slow worker prefers fast ones. One that has
 * time prefers slow ones, so that the fast ones are free for others: it takes these only when the slow ones are full.
 *
 * @param schedule - Deadlines of the step.
 * @param range - Speeds of the workers; undefined while they count as equal.
 * @param now - Monotonic time, in ms.
 * @returns The preference; undefined when the speed makes no difference.
 */
export function chooseSpeedPreference (
  { step, dueAt, missedAt, pathMs, isUrgent = false }: Schedule, range: SpeedRange | undefined, now: number
): SpeedPreference | undefined {
  if (range === undefined) return undefined
  const { longRunning, fills, targetLatencyMs } = step.spec
  if (targetLatencyMs > 0) return undefined
  const slowest = range.slow * PATIENT_FACTOR
  if (longRunning) return { weight: PATIENT_WEIGHT, maxSlowdown: slowest }
  if (fills || pathMs <= 0) return { weight: URGENT_WEIGHT, maxSlowdown: 0 }
  // A job that can't meet its objective even on fast workers can still meet the later deadline.
  const deadline = now + pathMs * range.fast <= dueAt ? dueAt : missedAt
  const maxSlowdown = (deadline - now - OVERHEAD_MS) / (pathMs * RUN_MARGIN)
  // Nothing can be gained any more for a job that has missed both.
  if (now + pathMs * range.fast > deadline) return { weight: PATIENT_WEIGHT, maxSlowdown: slowest }
  if (isUrgent) return { weight: URGENT_WEIGHT, maxSlowdown: 0 }
  const patience = Math.max(0, Math.min(1, (maxSlowdown / range.slow - 1) / (PATIENT_FACTOR - 1)))
  return { weight: URGENT_WEIGHT + patience * (PATIENT_WEIGHT - URGENT_WEIGHT), maxSlowdown }
}

/**
 * Computes the cost of a worker for a step.
 *
 * @param preference - The preference of the step.
 * @param slowdown - The slowdown of the worker; 1 costs nothing.
 * @returns The cost, in units of one worker's capacity.
 */
export function computeSpeedCost ({ weight, maxSlowdown }: SpeedPreference, slowdown: number): number {
  if (slowdown === 1) return 0
  return slowdown > maxSlowdown ? URGENT_WEIGHT * (slowdown - 1) : weight * (slowdown - 1)
}
