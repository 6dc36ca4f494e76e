import {
  MAX_COUNTED_FAILURES_PER_GROUP, MAX_EXCLUDED_SHARE, EXCLUSION_THRESHOLD, MAX_PROBE_DELAY_MS, PROBE_DELAY_MS,
  MAX_TRACKED_GROUPS_PER_WORKER
} from '../constants/index.ts'

interface OutcomeCounts { attempts: number, failures: number }

interface Exclusion {
  state: 'excluded' | 'probing'
  /** When this state ends in ms; a probing worker stays in it while a probe runs. */
  until: number
  delayMs: number
  /** Task that runs as the probe; no other task is started meanwhile. */
  probe: string | undefined
}

/**
 * Detects workers that fail every task and excludes them, as a circuit breaker does: after a delay an excluded worker
 * is probed with one task at a time, and a success ends the exclusion.
 */
export class WorkerHealth {
  readonly #outcomesByGroup = new Map<string, OutcomeCounts>()
  /** Failures since the worker's last success, by worker and group. */
  readonly #failuresByWorker = new Map<string, Map<string, number>>()
  readonly #exclusions = new Map<string, Exclusion>()

  /**
   * Records the outcome of an attempt. A failure is weighted by the group's success rate on other workers, so that a
   * group that fails everywhere is hardly evidence against a worker.
   *
   * @param workerCount - Number of known workers, which limits how many are excluded.
   */
  recordOutcome (worker: string, group: string, succeeded: boolean, now: number, workerCount: number): void {
    const total = this.#outcomesByGroup.get(group) ?? { attempts: 0, failures: 0 }
    this.#outcomesByGroup.set(group, { attempts: total.attempts + 1, failures: total.failures + (succeeded ? 0 : 1) })
    if (succeeded) {
      this.#failuresByWorker.delete(worker)
      this.#exclusions.delete(worker)
      return
    }
    const failuresByGroup = this.#failuresByWorker.get(worker) ?? new Map<string, number>()
    this.#failuresByWorker.set(worker, failuresByGroup)
    const failures = failuresByGroup.get(group) ?? 0
    if (failures > 0 || failuresByGroup.size < MAX_TRACKED_GROUPS_PER_WORKER) failuresByGroup.set(group, failures + 1)

    const exclusion = this.#exclusions.get(worker)
    if (exclusion?.state === 'excluded') return
    if (exclusion !== undefined) {
      const delayMs = Math.min(MAX_PROBE_DELAY_MS, exclusion.delayMs * 2)
      this.#exclusions.set(worker, { state: 'excluded', until: now + delayMs, delayMs, probe: undefined })
      return
    }
    const limit = Math.max(1, Math.floor(workerCount * MAX_EXCLUDED_SHARE))
    if (this.#exclusions.size >= limit || this.#computeEvidence(failuresByGroup) < EXCLUSION_THRESHOLD) return
    this.#exclusions.set(worker, { state: 'excluded', until: now + PROBE_DELAY_MS, delayMs: PROBE_DELAY_MS, probe: undefined })
  }

  /**
   * Starts probing excluded workers whose delay is over. A worker that got no probe for as long again is included
   * without one: perhaps only gangs need it, and they are not placed on workers that are being probed. Returns the
   * workers whose state changed.
   */
  refresh (now: number): string[] {
    const due = [...this.#exclusions].filter(([, { until, probe }]) => until <= now && probe === undefined)
    for (const [worker, exclusion] of due) {
      if (exclusion.state === 'probing') this.#exclusions.delete(worker)
      exclusion.state = 'probing'
      exclusion.until = now + exclusion.delayMs
    }
    return due.map(([worker]) => worker)
  }

  canStart (worker: string): boolean {
    const exclusion = this.#exclusions.get(worker)
    return exclusion === undefined || (exclusion.state === 'probing' && exclusion.probe === undefined)
  }

  isProbing (worker: string): boolean {
    return this.#exclusions.get(worker)?.state === 'probing'
  }

  /** Records a started task, which becomes the probe if the worker is being probed without one. */
  recordStart (worker: string, task: string): void {
    const exclusion = this.#exclusions.get(worker)
    if (exclusion?.state === 'probing') exclusion.probe ??= task
  }

  /** Records a released task. A probe that ended without an outcome may be followed by another. */
  recordEnd (worker: string, task: string): void {
    const exclusion = this.#exclusions.get(worker)
    if (exclusion?.probe === task) exclusion.probe = undefined
  }

  forgetWorker (worker: string): void {
    this.#failuresByWorker.delete(worker)
    this.#exclusions.delete(worker)
  }

  forgetGroup (group: string): void {
    this.#outcomesByGroup.delete(group)
  }

  excludedCount (): number {
    return this.#exclusions.size
  }

  #computeEvidence (failuresByGroup: Map<string, number>): number {
    let evidence = 0
    for (const [group, failures] of failuresByGroup) {
      const total = this.#outcomesByGroup.get(group) ?? { attempts: 0, failures: 0 }
      const successes = total.attempts - total.failures
      // A group that was removed and submitted again may have fewer outcomes in total than failures on this worker.
      const attempts = Math.max(successes, total.attempts - failures)
      // Laplace's rule of succession: a failure of a group without outcomes elsewhere counts one half.
      evidence += Math.min(MAX_COUNTED_FAILURES_PER_GROUP, failures) * (successes + 1) / (attempts + 2)
    }
    return evidence
  }
}
