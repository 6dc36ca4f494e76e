import type { StepInstance, TaskInstance } from '../model/index.ts'
import type { LogWriter } from '../ports.ts'
import { filterRunnable } from '../placement/chooseWorker/index.ts'
import { countObstacles } from '../placement/countObstacles/index.ts'
import type { WorkerState } from '../workers/WorkerState.ts'

/** Least time between two lines about one step, and the wait before its first one, in ms. */
const STEP_INTERVAL_MS = 2_000

/** Least time between two lines, in ms: under overload hundreds of steps wait. */
const LINE_INTERVAL_MS = 100

/** Most steps that a line names in `reservedFor`. */
const MAX_RESERVED_FOR = 3

interface WorkerChecks extends Omit<Parameters<typeof countObstacles>[2], 'now'> {
  isHealthy: (worker: WorkerState) => boolean
  /** The step that a reserved worker is kept for. */
  reservedFor: (worker: WorkerState) => StepInstance | undefined
}

/** Logs what keeps waiting steps off the workers of their pool, in a bounded number of lines. */
export class WaitLog {
  readonly #log: LogWriter
  /** Monotonic time of the last line about each step, in ms. */
  readonly #loggedAt = new WeakMap<StepInstance, number>()
  #lastLineAt = -Infinity

  constructor (log: LogWriter) {
    this.#log = log
  }

  /** Logs the step of a task that found no worker in this round, unless a line would be too soon. */
  record (task: TaskInstance, workers: readonly WorkerState[], checks: WorkerChecks, now: number): void {
    const { step } = task
    const since = Math.max(task.waitingSince, step.readyAt ?? 0)
    if (now - this.#lastLineAt < LINE_INTERVAL_MS) return
    if (now - Math.max(since, this.#loggedAt.get(step) ?? 0) < STEP_INTERVAL_MS) return
    this.#lastLineAt = now
    this.#loggedAt.set(step, now)
    const obstacles = countObstacles(task, workers, { ...checks, now })
    this.#log.info({
      job: step.job.id,
      step: step.name,
      left: step.tasks.filter(({ status }) => status === 'waiting').length,
      waitedMs: Math.round(now - since),
      workers: workers.length,
      obstacles,
      ...describeRequest(step, now),
      ...obstacles.reserved === undefined ? {} : { reservedFor: nameKeepers(task, workers, checks, now) }
    }, 'step waits for a worker')
  }
}

/** How long the step's request for advice has waited for a node, or for which node's answer. */
function describeRequest ({ advice: { request } }: StepInstance, now: number) {
  if (request === undefined) return {}
  const { requestedAt, sentAt, node } = request
  return sentAt === undefined
    ? { adviceQueuedMs: Math.round(now - requestedAt) }
    : { adviceOpenMs: Math.round(now - sentAt), adviceNode: node }
}

/** Names the steps for which workers are kept that the task could use otherwise. */
function nameKeepers (
  task: TaskInstance, workers: readonly WorkerState[], checks: WorkerChecks, now: number
): string[] {
  const { isHealthy, isReserved, reservedFor, sharesClaimedCpu } = checks
  const reserved = workers.filter((worker) => worker.hasRoom(task.step.spec) && isReserved(worker))
  const kept = filterRunnable(task, reserved, { now, isHealthy, sharesClaimedCpu, ignoreTickets: true })
  return [...new Set(kept.flatMap((worker) => reservedFor(worker)?.name ?? []))].slice(0, MAX_RESERVED_FOR)
}
