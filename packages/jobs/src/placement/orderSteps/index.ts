import type { StepInstance } from '../../model/index.ts'

/** Multiple of its objective after which a job has missed it for good and earns nothing any more. */
const MISSED_FACTOR = 3

/** Expected completion of a job: 0 within its objective, 1 late, 2 too late to earn anything. */
type Lateness = 0 | 1 | 2

/** A step and its sort keys. */
export interface OrderedStep {
  step: StepInstance
  priority: number
  lateness: Lateness
  /** Steady time by which the job should complete, in ms. */
  dueAt: number
}

/**
 * Orders steps for placement: by priority, then by lateness, so that jobs that can still meet their objective come
 * first and those that are too late to earn anything come last, then by due time.
 *
 * @param steps - Steps with waiting tasks.
 * @param now - Steady time, in ms.
 * @returns The steps with their sort keys, in order.
 */
export function orderSteps (steps: readonly StepInstance[], now: number): OrderedStep[] {
  return steps
    .map((step) => rankStep(step, now))
    .sort((a, b) => a.priority - b.priority || a.lateness - b.lateness || a.dueAt - b.dueAt)
}

function rankStep (step: StepInstance, now: number): OrderedStep {
  const { queue } = step.job.job
  const objective = computeObjective(step)
  const begin = step.job.steadyAcceptedAt
  const dueAt = begin + objective
  const expectedEnd = now + remainingPathMs(step)
  const lateness = step.spec.longRunning || expectedEnd <= dueAt
    ? 0
    : expectedEnd <= begin + MISSED_FACTOR * objective ? 1 : 2
  return { step, priority: queue.priority, lateness, dueAt }
}

function computeObjective (step: StepInstance): number {
  const { queue } = step.job.job
  return queue.stretch * criticalPathMs(step, 0) + queue.targetLatencyMs
}

/** Expected duration of the job's longest chain of dependent steps, in ms. */
function criticalPathMs (step: StepInstance, from: number): number {
  const ends: number[] = []
  for (const [index, { after, estimatedRunMs }] of step.job.spec.steps.entries()) {
    const begin = after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), from)
    ends.push(begin + estimatedRunMs)
    if (index > MAX_PATH_STEPS) break
  }
  return Math.max(...ends)
}

/** Steps beyond this index don't change the order noticeably. */
const MAX_PATH_STEPS = 64

/** Expected time from the start of the step to the end of the job, in ms. */
function remainingPathMs (step: StepInstance): number {
  const { steps } = step.job.spec
  const ends = new Map<number, number>([[step.index, step.spec.estimatedRunMs]])
  let longest = step.spec.estimatedRunMs
  for (let index = step.index + 1; index < steps.length; index++) {
    const { after, estimatedRunMs } = steps[index]!
    const begins = after.flatMap((earlier) => ends.get(earlier) ?? [])
    if (begins.length === 0) continue
    const end = Math.max(...begins) + estimatedRunMs
    ends.set(index, end)
    longest = Math.max(longest, end)
  }
  return longest
}
