import type { TaskInstance } from '../model/index.ts'

/** Failures in a row, of tasks of different jobs, after which a worker gets no tasks for a time. */
const FAILURES_IN_A_ROW = 2

/** First time without tasks, in ms; doubled with each failure after it, up to the limit. */
const REST_MS = 3_000
const REST_LIMIT_MS = 20_000

interface Record {
  /** Jobs whose tasks failed since the last success. */
  failedJobs: Set<string>
  restUntil: number
  restMs: number
  /** Failures that stood against the worker when its rest ended; the next task there is a trial. */
  onTrial: boolean
  trial: TaskInstance | undefined
}

/** Finds workers that fail what they start from few outcomes, and keeps tasks away from them for a time. */
export class WorkerTrust {
  readonly #records = new Map<string, Record>()

  /** Records the end of a run. A job that fails everywhere counts once against each worker, which isn't enough. */
  record (worker: string, task: TaskInstance, succeeded: boolean, now: number): void {
    const record = this.#get(worker)
    if (record.trial === task) record.trial = undefined
    if (succeeded) {
      record.failedJobs.clear()
      record.onTrial = false
      record.restMs = REST_MS
      return
    }
    record.failedJobs.add(task.step.job.id)
    if (record.onTrial || record.failedJobs.size >= FAILURES_IN_A_ROW) {
      record.restUntil = now + record.restMs
      record.restMs = Math.min(REST_LIMIT_MS, record.restMs * 2)
      record.onTrial = true
    }
  }

  /** Notes that a task starts on a worker; it is the trial if the worker's rest has just ended. */
  start (worker: string, task: TaskInstance): void {
    const record = this.#records.get(worker)
    if (record?.onTrial === true) record.trial = task
  }

  /** Whether a worker may get a task. The last attempt of a task needs a worker without open failures. */
  mayStart (worker: string, task: TaskInstance): boolean {
    const record = this.#records.get(worker)
    if (record === undefined) return true
    if (record.restUntil > performance.now()) return false
    if (record.onTrial && record.trial?.isAssigned === true && record.trial.worker === worker) return false
    const isLastAttempt = !task.step.spec.longRunning && task.failures + 1 >= task.step.job.job.queue.maxAttempts
    return !isLastAttempt || record.failedJobs.size === 0
  }

  forget (worker: string): void {
    this.#records.delete(worker)
  }

  #get (worker: string): Record {
    const known = this.#records.get(worker)
    if (known !== undefined) return known
    const record: Record = {
      failedJobs: new Set(), restUntil: 0, restMs: REST_MS, onTrial: false, trial: undefined
    }
    this.#records.set(worker, record)
    return record
  }
}
