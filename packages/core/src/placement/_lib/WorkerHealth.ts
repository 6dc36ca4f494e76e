import {
  MAX_COUNTED_FAILURES_PER_GROUP, MAX_EXCLUDED_SHARE, EXCLUSION_THRESHOLD, MAX_PROBE_DELAY_MS, PROBE_DELAY_MS,
  MAX_TRACKED_GROUPS_PER_WORKER
} from '../constants/index.ts'

interface OutcomeCounts { attempts: number, failures: number }

interface Exclusion {
  state: 'excluded' | 'probing'
  /** When this state ends unless a probe runs, in ms. */
  until: number
  delayMs: number
  /** Task that runs as the probe. */
  probe: string | undefined
}

/** Finds workers that fail everything they start, excludes them and lets them try single tasks again later. */
export class WorkerHealth {
  readonly #outcomesByGroup = new Map<string, OutcomeCounts>()
  /** Failures on a worker since its last success, by group. */
  readonly #failuresByWorker = new Map<string, Map<string, number>>()
  readonly #exclusions = new Map<string, Exclusion>()

  /**
   * Records an outcome. A failure weighs as much as the group succeeds on other workers, so that a group that fails
   * everywhere is no evidence against a worker.
   *
   * @param workerCount workers known; bounds how many are excluded
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
   * Lets excluded workers whose wait is over try a task. A worker that nothing tried for as long again is taken back:
   * only gangs may need it, and they try no worker that is being probed. Returns the workers that changed.
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

  /** Notes that a task starts on a worker; it is the probe if the worker is being probed. */
  recordStart (worker: string, task: string): void {
    const exclusion = this.#exclusions.get(worker)
    if (exclusion?.state === 'probing') exclusion.probe ??= task
  }

  /** Notes that a task has ended; a probe without outcome makes room for another. */
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
      // A group that was forgotten and submitted again has fewer outcomes in total than are known here.
      const attempts = Math.max(successes, total.attempts - failures)
      // Laplace's rule of succession: an unknown group weighs one half.
      evidence += Math.min(MAX_COUNTED_FAILURES_PER_GROUP, failures) * (successes + 1) / (attempts + 2)
    }
    return evidence
  }
}
