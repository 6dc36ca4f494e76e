import type { StepInstance, TrackedJob } from '../../model/index.ts'
import type { Step } from '../../types.ts'

/** Part of the value of a job that does not depend on its work; the rest grows with it. */
const FIXED_VALUE = 0.3

/**
 * Computes for each step how much work is left in its occurrence for each unit of value of the job. While there is too
 * little room, starting the jobs with the least of it first earns more than the earliest due time, with which all jobs
 * miss their objective by a little. The value of a job is relative to the mean work of the given jobs of its queue.
 *
 * @param steps - Steps with waiting tasks.
 * @returns Processor milliseconds per unit of value; only for steps of jobs with a client account.
 */
export function computeWorkPerValue (steps: readonly StepInstance[]): Map<StepInstance, number> {
  const jobs = new Set(steps.map(({ job }) => job).filter(({ definition }) => definition.account !== undefined))
  const works = new Map([...jobs].map((job) => [job, computeWork(job)]))
  const sums = new Map<string, { work: number, jobs: number }>()
  for (const [{ definition: { queue } }, work] of works) {
    const sum = sums.get(queue.name) ?? { work: 0, jobs: 0 }
    sums.set(queue.name, { work: sum.work + work, jobs: sum.jobs + 1 })
  }
  // All waiting steps of an occurrence have the same: a legal job has 1,500 tasks and 64 steps that wait at once.
  const waitingWorks = new Map<readonly StepInstance[], number>()
  const result = new Map<StepInstance, number>()
  for (const step of steps) {
    const work = works.get(step.job)
    if (work === undefined) continue
    const sum = sums.get(step.job.definition.queue.name)!
    const relative = sum.work > 0 ? work * sum.jobs / sum.work : 1
    const siblings = step.job.occurrences.get(step.occurrence) ?? []
    const waitingWork = waitingWorks.get(siblings) ?? computeWaitingWork(siblings)
    waitingWorks.set(siblings, waitingWork)
    result.set(step, waitingWork / (FIXED_VALUE + (1 - FIXED_VALUE) * relative))
  }
  return result
}

function computeWork (job: TrackedJob): number {
  return job.spec.steps.reduce((sum, step, index) => sum + step.count * workOf(step, job.expectedRunMs(index)), 0)
}

function computeWaitingWork (steps: readonly StepInstance[]): number {
  let work = 0
  for (const { spec, tasks, isDone, expectedRunMs } of steps) {
    if (!isDone) for (const { status } of tasks) if (status === 'waiting') work += workOf(spec, expectedRunMs)
  }
  return work
}

function workOf ({ demand }: Step, expectedRunMs: number): number {
  return demand.cpuMillis * expectedRunMs
}
