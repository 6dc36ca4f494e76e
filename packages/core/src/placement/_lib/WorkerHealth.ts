import {
  COUNTED_FAILURES_PER_GROUP, EXCLUDED_SHARE_LIMIT, EXCLUSION_EVIDENCE, PROBE_AFTER_LIMIT_MS, PROBE_AFTER_MS,
  REMEMBERED_GROUPS
} from '../constants/index.ts'

interface Counts { attempts: number, failures: number }

interface Exclusion {
  state: 'excluded' | 'probing'
  /** When this state ends unless a probe runs, in ms. */
  until: number
  waitMs: number
  /** Task that runs as the probe. */
  probe: string | undefined
}

/** Finds workers that fail everything they start, excludes them and lets them try single tasks again later. */
export class WorkerHealth {
  readonly #groups = new Map<string, Counts>()
  /** Failures on a worker since its last success, by group. */
  readonly #failures = new Map<string, Map<string, number>>()
  readonly #exclusions = new Map<string, Exclusion>()

  /**
   * Records an outcome. A failure weighs as much as the group succeeds on other workers, so that a group that fails
   * everywhere is no evidence against a worker.
   *
   * @param workerCount workers known; bounds how many are excluded
   */
  record (worker: string, group: string, succeeded: boolean, now: number, workerCount: number): void {
    const total = this.#groups.get(group) ?? { attempts: 0, failures: 0 }
    this.#groups.set(group, { attempts: total.attempts + 1, failures: total.failures + (succeeded ? 0 : 1) })
    if (succeeded) {
      this.#failures.delete(worker)
      this.#exclusions.delete(worker)
      return
    }
    const here = this.#failures.get(worker) ?? new Map<string, number>()
    this.#failures.set(worker, here)
    const failures = here.get(group) ?? 0
    if (failures > 0 || here.size < REMEMBERED_GROUPS) here.set(group, failures + 1)

    const exclusion = this.#exclusions.get(worker)
    if (exclusion?.state === 'excluded') return
    if (exclusion !== undefined) {
      const waitMs = Math.min(PROBE_AFTER_LIMIT_MS, exclusion.waitMs * 2)
      this.#exclusions.set(worker, { state: 'excluded', until: now + waitMs, waitMs, probe: undefined })
      return
    }
    const limit = Math.max(1, Math.floor(workerCount * EXCLUDED_SHARE_LIMIT))
    if (this.#exclusions.size >= limit || this.#weighEvidence(here) < EXCLUSION_EVIDENCE) return
    this.#exclusions.set(worker, { state: 'excluded', until: now + PROBE_AFTER_MS, waitMs: PROBE_AFTER_MS, probe: undefined })
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
      exclusion.until = now + exclusion.waitMs
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
  start (worker: string, task: string): void {
    const exclusion = this.#exclusions.get(worker)
    if (exclusion?.state === 'probing') exclusion.probe ??= task
  }

  /** Notes that a task has ended; a probe without outcome makes room for another. */
  end (worker: string, task: string): void {
    const exclusion = this.#exclusions.get(worker)
    if (exclusion?.probe === task) exclusion.probe = undefined
  }

  forgetWorker (worker: string): void {
    this.#failures.delete(worker)
    this.#exclusions.delete(worker)
  }

  forgetGroup (group: string): void {
    this.#groups.delete(group)
  }

  excludedCount (): number {
    return this.#exclusions.size
  }

  #weighEvidence (here: Map<string, number>): number {
    let evidence = 0
    for (const [group, failures] of here) {
      const total = this.#groups.get(group) ?? { attempts: 0, failures: 0 }
      const successes = total.attempts - total.failures
      // A group that was forgotten and submitted again has fewer outcomes in total than are known here.
      const attempts = Math.max(successes, total.attempts - failures)
      // Laplace's rule of succession: an unknown group weighs one half.
      evidence += Math.min(COUNTED_FAILURES_PER_GROUP, failures) * (successes + 1) / (attempts + 2)
    }
    return evidence
  }
}
