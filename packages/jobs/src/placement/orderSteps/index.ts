import type { StepRun } from '../../book/index.ts'

/** Objectives are missed for good when a job takes this many times its objective; it earns nothing more then. */
const LATE_FACTOR = 3

/** Time until which the objective of a job still counts: on time, late, or missed for good. */
type Standing = 0 | 1 | 2

export interface OrderedStep {
  step: StepRun
  priority: number
  standing: Standing
  /** Steady time by which the job's objective ends, in ms. */
  dueAt: number
}

/**
 * Orders steps for placement: by priority, then those that can still meet their objective before those that are late
 * and those that no longer count, then by the objective's end.
 *
 * @param steps - Steps with waiting tasks.
 * @param now - Steady time, in ms.
 * @returns The steps with what orders them.
 */
export function orderSteps (steps: readonly StepRun[], now: number): OrderedStep[] {
  return steps
    .map((step) => describe(step, now))
    .sort((a, b) => a.priority - b.priority || a.standing - b.standing || a.dueAt - b.dueAt)
}

function describe (step: StepRun, now: number): OrderedStep {
  const { queue } = step.job.job
  const objective = computeObjective(step)
  const begin = step.job.knownSince
  const dueAt = begin + objective
  const remaining = remainingChain(step)
  const expectedEnd = now + remaining
  const standing = step.spec.longRunning || expectedEnd <= dueAt
    ? 0
    : expectedEnd <= begin + LATE_FACTOR * objective ? 1 : 2
  return { step, priority: queue.priority, standing, dueAt }
}

function computeObjective (step: StepRun): number {
  const { queue } = step.job.job
  return queue.stretch * longestChain(step, 0) + queue.targetLatencyMs
}

/** Expected time of the longest chain of steps of the whole job, in ms. */
function longestChain (step: StepRun, from: number): number {
  const ends: number[] = []
  for (const [index, { after, estimatedRunMs }] of step.job.spec.steps.entries()) {
    const begin = after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), from)
    ends.push(begin + estimatedRunMs)
    if (index > MAX_CHAIN_STEPS) break
  }
  return Math.max(...ends)
}

/** Steps beyond this position don't change the order noticeably. */
const MAX_CHAIN_STEPS = 64

/** Expected time from the step's start to the job's end, in ms. */
function remainingChain (step: StepRun): number {
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
