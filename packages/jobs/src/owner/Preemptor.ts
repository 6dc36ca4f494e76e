import type { StepInstance, TaskInstance } from '../model/index.ts'
import { choosePreemption } from '../placement/choosePreemption/index.ts'
import { filterRunnable } from '../placement/chooseWorker/index.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'

/** Time for which a worker is kept for a task that others are stopped for, in ms: a stop takes up to 0.9 s to show. */
const CLAIM_MS = 1_300

/** Most workers on which room is made for one step at a time, which bounds the time for choosing them. */
const MAX_CLAIMS = 6

/** Time that a task waits for room before others are stopped for it, in ms: most room comes from runs that end. */
const PREEMPT_AFTER_MS = 150

/** Conditions of a placement round that a worker has to meet for a task. */
interface WorkerChecks {
  isHealthy: (worker: WorkerState) => boolean
  isReserved: (worker: WorkerState) => boolean
}

/** Stops less urgent tasks to make room for tasks that can still end in time, and keeps the workers free for these. */
export class Preemptor {
  readonly #cell: Cell
  readonly #stop: (task: TaskInstance) => void

  /** @param stop stops the run of a task, which then waits for another run */
  constructor (cell: Cell, stop: (task: TaskInstance) => void) {
    this.#cell = cell
    this.#stop = stop
  }

  /** Whether a worker is kept for a task of another step. */
  isClaimed ({ claim }: WorkerState, step: StepInstance): boolean {
    return claim !== undefined && claim.step !== step && claim.until > this.#cell.now()
  }

  /** Ends the claim of a task that has started. */
  recordStart ({ step }: TaskInstance, worker: WorkerState): void {
    if (worker.claim?.step === step) worker.claim = undefined
  }

  /**
   * Stops less urgent tasks on one of the workers for which a blocked task has a ticket.
   *
   * @returns Whether the workers were looked at, which takes a time for each of them.
   */
  makeRoom (task: TaskInstance, workers: readonly WorkerState[], checks: WorkerChecks, now: number): boolean {
    const { step } = task
    if (step.spec.gang || step.spec.longRunning) return false
    if (now - Math.max(task.waitingSince, step.readyAt ?? 0) < PREEMPT_AFTER_MS) return false
    let claims = workers.filter(({ claim }) => claim !== undefined && claim.step === step && claim.until > now).length
    const maxClaims = this.#countClaims(step)
    if (claims >= maxClaims) return false
    const possible = filterRunnable(task, workers, { ...checks, now: now + CLAIM_MS })
    for (; claims < maxClaims; claims++) {
      const unclaimed = possible.filter(({ claim }) => claim?.step !== step || claim.until <= now)
      const preemption = choosePreemption(task, unclaimed, now)
      if (preemption === undefined) break
      preemption.worker.claim = { step, until: now + CLAIM_MS }
      this.#stopAll(preemption.victims, task, preemption.worker)
    }
    return true
  }

  /**
   * Number of workers on which room is made for a step at a time. Where client accounts compete, all tasks of a step
   * get room at once: one after the other, a step of ten tasks would wait for several stops.
   */
  #countClaims ({ tasks }: StepInstance): number {
    if (this.#cell.configuration()?.accounts === undefined) return 1
    return Math.min(MAX_CLAIMS, tasks.filter(({ status }) => status === 'waiting').length)
  }

  #stopAll (victims: readonly TaskInstance[], task: TaskInstance, worker: WorkerState): void {
    if (victims.length === 0) return
    const stopped = victims.map(({ step, index }) => `${step.name}.${index}`)
    this.#cell.log.info({ job: task.step.job.id, worker: worker.id, stopped }, 'stopping less urgent tasks')
    this.#cell.metrics.count('preemptions', {}, victims.length)
    for (const victim of victims) {
      victim.preemptions++
      this.#stop(victim)
    }
  }
}
