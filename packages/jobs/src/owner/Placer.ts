import { SHARE_CPU_AFTER_MS, SLOW_ADVICE_MS, TICKET_MARGIN_MS } from '../constants/index.ts'
import type { StepInstance, TaskInstance } from '../model/index.ts'
import { addDemand } from '../placement/addDemand/index.ts'
import { chooseWorker, filterRunnable, hasUnclaimedCpu } from '../placement/chooseWorker/index.ts'
import { chooseFailureDomain } from '../placement/chooseFailureDomain/index.ts'
import { chooseReservation } from '../placement/chooseReservation/index.ts'
import { computeKeptRoom } from '../placement/computeKeptRoom/index.ts'
import { hasWorkersForGang } from '../placement/hasWorkersForGang/index.ts'
import { orderSteps } from '../placement/orderSteps/index.ts'
import type { SpeedPreference } from '../runTimes/chooseSpeedPreference/index.ts'
import type { Demand, Step } from '../types.ts'
import { NO_DEMAND, type WorkerState } from '../workers/WorkerState.ts'
import type { AdviceDispatcher } from './AdviceDispatcher.ts'
import { readySteps, type Cell } from './Cell.ts'
import { CapLog } from './CapLog.ts'
import type { CrashRecord } from './CrashRecord.ts'
import { Preemptor } from './Preemptor.ts'
import { WaitLog } from './WaitLog.ts'
import type { WorkerCircuitBreaker } from './WorkerCircuitBreaker.ts'

/** Time that a task waits for room before a worker is reserved for it, in ms. */
const RESERVE_AFTER_MS = 700

/** Largest share of a pool's workers that may be reserved. */
const MAX_RESERVED_SHARE = 0.15

/** Most steps in one round for which others are looked at that could be stopped; the most urgent ones come first. */
const MAX_PREEMPTION_ATTEMPTS = 4

/**
 * Steps without a worker for which a round looks for advice, reservations and tasks to stop: the most urgent ones, and
 * a few of the others in turn. With 1,000 such steps a round took 0.4 s, and so many requests for advice were made that
 * the owner's processor was busy with them alone.
 */
const MAX_URGENT_BLOCKED = 64
const MAX_OTHER_BLOCKED = 32

/** Workers of a pool with room for the smallest waiting task. */
interface Candidates {
  all: readonly WorkerState[]
  /** Those for which the step has a ticket, or all if its queue has no policy. */
  ticketed: readonly WorkerState[]
}

/** Room on a worker that is kept for a task of a step. */
interface Reservation {
  step: StepInstance
  keptRoom: Demand
}

/** Assigns waiting tasks to workers. */
export class Placer {
  readonly #cell: Cell
  readonly #advice: AdviceDispatcher
  readonly #breaker: WorkerCircuitBreaker
  readonly #crashes: CrashRecord
  readonly #preemptor: Preemptor
  readonly #waitLog: WaitLog
  readonly #capLog: CapLog
  /** Workers on which tasks of other steps leave room in this round, so that a waiting task can start there. */
  readonly #reserved = new Map<WorkerState, Reservation>()
  /** Room of this round that steps will take up once they have the tickets that they lack. */
  readonly #awaitingTickets = new Map<WorkerState, Demand>()
  /** Rank among the steps without a worker from which the next round looks at the less urgent ones. */
  #nextOther = MAX_URGENT_BLOCKED
  /** Whether the current step should have fast or slow workers. */
  #speed: SpeedPreference | undefined
  /** Monotonic time at which a filler task of a step last started where others have claimed the CPU, in ms. */
  readonly #sharedCpuAt = new WeakMap<StepInstance, number>()
  /** Tasks of the current step that were placed in this round. */
  readonly #placedTasks: TaskInstance[] = []

  /** @param preempt stops the run of a task, which then waits for another run */
  constructor (
    cell: Cell, advice: AdviceDispatcher, breaker: WorkerCircuitBreaker, crashes: CrashRecord,
    preempt: (task: TaskInstance) => void
  ) {
    this.#preemptor = new Preemptor(cell, preempt)
    this.#cell = cell
    this.#advice = advice
    this.#breaker = breaker
    this.#crashes = crashes
    this.#waitLog = new WaitLog(cell.log)
    this.#capLog = new CapLog(cell)
  }

  /** Runs one placement round over all waiting tasks. */
  run (): void {
    const round = this.runStepwise()
    while (round.next().done !== true);
  }

  /**
   * Runs one placement round in parts, each of which places the tasks of one step. Other work may be done between two
   * parts: what each part relies on is checked again.
   */
  * runStepwise (): Generator<void> {
    const pools = new Map<string, WorkerState[]>()
    for (const worker of this.#cell.workers.values()) {
      const pool = pools.get(worker.entry.pool)
      if (pool === undefined) pools.set(worker.entry.pool, [worker])
      else pool.push(worker)
    }
    this.#reserved.clear()
    this.#awaitingTickets.clear()
    const ready = [...readySteps(this.#cell)].filter(({ job }) => this.#cell.isCancelKnown(job))
    const ordered = orderSteps(ready, this.#cell.now())
    const minimumDemand = findMinimumDemand(ordered.map(({ step }) => step))
    const candidatesByPool = new Map([...pools].map(([pool, workers]) => [pool, workers.filter((worker) =>
      worker.acceptsTasks && worker.hasRoom(minimumDemand))]))
    let preemptionAttempts = 0
    let blockedCount = 0
    const firstOther = this.#nextOther
    for (const ranked of ordered) {
      yield
      const { step, lateness, band } = ranked
      if (step.job.isOver || step.job.cancelled) continue
      const now = this.#cell.now()
      const pool = this.#cell.poolOf(step.job.definition)
      const isUrgent = this.#cell.isUrgent(step, pool)
      this.#speed = this.#cell.runTimes.preferenceOf({ ...ranked, isUrgent }, pool, now)
      const all = candidatesByPool.get(pool) ?? []
      const candidates = { all, ticketed: this.#filterTicketed(step, all, now) }
      const blocked = step.spec.gang ? this.#placeGang(step, candidates, now) : this.#placeTasks(step, candidates, now)
      this.#logPlaced(step, now)
      if (blocked === undefined) continue
      const rank = blockedCount++
      if (rank >= MAX_URGENT_BLOCKED && (rank < firstOther || rank >= firstOther + MAX_OTHER_BLOCKED)) continue
      const workers = pools.get(pool) ?? []
      if (!this.#cell.accounts.mayStart(step)) {
        this.#capLog.record(blocked, now)
        continue
      }
      this.#waitLog.record(blocked, workers, {
        ...this.#workerChecks(blocked),
        findHealthObstacle: (worker) => this.#breaker.findObstacle(worker.id, blocked),
        reservedFor: (worker) => (this.#reserved.get(worker) ?? worker.claim)?.step
      }, now)
      this.#handleBlocked(blocked, workers, all, now)
      if (lateness === 0 && band === 0 && preemptionAttempts < MAX_PREEMPTION_ATTEMPTS) {
        if (this.#preemptor.makeRoom(blocked, workers, this.#workerChecks(blocked), now)) preemptionAttempts++
      }
    }
    const nextOther = firstOther + MAX_OTHER_BLOCKED
    this.#nextOther = nextOther < blockedCount ? nextOther : MAX_URGENT_BLOCKED
  }

  /** Filters the workers that the step has tickets for: a few of a large cell, which need not be searched for them. */
  #filterTicketed (step: StepInstance, all: readonly WorkerState[], now: number): readonly WorkerState[] {
    const { advice } = step.job.definition.queue
    if (advice === undefined) return all
    const pool = this.#cell.poolOf(step.job.definition)
    const ticketed: WorkerState[] = []
    for (const id of step.advice.ticketedWorkers(now + TICKET_MARGIN_MS)) {
      const worker = this.#cell.workers.get(id)
      if (worker?.acceptsTasks === true && worker.entry.pool === pool) ticketed.push(worker)
    }
    return ticketed
  }

  /** Places the waiting tasks of a step. Returns one that found no worker, if any. */
  #placeTasks (step: StepInstance, candidates: Candidates, now: number): TaskInstance | undefined {
    let blocked: TaskInstance | undefined
    let mostFailedOn = -1
    let isFirst = !step.spec.longRunning && step.tasks.length > 1 && !step.tasks.some(({ isAssigned }) => isAssigned)
    for (const task of this.#orderTasks(step)) {
      if (task.status !== 'waiting') continue
      // Other tasks of a step differ only in the workers on which they failed. Once one that has failed nowhere has
      // found no worker, those like it are not tried. Those with failures are: `#chooseFailedWorker` may find a worker.
      const isLikeBlocked = task.failedOn.size === 0
        ? blocked?.failedOn.size === 0
        : task.failedOn.size <= mostFailedOn
      if (isLikeBlocked && !this.#crashes.isSuspect(task)) continue
      if (!this.#cell.accounts.mayStart(step)) return blocked ?? task
      let worker = this.#chooseWorker(task, candidates, now)
      if (worker !== undefined && isFirst) {
        isFirst = false
        this.#chooseFailureDomain(task, candidates.ticketed, now)
        worker = this.#chooseWorker(task, candidates, now) ?? worker
      }
      if (worker !== undefined) this.#assign(task, worker, task.run + 1)
      else {
        mostFailedOn = Math.max(mostFailedOn, task.failedOn.size)
        if (blocked === undefined || (task.failedOn.size === 0 && blocked.failedOn.size > 0)) blocked = task
      }
    }
    return blocked
  }

  /** Orders the tasks of a step with the suspects of crashes last, since these keep all others off their workers. */
  #orderTasks ({ tasks }: StepInstance): readonly TaskInstance[] {
    if (!this.#crashes.hasSuspectsAmong(tasks)) return tasks
    const isSuspect = (task: TaskInstance) => this.#crashes.isSuspect(task)
    return [...tasks.filter((task) => !isSuspect(task)), ...tasks.filter(isSuspect)]
  }

  /** Chooses the failure domain that the tasks of a step share, from the workers that could take the first one now. */
  #chooseFailureDomain (task: TaskInstance, workers: readonly WorkerState[], now: number): void {
    const { step } = task
    const withRoom = workers.filter((worker) => worker.hasRoom(step.spec))
    step.failureDomain = chooseFailureDomain(step, filterRunnable(task, withRoom, { ...this.#workerChecks(task), now }))
  }

  /** Places all tasks of a gang or none. Returns one of them when there is no room for all. */
  #placeGang (step: StepInstance, candidates: Candidates, now: number): TaskInstance | undefined {
    if (step.tasks.some(({ status }) => status !== 'waiting')) return undefined
    if (!this.#cell.accounts.mayStart(step)) return step.tasks[0]
    const run = Math.max(...step.tasks.map((task) => task.run)) + 1
    const racks = step.spec.sameRack
      ? [...new Set(candidates.ticketed.flatMap(({ entry }) => entry.labels)),
          undefined]
      : [undefined]
    for (const rack of racks) {
      const chosen = this.#chooseGangWorkers(step, (task) => this.#chooseWorker(task, candidates, now, rack))
      if (chosen === undefined) continue
      for (const [index, worker] of chosen.entries()) this.#assign(step.tasks[index]!, worker, run)
      return undefined
    }
    return step.tasks[0]
  }

  /** Chooses workers that have room for all members of a gang at the same time; undefined if one member finds none. */
  #chooseGangWorkers (
    step: StepInstance, choose: (task: TaskInstance) => WorkerState | undefined
  ): WorkerState[] | undefined {
    const chosen: WorkerState[] = []
    for (const task of step.tasks) {
      const worker = choose(task)
      if (worker === undefined) break
      holdResources(task, worker)
      chosen.push(worker)
    }
    for (const [index, worker] of chosen.entries()) releaseResources(step.tasks[index]!, worker)
    return chosen.length === step.tasks.length ? chosen : undefined
  }

  /** Logs one line per step and round: a line per task would exceed the log throughput under load. */
  #logPlaced (step: StepInstance, now: number): void {
    const placed = this.#placedTasks.splice(0)
    const [first] = placed
    if (first === undefined) return
    const waitedMs = Math.round(now - Math.max(first.waitingSince, step.readyAt ?? 0))
    const runs = placed.map(({ index, run, worker }) => ({ task: index, run, worker }))
    const left = step.tasks.filter(({ status }) => status === 'waiting').length
    this.#cell.log.info({ job: step.job.id, step: step.name, runs, left, waitedMs }, 'tasks placed')
  }

  #assign (task: TaskInstance, worker: WorkerState, run: number): void {
    this.#placedTasks.push(task)
    if (task.step.spec.fills && !hasUnclaimedCpu(task.step, worker)) this.#sharedCpuAt.set(task.step, this.#cell.now())
    this.#cell.assign(task, worker, run)
    this.#preemptor.recordStart(task, worker)
    this.#breaker.recordStart(worker.id, task)
    this.#crashes.recordStart(task, worker)
  }

  #chooseWorker (
    task: TaskInstance, candidates: Candidates, now: number, rack?: string
  ): WorkerState | undefined {
    return chooseWorker(task, candidates.ticketed, {
      ...this.#workerChecks(task), now: now + TICKET_MARGIN_MS, rack
    }) ?? this.#chooseFailedWorker(task, candidates, now, rack) ??
      this.#chooseSuspectWorker(task, candidates, now, rack)
  }

  /** Checks that keep a task off workers that have room for it. */
  #workerChecks (task: TaskInstance) {
    return {
      isHealthy: (worker: WorkerState) => this.#breaker.mayStart(worker.id, task),
      isReserved: (worker: WorkerState) => this.#isReserved(worker, task) ||
        this.#preemptor.isClaimed(worker, task.step) || !this.#crashes.mayStart(task, worker, this.#cell.now()),
      extraCost: (worker: WorkerState) => this.#crashes.computeCost(task, worker),
      speed: this.#speed,
      sharesClaimedCpu: this.#mayShareCpu(task)
    }
  }

  /** Whether a filler task has waited long enough for unclaimed CPU to share what others have claimed. */
  #mayShareCpu ({ step, waitingSince }: TaskInstance): boolean {
    const { fills, longRunning, gang } = step.spec
    const now = this.#cell.now()
    if (!fills || now - Math.max(waitingSince, step.readyAt ?? now) < SHARE_CPU_AFTER_MS) return false
    return longRunning || gang || now - (this.#sharedCpuAt.get(step) ?? -Infinity) >= SHARE_CPU_AFTER_MS
  }

  /** Whether a task would take up room on a worker that is kept for another one. */
  #isReserved (worker: WorkerState, { step }: TaskInstance): boolean {
    const reservation = this.#reserved.get(worker)
    return reservation !== undefined && reservation.step !== step &&
      !worker.hasRoom(step.spec, reservation.keptRoom)
  }

  /** After a wait, lets a task go back to a worker on which it failed when no other has room. */
  #chooseFailedWorker (
    task: TaskInstance, candidates: Candidates, now: number, rack?: string
  ): WorkerState | undefined {
    if (task.failedOn.size === 0 || now - task.waitingSince < RETRY_SAME_WORKER_MS) return undefined
    task.failedOn.clear()
    return this.#chooseWorker(task, candidates, now, rack)
  }

  /**
   * After a wait, lets a task go to a worker with recent failures when all workers that could take it have some. The
   * failures may be the fault of the task's own job, and no other task may come that would show the workers as healthy.
   */
  #chooseSuspectWorker (
    task: TaskInstance, { all, ticketed }: Candidates, now: number, rack?: string
  ): WorkerState | undefined {
    if (!this.#breaker.hasSuspects) return undefined
    const checks = { ...this.#workerChecks(task), now: now + TICKET_MARGIN_MS, rack }
    let since: number | undefined = task.waitingSince
    if (task.failures === 0) {
      // Tickets expire and other tasks start meanwhile, which must not let the wait begin anew.
      const held = chooseWorker(task, all, { ...checks, isHealthy: () => true, ignoreTickets: true })
      since = task.heldBackSince = held === undefined ? undefined : task.heldBackSince ?? now
    }
    if (since === undefined || now - since < RETRY_SAME_WORKER_MS) return undefined
    return chooseWorker(task, ticketed, { ...checks, isHealthy: ({ id }) => this.#breaker.mayProbe(id) })
  }

  /** Requests advice for a step whose task found no worker, and reserves a worker when the task has waited long. */
  #handleBlocked (
    task: TaskInstance, workers: readonly WorkerState[], candidates: readonly WorkerState[], now: number
  ): void {
    const { step } = task
    const { advice } = step.job.definition.queue
    if (advice !== undefined) this.#requestAdvice(task, workers, candidates, now)
    if (now - task.waitingSince < RESERVE_AFTER_MS || this.#reserved.size >= workers.length * MAX_RESERVED_SHARE) return
    // Room that is kept for a gang too large for its workers is of no use to anyone.
    if (step.spec.gang && !hasWorkersForGang(step, workers)) return
    const candidate = chooseReservation(step, workers, this.#reserved)
    if (candidate === undefined) return
    this.#reserved.set(candidate, { step, keptRoom: computeKeptRoom(step, candidate, now) })
  }

  /** Requests advice if tickets are all that the task, or its gang, lacks to start now, and otherwise renews them. */
  #requestAdvice (
    task: TaskInstance, workers: readonly WorkerState[], candidates: readonly WorkerState[], now: number
  ): void {
    const { step } = task
    const { pending } = step.advice
    const isSlow = step.job.definition.queue.advice!.decisionMs > SLOW_ADVICE_MS
    // Fast calls cost less than finding out which room they are for.
    if (pending && !isSlow) return
    const chosen = this.#chooseWithoutTickets(task, candidates, now)
    if (chosen !== undefined && isSlow) this.#awaitTickets(step, chosen)
    if (pending) {
      if (chosen === undefined) this.#advice.withdraw(step)
      return
    }
    if (chosen !== undefined) this.#advice.request(step, workers)
    else this.#advice.renew(step, workers)
  }

  /**
   * Chooses workers for a task, or for all members of its gang, that it lacks nothing but tickets for. Room that more
   * urgent steps will take up counts as taken, since otherwise all steps would ask for tickets for the same room.
   */
  #chooseWithoutTickets (
    task: TaskInstance, candidates: readonly WorkerState[], now: number
  ): WorkerState[] | undefined {
    const { step } = task
    const checks = this.#workerChecks(task)
    const options = {
      ...checks,
      isHealthy: ({ id }: WorkerState) => this.#breaker.mayStart(id, task) || this.#breaker.mayProbe(id),
      isReserved: (worker: WorkerState) => checks.isReserved(worker) ||
        !worker.hasRoom(step.spec, this.#awaitingTickets.get(worker)),
      now,
      ignoreTickets: true
    }
    const hasNoTicket = ({ id }: WorkerState) => step.advice.ticket(id, now + TICKET_MARGIN_MS) === undefined
    if (!step.spec.gang) {
      const worker = chooseWorker(task, candidates.filter(hasNoTicket), options)
      return worker && [worker]
    }
    // A member that finds a worker is of no use while the others wait for room.
    const chosen = this.#chooseGangWorkers(step, (member) => chooseWorker(member, candidates, options))
    return chosen?.some(hasNoTicket) === true ? chosen : undefined
  }

  /** Counts room as taken for the rest of the round on the workers that the policy is known to allow. */
  #awaitTickets (step: StepInstance, workers: readonly WorkerState[]): void {
    for (const worker of workers) {
      if (step.advice.isAllowed(worker.id) !== true) continue
      this.#awaitingTickets.set(worker, addDemand(this.#awaitingTickets.get(worker) ?? NO_DEMAND, step.spec, 1))
    }
  }
}

/** Least demand of any waiting task. Workers without room for it are skipped, which are most workers of a full cell. */
function findMinimumDemand (steps: readonly StepInstance[]): Pick<Step, 'demand' | 'fills'> {
  const minimum = { cpuMillis: Infinity, memoryMb: Infinity, accelerators: Infinity }
  for (const { spec: { demand, fills } } of steps) {
    minimum.cpuMillis = Math.min(minimum.cpuMillis, fills ? 0 : demand.cpuMillis)
    minimum.memoryMb = Math.min(minimum.memoryMb, demand.memoryMb)
    minimum.accelerators = Math.min(minimum.accelerators, demand.accelerators)
  }
  // CPU is not limited for filler tasks, nor for a demand of 0: every worker has enough then.
  return { demand: minimum, fills: minimum.cpuMillis === 0 }
}

/** Time after which a task may go back to a worker where it failed, or to one with recent failures, in ms. */
const RETRY_SAME_WORKER_MS = 2_000

/** Takes up the resources of a gang member on a worker while workers for the other members are sought. */
function holdResources (task: TaskInstance, worker: WorkerState): void {
  task.status = 'starting'
  task.worker = worker.id
  worker.add(task)
}

function releaseResources (task: TaskInstance, worker: WorkerState): void {
  task.status = 'waiting'
  task.worker = undefined
  worker.remove(task)
}
