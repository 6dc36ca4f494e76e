import type { StepInstance, TrackedJob } from '../model/index.ts'
import type { RunTimesState } from './RunTimesState.ts'
import { RunTimeSample } from './RunTimeSample.ts'

/** Runs of a group that are kept; after a change of the work, the median is right once they are replaced. */
const KEPT_RUNS = 48

/** Prediction errors of a queue that are kept: enough for a few of the longest of a hundred runs. */
const KEPT_ERRORS = 256

/** Runs of a group, or of a queue, from which on their median is a prediction. */
const MIN_RUNS = 20

/** Steps from which on learned run times may replace declared ones: the tasks of one step are much alike. */
const MIN_STEPS = 3

/** Largest number of groups; an entry takes up to 700 bytes. */
const MAX_GROUPS = 10_000

/** Error of a run from which a larger one counts no more (a factor of 4.5), and weight of a run in average errors. */
const MAX_ERROR = 1.5
const ERROR_WEIGHT = 0.03

/** Error of another prediction, relative to the one of the declared times, at which it replaces these. */
const BETTER_SHARE = 0.8

/** Quantile of the run times that an overdue limit allows for. */
const LATE_SHARE = 0.99

/** How a run time is predicted: as declared; declared, times what the queue usually takes; as similar runs took. */
type Method = 'declared' | 'scaled' | 'learned'

// The store holds indices into this list, so its order must not change.
const METHODS = ['declared', 'scaled', 'learned'] as const

/** Groups that are stored; the last ones to appear. A group takes 80 bytes of the row. */
const MAX_STORED_GROUPS = 200

interface QueueRecord {
  /** Logarithms of run times in ms, relative to the speed of the worker. */
  runs: RunTimeSample
  /** Logarithms of run times relative to the declared ones. */
  ratios: RunTimeSample
  /** Logarithms of run times relative to the expected ones. */
  errors: RunTimeSample
  /** Average absolute errors of the logarithms. */
  averages: Record<Method, number>
  runCount: number
  stepCount: number
  method: Method
}

/** Learns how long the tasks of a queue run, and which prediction of it is the best one. */
export class RunTimeEstimator {
  readonly #queues = new Map<string, QueueRecord>()
  /** Logarithms of run times in ms by kind of work, relative to the speed of the worker; the oldest group first. */
  readonly #groups = new Map<string, RunTimeSample>()

  /**
   * Records a run.
   *
   * @param workMs - Its run time on a worker of mean speed, in ms.
   * @param isStopped - The run was stopped, and would have taken longer.
   */
  record (step: StepInstance, workMs: number, isStopped: boolean): void {
    const queue = this.#openQueue(step)
    const expected = step.expectedRunMs
    const log = Math.log(Math.max(1, workMs))
    // A stopped run that has not taken longer than expected tells nothing.
    if (isStopped && workMs <= expected) return
    if (!isStopped) this.#compare(queue, step, log)
    queue.runCount++
    queue.runs.add(log)
    for (const key of groupKeys(step.job, step.index)) this.#openGroup(key).add(log)
    if (step.spec.estimatedRunMs > 0) queue.ratios.add(log - Math.log(step.spec.estimatedRunMs))
    // Tasks that hang would raise the limit at which they are stopped, again and again.
    if (!isStopped && expected > 0) queue.errors.add(log - Math.log(expected))
  }

  /** Records that all tasks of a step are done. */
  recordStep (step: StepInstance): void {
    const queue = this.#queues.get(step.job.definition.queue.name)
    if (queue === undefined) return
    queue.stepCount++
    queue.method = chooseMethod(queue)
  }

  /** Returns the expected run time of the tasks of a step on a worker of mean speed, in ms; undefined as declared. */
  estimate (job: TrackedJob, step: number): number | undefined {
    const queue = this.#queues.get(job.definition.queue.name)
    if (queue === undefined) return undefined
    const declared = job.spec.steps[step]!.estimatedRunMs
    const method = declared > 0 || queue.method !== 'declared' ? queue.method : 'learned'
    const log = this.#predict(queue, job, step, method)
    return log === undefined || method === 'declared' ? undefined : Math.exp(log)
  }

  /** Run time that few runs of a queue exceed, relative to the expected one; 1 when unknown. */
  longestRatio (queue: string): number {
    const errors = this.#queues.get(queue)?.errors
    return errors === undefined || errors.size < MIN_RUNS ? 1 : Math.max(1, Math.exp(errors.quantile(LATE_SHARE)))
  }

  /** Returns what a later owner needs to predict run times, as far as predictions are made from it. */
  snapshot (): Pick<RunTimesState, 'queues' | 'groups'> {
    return {
      queues: [...this.#queues].filter(([, { runs }]) => runs.size >= MIN_RUNS).map(([name, queue]) => [
        name, METHODS.indexOf(queue.method), METHODS.map((method) => Math.round(queue.averages[method] * 10) / 10),
        ...[queue.runs, queue.ratios, queue.errors].map((sample) => sample.size === 0 ? [] : sample.summarize())
      ] as RunTimesState['queues'][number]),
      groups: [...this.#groups].filter(([, { size }]) => size >= MIN_RUNS).slice(-MAX_STORED_GROUPS)
        .map(([key, sample]) => [key, sample.summarize()])
    }
  }

  /** Restores what an earlier owner has learned. */
  restore ({ queues, groups }: RunTimesState): void {
    for (const [name, method, averages, runs, ratios, errors] of queues) {
      const queue = createQueueRecord()
      queue.method = METHODS[method]!
      for (const [index, average] of averages.entries()) queue.averages[METHODS[index]!] = average
      queue.runs.restore(runs)
      queue.ratios.restore(ratios)
      queue.errors.restore(errors)
      Object.assign(queue, { runCount: MIN_RUNS, stepCount: MIN_STEPS })
      this.#queues.set(name, queue)
    }
    for (const [key, summary] of groups) this.#openGroup(key).restore(summary)
  }

  /** Describes the queues for the log. */
  describe (): Array<{ queue: string, method: Method, medianMs: number, error: number }> {
    const known = [...this.#queues].filter(([, { runs }]) => runs.size >= MIN_RUNS)
    return known.map(([queue, { runs, method, averages }]) => ({
      queue,
      method,
      medianMs: Math.round(Math.exp(runs.quantile(0.5))),
      error: Math.round(averages[method] * 100) / 100
    }))
  }

  /** Updates the average errors of all predictions with a run that had not been known to them. */
  #compare (queue: QueueRecord, { job, index }: StepInstance, log: number): void {
    for (const method of METHODS) {
      const prediction = this.#predict(queue, job, index, method)
      const error = prediction === undefined ? MAX_ERROR : Math.min(MAX_ERROR, Math.abs(log - prediction))
      queue.averages[method] += ERROR_WEIGHT * (error - queue.averages[method])
    }
  }

  /** Logarithm of the predicted run time in ms; undefined without one. */
  #predict (queue: QueueRecord, job: TrackedJob, step: number, method: Method): number | undefined {
    const declared = job.spec.steps[step]!.estimatedRunMs
    if (method === 'learned') {
      for (const key of groupKeys(job, step)) {
        const group = this.#groups.get(key)
        if (group !== undefined && group.size >= MIN_RUNS) return group.quantile(0.5)
      }
      return queue.runs.size >= MIN_RUNS ? queue.runs.quantile(0.5) : undefined
    }
    if (declared <= 0) return undefined
    if (method === 'declared') return Math.log(declared)
    return queue.ratios.size >= MIN_RUNS ? Math.log(declared) + queue.ratios.quantile(0.5) : undefined
  }

  #openQueue ({ job }: StepInstance): QueueRecord {
    const { name } = job.definition.queue
    let queue = this.#queues.get(name)
    if (queue === undefined) {
      queue = createQueueRecord()
      this.#queues.set(name, queue)
    }
    return queue
  }

  #openGroup (key: string): RunTimeSample {
    let group = this.#groups.get(key)
    if (group === undefined) {
      group = new RunTimeSample(KEPT_RUNS)
      this.#groups.set(key, group)
      if (this.#groups.size > MAX_GROUPS) this.#groups.delete(this.#groups.keys().next().value!)
    }
    return group
  }
}

function createQueueRecord (): QueueRecord {
  return {
    runs: new RunTimeSample(KEPT_RUNS),
    ratios: new RunTimeSample(KEPT_RUNS),
    errors: new RunTimeSample(KEPT_ERRORS),
    averages: { declared: 0, scaled: MAX_ERROR, learned: MAX_ERROR },
    runCount: 0,
    stepCount: 0,
    method: 'declared'
  }
}

function chooseMethod ({ averages, method, runCount, stepCount }: QueueRecord): Method {
  if (runCount < MIN_RUNS || stepCount < MIN_STEPS) return 'declared'
  const best = averages.learned < averages.scaled ? 'learned' : 'scaled'
  // The prediction in use is kept while it is about as good, since each change reorders the waiting jobs.
  if (averages[best] < BETTER_SHARE * averages[method]) return best
  return method !== 'declared' && averages[method] > averages.declared ? 'declared' : method
}

/** Names the groups of similar runs that a step belongs to, the narrowest first. */
function groupKeys (job: TrackedJob, step: number): string[] {
  const { estimatedRunMs, image, demand } = job.spec.steps[step]!
  const timeClass = estimatedRunMs > 0 ? Math.round(Math.log2(estimatedRunMs)) : 'unknown'
  const { name } = job.definition.queue
  const size = Math.round(Math.log2(1 + demand.cpuMillis + demand.memoryMb))
  return [`${name} ${timeClass} ${size} ${image}`, `${name} ${timeClass}`]
}
