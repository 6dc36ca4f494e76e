import type { StepInstance, TrackedJob } from '../../model/index.ts'
import { computeWorkPerValue } from '../computeWorkPerValue/index.ts'

/** Multiple of its objective after which the completion of a job has no value any more. */
const MISSED_FACTOR = 3

/** Expected completion of a job: 0 within its objective, 1 late, 2 too late to have any value. */
type Lateness = 0 | 1 | 2

/**
 * Claim to room: 0 for jobs within the share of their client account and for those without an account, 1 for jobs
 * beyond the share, and 2 for jobs with an account that are too late to have any value.
 */
type Band = 0 | 1 | 2

/** A step and its sort keys. */
export interface OrderedStep {
  step: StepInstance
  band: Band
  priority: number
  lateness: Lateness
  /** Work that is left for each unit of value; 0 for jobs without an account. */
  workPerValue: number
  /** Monotonic time by which the job should complete, in ms. */
  dueAt: number
  /** Monotonic time after which its completion has no value any more, in ms. */
  missedAt: number
  /** Expected time from the start of the step to the end of the job, on workers of mean speed, in ms. */
  pathMs: number
}

/**
 * Orders steps for placement: by priority, then by band, so that jobs within the share of their client account come
 * before those beyond it, then by lateness, so that jobs that can still meet their objective come first and those that
 * are too late to have any value come last, then by due time. Without client accounts, all jobs are in one band.
 * Jobs with an account that are alike so far come in the order of the work that is left for their value.
 *
 * @param steps - Steps with waiting tasks.
 * @param now - Monotonic time, in ms.
 * @returns The steps with their sort keys, in order.
 */
export function orderSteps (steps: readonly StepInstance[], now: number): OrderedStep[] {
  const workPerValue = computeWorkPerValue(steps)
  return steps
    .map((step) => ({ ...rankStep(step, now), workPerValue: workPerValue.get(step) ?? 0 }))
    .sort((a, b) => a.priority - b.priority || a.band - b.band || a.lateness - b.lateness ||
      a.workPerValue - b.workPerValue || a.dueAt - b.dueAt)
}

/** Computes the sort keys of a step alone. `now` is monotonic time in ms. */
export function rankStep (step: StepInstance, now: number): Omit<OrderedStep, 'workPerValue'> {
  const { queue } = step.job.definition
  const objective = computeObjective(step.job)
  const begin = step.job.monotonicAcceptedAt
  const dueAt = begin + objective
  const missedAt = begin + MISSED_FACTOR * objective
  const pathMs = step.job.expectedPathMs(step.index)
  const expectedEnd = now + pathMs
  const lateness = step.spec.longRunning || expectedEnd <= dueAt
    ? 0
    : expectedEnd <= missedAt ? 1 : 2
  return { step, band: chooseBand(step, lateness), priority: queue.priority, lateness, dueAt, missedAt, pathMs }
}

function chooseBand ({ job }: StepInstance, lateness: Lateness): Band {
  if (job.definition.account === undefined) return 0
  return lateness === 2 ? 2 : job.beyondShare ? 1 : 0
}

/** Time after acceptance within which a job is due, in ms. */
function computeObjective ({ definition: { queue }, criticalPathMs }: TrackedJob): number {
  return queue.stretch * criticalPathMs + queue.targetLatencyMs
}
