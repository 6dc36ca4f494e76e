import type { JobSpec, RunEnd, StartOrder, WorkerEntry } from '../types.ts'

interface TaskHistory {
  running: Map<string, number>
  doneRun: number | undefined
  doneKnown: boolean
  failures: number
}

/**
 * Watches what workers carry out and notes each broken promise: capacity exceeded, a task in two places, a start
 * after a
 * good end, a start before its turn, too many attempts, or a start of a job that was cancelled long ago.
 */
export class PromiseChecker {
  readonly violations: string[] = []
  readonly #jobs = new Map<string, { spec: JobSpec, maxAttempts: number, cancelledAt: number | undefined }>()
  readonly #tasks = new Map<string, TaskHistory>()
  readonly #used = new Map<string, { cpuMillis: number, memoryMb: number }>()
  starts = 0
  /** Starts that were refused since their ticket had expired. */
  expiredTickets = 0

  expect (id: string, spec: JobSpec, maxAttempts: number): void {
    this.#jobs.set(id, { spec, maxAttempts, cancelledAt: undefined })
  }

  cancelled (id: string): void {
    const job = this.#jobs.get(id)
    if (job !== undefined) job.cancelledAt ??= performance.now()
  }

  started ({ key, run }: StartOrder, worker: WorkerEntry): void {
    this.starts++
    const name = `${key.job}.${key.occurrence}.${key.step}.${key.index}`
    const job = this.#jobs.get(key.job)
    const step = job?.spec.steps[key.step]
    if (job === undefined || step === undefined) {
      this.violations.push(`${name}: nobody submitted it`)
      return
    }
    const history = this.#history(name)
    if (history.running.size > 0 && !step.speculative) this.violations.push(`${name}: run ${run} on ${worker.id} beside ${[...history.running.keys()]}`)
    if (history.doneKnown && !step.longRunning) this.violations.push(`${name}: run ${run} after a good end`)
    if (!step.longRunning && history.failures >= job.maxAttempts) this.violations.push(`${name}: run ${run} after ${history.failures} failures`)
    if (job.cancelledAt !== undefined &&
      performance.now() - job.cancelledAt > CANCEL_MS) this.violations.push(`${name}: started long after its job was cancelled`)
    for (const earlier of step.after) {
      const { count } = job.spec.steps[earlier]!
      for (let index = 0; index < count; index++) {
        if (this.#history(`${key.job}.${key.occurrence}.${earlier}.${index}`).doneRun === undefined) {
          this.violations.push(`${name}: started before step ${earlier} was done`)
          break
        }
      }
    }
    history.running.set(worker.id, run)
    this.#use(worker, step, 1)
    const used = this.#used.get(worker.id)!
    if (used.cpuMillis > worker.capacity.cpuMillis ||
      used.memoryMb > worker.capacity.memoryMb) this.violations.push(`${worker.id}: over capacity with ${name}`)
  }

  ended (name: string, run: number, worker: string, how: RunEnd | 'lost'): void {
    const history = this.#history(name)
    history.running.delete(worker)
    if (how === 'done') history.doneRun = run
    if (how === 'failed') history.failures++
    const [job, , step] = name.split('.')
    const spec = this.#jobs.get(job!)?.spec.steps[Number(step)]
    if (spec !== undefined) this.#use({ id: worker } as WorkerEntry, spec, -1)
  }

  /** Tasks that work together with a task; 1 for a task that is in no gang. */
  gangSize ({ job, step }: { job: string, step: number }): number {
    const spec = this.#jobs.get(job)?.spec.steps[step]
    return spec?.gang === true ? spec.count : 1
  }

  /** An end was removed from a worker's list because its owner knows it. */
  acknowledged (name: string, run: number): void {
    const history = this.#history(name)
    if (history.doneRun === run) history.doneKnown = true
  }

  /** Whether a task of the job was ever started. */
  hasStarted (id: string): boolean {
    return [...this.#tasks.keys()].some((name) => name.startsWith(`${id}.`))
  }

  /** Whether a task of the job has failed as often as its queue allows. */
  hasFailed (id: string): boolean {
    const limit = this.#jobs.get(id)?.maxAttempts ?? Infinity
    return [...this.#tasks].some(([name, { failures }]) => name.startsWith(`${id}.`) && failures >= limit)
  }

  isDone (name: string): boolean {
    return this.#history(name).doneRun !== undefined
  }

  /** Runs of a task that are under way. */
  countRunning (name: string): number {
    return this.#history(name).running.size
  }

  #history (name: string): TaskHistory {
    let history = this.#tasks.get(name)
    if (history === undefined) {
      this.#tasks.set(name, history = {
        running: new Map(),
        doneRun: undefined,
        doneKnown: false,
        failures: 0
      })
    }
    return history
  }

  #use (worker: WorkerEntry, { demand, fills }: JobSpec['steps'][number], sign: number): void {
    const used = this.#used.get(worker.id) ?? { cpuMillis: 0, memoryMb: 0 }
    used.cpuMillis += fills ? 0 : sign * demand.cpuMillis
    used.memoryMb += sign * demand.memoryMb
    this.#used.set(worker.id, used)
  }
}

/** Time after which nothing of a cancelled job may start, in ms. */
const CANCEL_MS = 3_000
