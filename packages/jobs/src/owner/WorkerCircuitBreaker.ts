import type { StepInstance, TaskInstance } from '../model/index.ts'
import type { HealthObstacle } from '../placement/countObstacles/index.ts'

/** Number of different jobs with failed tasks since the last success after which the breaker of a worker opens. */
const FAILURE_THRESHOLD = 2

/** First cooldown, in ms. It doubles with each further failure until a task succeeds. */
const INITIAL_COOLDOWN_MS = 3_000

/** Longest cooldown, in ms. */
const MAX_COOLDOWN_MS = 20_000

/** Least time between two starts on a worker of tasks that have no healthier worker to go to, in ms. */
const PROBE_INTERVAL_MS = 1_000

/**
 * Least time after which a long-running task that was started on a failing worker shows that the worker is healthy
 * again, in ms. Failing workers usually end their runs within 2 s.
 */
const HEALTHY_RUN_MS = 2_500

/** Time by which such a run must outlast those that were started on the failing worker and failed, in ms. */
const HEALTHY_RUN_MARGIN_MS = 1_000

/** Longest run that counts as failed because of its worker, in ms. Later failures have other causes. */
const MAX_FAILING_RUN_MS = 5_000

/** Stands for the jobs that failed under an earlier owner. */
const UNKNOWN_JOB = ''

interface BreakerState {
  /** Jobs whose tasks failed since the last success. */
  failedJobs: Set<string>
  /** Last run of each gang of which a member has failed on the worker. */
  failedGangRuns: WeakMap<StepInstance, number>
  /**
   * Monotonic time of the first failure since the last success, or of the one that opened the breaker, in ms; infinite
   * after a run was done.
   */
  failingSince: number
  /** Longest run that was started on the failing worker and failed, in ms; 0 if there was none since a run was done. */
  longestFailedRunMs: number
  /** Monotonic time until which the worker gets no tasks, in ms. */
  openUntil: number
  /** Cooldown for the next time that the breaker opens, in ms. */
  cooldownMs: number
  /** No task has succeeded since the breaker opened. After the cooldown one task at a time starts as a probe. */
  tripped: boolean
  probe: TaskInstance | undefined
  /** Monotonic time of the last assignment since a task first failed on the worker, in ms. */
  lastStartAt: number
}

/** Circuit breaker for each worker: keeps tasks away for a time from workers on which tasks of several jobs failed. */
export class WorkerCircuitBreaker {
  readonly #states = new Map<string, BreakerState>()
  #isChanged = false

  /**
   * Records the result of a run. Failures of one job count once per worker, so that a job that fails everywhere opens
   * no breaker by itself. So do the failures of a gang's members in one run.
   */
  recordResult (worker: string, task: TaskInstance, succeeded: boolean, now: number): void {
    const state = this.#getOrCreate(worker)
    if (state.probe === task) state.probe = undefined
    if (succeeded) {
      this.#close(state)
      state.failingSince = Infinity
      state.longestFailedRunMs = 0
      return
    }
    if (task.status === 'running' && wasStartedSince(task, state.failingSince)) {
      const ranMs = now - task.startedAt
      if (ranMs <= MAX_FAILING_RUN_MS) state.longestFailedRunMs = Math.max(state.longestFailedRunMs, ranMs)
    }
    const { step, run } = task
    if (step.spec.gang && state.failedGangRuns.get(step) === run) return
    if (step.spec.gang) state.failedGangRuns.set(step, run)
    if (state.failedJobs.size === 0) state.failingSince = now
    state.failedJobs.add(step.job.id)
    if (state.tripped || state.failedJobs.size >= FAILURE_THRESHOLD) {
      if (!state.tripped) state.failingSince = now
      state.openUntil = now + state.cooldownMs
      state.cooldownMs = Math.min(MAX_COOLDOWN_MS, state.cooldownMs * 2)
      state.tripped = true
      this.#isChanged = true
    }
  }

  /**
   * Records the tasks that a worker reports as running. A long-running task never ends with success; instead it counts
   * as one when it was started after the worker had begun to fail, and has lasted.
   *
   * @param sentAt - Monotonic time of the request for the report, in ms.
   * @returns Whether the worker has become healthy, so that it may get more tasks.
   */
  recordRunning (worker: string, tasks: Iterable<TaskInstance>, sentAt: number): boolean {
    const state = this.#states.get(worker)
    if (state === undefined || state.failedJobs.size === 0) return false
    const healthyRunMs = Math.max(HEALTHY_RUN_MS, state.longestFailedRunMs + HEALTHY_RUN_MARGIN_MS)
    for (const task of tasks) {
      if (!task.step.spec.longRunning || !wasStartedSince(task, state.failingSince)) continue
      if (sentAt - task.startedAt < healthyRunMs) continue
      this.#close(state)
      return true
    }
    return false
  }

  /**
   * Restores the breaker of a worker that an earlier owner has found failing.
   *
   * @param openUntil - Monotonic time until which the worker gets no tasks, in ms.
   * @param cooldownMs - Cooldown for the next time that the breaker opens, in ms.
   */
  restore (worker: string, openUntil: number, cooldownMs: number): void {
    const state = this.#getOrCreate(worker)
    state.tripped = true
    state.failingSince = performance.now()
    state.openUntil = Math.min(openUntil, performance.now() + MAX_COOLDOWN_MS)
    state.cooldownMs = Math.min(cooldownMs, MAX_COOLDOWN_MS)
    state.failedJobs.add(UNKNOWN_JOB)
  }

  /** Breakers that have opened and not closed again. */
  listTripped (): Array<{ worker: string, openUntil: number, cooldownMs: number }> {
    return [...this.#states].filter(([, { tripped }]) => tripped)
      .map(([worker, { openUntil, cooldownMs }]) => ({ worker, openUntil, cooldownMs }))
  }

  /** Whether a breaker has opened or closed since the last call. */
  takeChange (): boolean {
    const isChanged = this.#isChanged
    this.#isChanged = false
    return isChanged
  }

  /** Records that a task was assigned to a worker. It becomes the probe if the breaker has not closed again. */
  recordStart (worker: string, task: TaskInstance): void {
    const state = this.#states.get(worker)
    if (state === undefined) return
    state.lastStartAt = performance.now()
    if (state.tripped) state.probe = task
  }

  /**
   * Whether a worker may get a task that has no healthier one to go to. Such tasks arrive slowly, so that a worker that
   * fails at once does not use up the attempts of all waiting tasks.
   */
  mayProbe (worker: string): boolean {
    const lastStartAt = this.#states.get(worker)?.lastStartAt ?? -Infinity
    return performance.now() - lastStartAt >= PROBE_INTERVAL_MS
  }

  /**
   * Whether a task may be assigned to a worker. The last attempt of a task goes only to a worker without failures since
   * its last success.
   */
  mayStart (worker: string, task: TaskInstance): boolean {
    return this.findObstacle(worker, task) === undefined
  }

  /** What keeps a task off a worker, if `mayStart` is false. */
  findObstacle (worker: string, task: TaskInstance): HealthObstacle | undefined {
    const state = this.#states.get(worker)
    if (state === undefined) return undefined
    if (state.openUntil > performance.now()) return 'breakerOpen'
    if (state.tripped && state.probe?.isAssigned === true && state.probe.worker === worker) return 'probed'
    const isLastAttempt = !task.step.spec.longRunning && task.failures + 1 >= task.step.job.definition.queue.maxAttempts
    return isLastAttempt && state.failedJobs.size > 0 ? 'lastAttempt' : undefined
  }

  /** Whether tasks have failed on some worker since its last success. */
  get hasSuspects (): boolean {
    for (const { failedJobs } of this.#states.values()) if (failedJobs.size > 0) return true
    return false
  }

  remove (worker: string): void {
    this.#isChanged ||= this.#states.get(worker)?.tripped === true
    this.#states.delete(worker)
  }

  #close (state: BreakerState): void {
    this.#isChanged ||= state.tripped
    state.failedJobs.clear()
    state.tripped = false
    state.probe = undefined
    state.openUntil = 0
    state.cooldownMs = INITIAL_COOLDOWN_MS
  }

  #getOrCreate (worker: string): BreakerState {
    const existing = this.#states.get(worker)
    if (existing !== undefined) return existing
    const state: BreakerState = {
      failedJobs: new Set(),
      failedGangRuns: new WeakMap(),
      failingSince: Infinity,
      longestFailedRunMs: 0,
      openUntil: 0,
      cooldownMs: INITIAL_COOLDOWN_MS,
      tripped: false,
      probe: undefined,
      lastStartAt: -Infinity
    }
    this.#states.set(worker, state)
    return state
  }
}

/** Whether a run was ordered after a monotonic time in ms; not so if an earlier owner has ordered it. */
function wasStartedSince ({ orderedAt }: TaskInstance, since: number): boolean {
  return orderedAt !== undefined && orderedAt >= since
}
