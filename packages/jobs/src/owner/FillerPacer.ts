import { throwUncaught } from '@gypsumspring/protocol'
import type { TaskInstance } from '../model/index.ts'
import { computeFillerPace } from '../placement/computeFillerPace/index.ts'
import type { RunningTask } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'
import type { WorkerSession } from './WorkerSession.ts'

/** Least time between two pace changes on one worker, in ms; a change takes about 500 ms to show in latencies. */
const MIN_PACE_INTERVAL_MS = 500

/** Adjusts the pace of the filler tasks on each worker to the response times of the serving tasks beside them. */
export class FillerPacer {
  readonly #cell: Cell
  readonly #sessions: ReadonlyMap<string, WorkerSession>
  readonly #paceByWorker = new WeakMap<WorkerState, { percent: number, changedAt: number }>()

  constructor (cell: Cell, sessions: ReadonlyMap<string, WorkerSession>) {
    this.#cell = cell
    this.#sessions = sessions
  }

  /** Adjusts the pace after a report of a worker. */
  adjust (worker: WorkerState, running: readonly RunningTask[]): void {
    const tails: Array<{ tailMs: number, targetMs: number }> = []
    const fillers: TaskInstance[] = []
    for (const { key, usage } of running) {
      const task = this.#cell.findTask(key)
      if (task === undefined || task.worker !== worker.id || task.status !== 'running') continue
      const { fills, targetLatencyMs } = task.step.spec
      if (targetLatencyMs > 0) tails.push({ tailMs: usage, targetMs: targetLatencyMs })
      if (fills) fillers.push(task)
    }
    const percent = this.#choosePercent(worker, tails, fillers)
    for (const task of fillers) if (task.percent !== percent) this.#setPace(worker.id, task, percent, tails)
  }

  /** Gives a filler task that has just started the pace of those beside it, without waiting for the next report. */
  applyPace (task: TaskInstance): void {
    const worker = task.worker === undefined ? undefined : this.#cell.workers.get(task.worker)
    if (worker === undefined || !task.step.spec.fills) return
    const percent = this.#paceByWorker.get(worker)?.percent ?? 100
    if (percent < 100) this.#setPace(worker.id, task, percent, [])
  }

  #choosePercent (
    worker: WorkerState, tails: ReadonlyArray<{ tailMs: number, targetMs: number }>, fillers: readonly TaskInstance[]
  ): number {
    // Before this owner's first change, the lowest reported pace is that of an earlier owner.
    const reported = Math.min(100, ...fillers.map((task) => task.percent))
    const pace = this.#paceByWorker.get(worker) ?? { percent: reported, changedAt: 0 }
    const now = this.#cell.now()
    if (now - pace.changedAt < MIN_PACE_INTERVAL_MS) return pace.percent
    const percent = computeFillerPace(pace.percent, tails)
    if (percent !== pace.percent) this.#paceByWorker.set(worker, { percent, changedAt: now })
    return percent
  }

  #setPace (worker: string, { key, run, step }: TaskInstance, percent: number, tails: unknown): void {
    this.#cell.metrics.count('pace_changes')
    const fields = { job: step.job.id, task: `${step.name}.${key.index}`, worker, percent, tails }
    this.#cell.log.info(fields, 'pace of filler task changed')
    this.#sessions.get(worker)?.pace({ key, run }, percent).catch(throwUncaught)
  }
}
