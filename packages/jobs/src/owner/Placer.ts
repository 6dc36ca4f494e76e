import { TICKET_MARGIN_MS } from '../constants/index.ts'
import type { StepInstance, TaskInstance } from '../model/index.ts'
import { chooseWorker } from '../placement/chooseWorker/index.ts'
import { fitsWhenEmpty } from '../placement/fitsWhenEmpty/index.ts'
import { orderSteps } from '../placement/orderSteps/index.ts'
import type { Step } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { AdviceDesk } from './AdviceDesk.ts'
import { readySteps, type Cell } from './Cell.ts'
import type { WorkerTrust } from './WorkerTrust.ts'

/** Time that a task waits for room before a worker is kept free for it, in ms. */
const RESERVE_AFTER_MS = 700

/** Largest share of the workers that are kept free. */
const RESERVED_SHARE = 0.15

/** Decides which waiting tasks get which workers. */
export class Placer {
  readonly #cell: Cell
  readonly #desk: AdviceDesk
  readonly #trust: WorkerTrust
  readonly #reserved = new Set<WorkerState>()
  /** Tasks of the step at hand that were placed in this round. */
  readonly #placed: TaskInstance[] = []

  constructor (cell: Cell, desk: AdviceDesk, trust: WorkerTrust) {
    this.#cell = cell
    this.#desk = desk
    this.#trust = trust
  }

  /** Goes once over all waiting tasks. */
  run (): void {
    const now = this.#cell.now()
    const pools = new Map<string, WorkerState[]>()
    for (const worker of this.#cell.workers.values()) {
      const pool = pools.get(worker.entry.pool)
      if (pool === undefined) pools.set(worker.entry.pool, [worker])
      else pool.push(worker)
    }
    this.#reserved.clear()
    const ordered = orderSteps([...readySteps(this.#cell)], now)
    const least = findLeastDemand(ordered.map(({ step }) => step))
    const open = new Map([...pools].map(([pool, workers]) => [pool, workers.filter((worker) =>
      worker.acceptsTasks && worker.hasRoom(least))]))
    for (const { step } of ordered) {
      const pool = this.#cell.poolOf(step.job.job)
      const candidates = open.get(pool) ?? []
      const blocked = step.spec.gang ? this.#placeGang(step, candidates, now) : this.#placeTasks(step, candidates, now)
      this.#logPlaced(step, now)
      if (blocked !== undefined) this.#handleBlocked(blocked, pools.get(pool) ?? [], candidates, now)
    }
  }

  /** Returns a task that found no worker. */
  #placeTasks (step: StepInstance, workers: readonly WorkerState[], now: number): TaskInstance | undefined {
    let blocked: TaskInstance | undefined
    for (const task of step.tasks) {
      if (task.status !== 'waiting') continue
      // Tasks of a step differ only in where they failed: after one without a worker only those could still differ.
      if (blocked !== undefined && task.failedOn.size <= blocked.failedOn.size) continue
      const worker = this.#choose(task, workers, now)
      if (worker === undefined) blocked = task
      else this.#assign(task, worker, task.run + 1)
    }
    return blocked
  }

  #placeGang (step: StepInstance, workers: readonly WorkerState[], now: number): TaskInstance | undefined {
    if (step.tasks.some(({ status }) => status !== 'waiting')) return undefined
    const run = Math.max(...step.tasks.map((task) => task.run)) + 1
    const racks = step.spec.sameRack
      ? [...new Set(workers.flatMap(({ entry }) => entry.labels)),
          undefined]
      : [undefined]
    return racks.some((rack) => this.#tryGang(step, workers, run, now, rack)) ? undefined : step.tasks[0]
  }

  #tryGang (step: StepInstance, workers: readonly WorkerState[], run: number, now: number,
    rack: string | undefined): boolean {
    const chosen: Array<[TaskInstance, WorkerState]> = []
    for (const task of step.tasks) {
      const worker = this.#choose(task, workers, now, rack)
      if (worker === undefined) {
        for (const [member, held] of chosen) release(member, held)
        return false
      }
      hold(task, worker)
      chosen.push([task, worker])
    }
    for (const [task, worker] of chosen) this.#assign(task, worker, run)
    return true
  }

  /** One line for a step and round: a line for each task would exceed what can be written under load. */
  #logPlaced (step: StepInstance, now: number): void {
    const placed = this.#placed.splice(0)
    const [first] = placed
    if (first === undefined) return
    const waitedMs = Math.round(now - Math.max(first.waitingSince, step.readyAt ?? 0))
    const runs = placed.map(({ index, run, worker }) => ({ task: index, run, worker }))
    const left = step.tasks.filter(({ status }) => status === 'waiting').length
    this.#cell.log.info({ job: step.job.id, step: step.name, runs, left, waitedMs }, 'tasks placed')
  }

  #assign (task: TaskInstance, worker: WorkerState, run: number): void {
    this.#placed.push(task)
    this.#cell.assign(task, worker, run)
    this.#trust.start(worker.id, task)
  }

  #choose (task: TaskInstance, workers: readonly WorkerState[], now: number, rack?: string): WorkerState | undefined {
    return chooseWorker(task, workers, {
      ...this.#limits(task), now: now + TICKET_MARGIN_MS, rack
    }) ?? this.#chooseAgain(task, workers, now, rack)
  }

  /** Workers that a task doesn't get though they have room for it. */
  #limits (task: TaskInstance) {
    return {
      isHealthy: (worker: WorkerState) => this.#trust.mayStart(worker.id, task),
      isReserved: (worker: WorkerState) => this.#reserved.has(worker)
    }
  }

  /** A task that has failed on every worker with room may go back to one of them. */
  #chooseAgain (
    task: TaskInstance, workers: readonly WorkerState[], now: number, rack?: string
  ): WorkerState | undefined {
    if (task.failedOn.size === 0 || now - task.waitingSince < RETRY_SAME_WORKER_MS) return undefined
    task.failedOn.clear()
    return this.#choose(task, workers, now, rack)
  }

  #handleBlocked (
    task: TaskInstance, workers: readonly WorkerState[], candidates: readonly WorkerState[], now: number
  ): void {
    const { step } = task
    const { advice } = step.job.job.queue
    if (advice !== undefined && !step.advice.pending) this.#askForAdvice(task, workers, candidates, now)
    if (now - task.waitingSince < RESERVE_AFTER_MS || this.#reserved.size >= workers.length * RESERVED_SHARE) return
    const candidate = findReservation(step, workers, this.#reserved)
    if (candidate !== undefined) this.#reserved.add(candidate)
  }

  #askForAdvice (
    task: TaskInstance, workers: readonly WorkerState[], candidates: readonly WorkerState[], now: number
  ): void {
    const { step } = task
    const possible = chooseWorker(task, candidates, { ...this.#limits(task), now, ignoreTickets: true })
    if (possible !== undefined) this.#desk.ask(step, workers)
  }
}

/** What every waiting task needs at least: most workers of a full cell are left out of a round by it. */
function findLeastDemand (steps: readonly StepInstance[]): Pick<Step, 'demand' | 'fills'> {
  const least = { cpuMillis: Infinity, memoryMb: Infinity, accelerators: Infinity }
  for (const { spec: { demand, fills } } of steps) {
    least.cpuMillis = Math.min(least.cpuMillis, fills ? 0 : demand.cpuMillis)
    least.memoryMb = Math.min(least.memoryMb, demand.memoryMb)
    least.accelerators = Math.min(least.accelerators, demand.accelerators)
  }
  // Processors count for what doesn't fill; with a demand of 0 every worker has enough.
  return { demand: least, fills: least.cpuMillis === 0 }
}

/** Time after which a task may go back to a worker where it failed, in ms. */
const RETRY_SAME_WORKER_MS = 2_000

/** The worker that will have room for a task of the step first: the one with most processors free of those allowed. */
function findReservation (
  step: StepInstance, workers: readonly WorkerState[], reserved: ReadonlySet<WorkerState>
): WorkerState | undefined {
  const counts = step.countByWorker()
  let best: WorkerState | undefined
  for (const worker of workers) {
    if (!worker.acceptsTasks || reserved.has(worker) || !fitsWhenEmpty(step, worker)) continue
    if (step.job.job.queue.advice !== undefined && step.advice.isAllowed(worker.id) !== true) continue
    if (step.spec.maxPerWorker > 0 && (counts.get(worker.id) ?? 0) >= step.spec.maxPerWorker) continue
    if (worker.hasRoom(step.spec)) continue
    if (best === undefined || freeCpu(worker) > freeCpu(best)) best = worker
  }
  return best
}

function freeCpu ({ entry, usedCpuMillis }: WorkerState): number {
  return entry.capacity.cpuMillis - usedCpuMillis
}

/** Counts a member of a gang on a worker while the others are still looked for. */
function hold (task: TaskInstance, worker: WorkerState): void {
  task.status = 'starting'
  task.worker = worker.id
  worker.add(task)
}

function release (task: TaskInstance, worker: WorkerState): void {
  task.status = 'waiting'
  task.worker = undefined
  worker.remove(task)
}
