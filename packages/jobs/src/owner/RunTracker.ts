import { failureOf, throwUncaught, sleep, valueOf } from '@gypsumspring/protocol'
import { ORDER_RETRY_MS } from '../constants/index.ts'
import type { TrackedJob, TaskInstance } from '../model/index.ts'
import type { EndedRun, RunOrder, RunningTask, WorkerReport } from '../types.ts'
import { NO_DEMAND, type WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'
import { FillerPacer } from './FillerPacer.ts'
import { isUnconnected, type WorkerSession } from './WorkerSession.ts'
import type { CrashRecord } from './CrashRecord.ts'
import type { WorkerCircuitBreaker } from './WorkerCircuitBreaker.ts'

/**
 * Age of the last answer of the worker registry beyond which start orders wait, in ms: a worker may have shrunk since.
 * The registry usually answers each second.
 */
const MAX_REGISTRY_AGE_MS = 3_000

/**
 * Time after the success of a gang from which members are stopped that are still listed as running, in ms. The members
 * end together, so that the run may never end by itself. A stop takes up to 0.9 s.
 */
const MAX_LINGER_MS = 1_000

/** Reconciles the owner's task state with what workers report, and repeats start and stop orders until answered. */
export class RunTracker {
  readonly #cell: Cell
  readonly #breaker: WorkerCircuitBreaker
  readonly #crashes: CrashRecord
  readonly #sessions: ReadonlyMap<string, WorkerSession>
  readonly #onOwnershipLost: (reason: string) => void
  readonly #pacer: FillerPacer
  /** Runs that no task needs and that are being stopped, as `WORKER TASK RUN`. */
  readonly #unneededRuns = new Set<string>()
  #closed = false

  constructor (
    cell: Cell, breaker: WorkerCircuitBreaker, crashes: CrashRecord, sessions: ReadonlyMap<string, WorkerSession>,
    onOwnershipLost: (reason: string) => void
  ) {
    this.#cell = cell
    this.#breaker = breaker
    this.#crashes = crashes
    this.#sessions = sessions
    this.#onOwnershipLost = onOwnershipLost
    this.#pacer = new FillerPacer(cell, sessions)
  }

  /** Stops repeating orders; the next owner continues from what workers report. */
  close (): void {
    this.#closed = true
  }

  /** Updates the task state from a worker's report. `sentAt` is the monotonic time of the request, in ms. */
  reconcile (worker: WorkerState, report: WorkerReport, sentAt: number): void {
    const receivedAt = performance.now()
    worker.hasAnswered = true
    for (const end of [...report.ended].sort((a, b) => a.sequence - b.sequence)) {
      if (end.sequence <= worker.processedEndSequence) continue
      worker.processedEndSequence = end.sequence
      this.#handleEnd(worker, end)
    }
    const present = new Set<TaskInstance>()
    for (const running of report.running) this.#handleRunning(worker, running, present, sentAt)
    this.#setUnownedRuns(worker, present.size < report.running.length)
    if (this.#breaker.recordRunning(worker.id, present, sentAt)) this.#cell.notifyChange()
    if (!report.hasMoreEnds) {
      for (const task of [...worker.tasks]) {
        if (!present.has(task) && isExpectedInReport(task, sentAt)) this.#handleMissingRun(worker, task)
      }
      for (const [task, since] of [...worker.lingering]) {
        if (!present.has(task) && since < sentAt) this.#releaseLingering(worker, task)
      }
    }
    this.#pacer.adjust(worker, report.running)
    this.#cell.metrics.recordDuration('report_time', performance.now() - receivedAt)
  }

  /** Sends the start order of a stored assignment, and repeats it until the worker answers. */
  async start (task: TaskInstance): Promise<void> {
    // All orders of a run carry the same checkpoint; other members of a gang may report newer ones meanwhile.
    const { run, worker: workerId, checkpoint } = task
    const isCurrent = () => !this.#closed && task.status === 'starting' && task.run === run && task.worker === workerId
    task.orderSent = true
    task.orderedAt = this.#cell.now()
    let uncertain = false
    while (isCurrent()) {
      const session = this.#sessions.get(workerId!)
      if (session === undefined) return
      if (this.#cell.now() - this.#cell.registryReadAt > MAX_REGISTRY_AGE_MS) {
        this.#cell.metrics.count('starts_delayed', { reason: 'registry' })
        await sleep(ORDER_RETRY_MS)
        continue
      }
      if (!this.#refreshTicket(task)) {
        this.#cell.metrics.count('tickets_expired')
        this.#abortStart(task, uncertain)
        return
      }
      if (this.#isOverCapacity(task)) {
        this.#cell.metrics.count('starts_over_capacity')
        this.#abortStart(task, uncertain)
        return
      }
      if (this.#cell.accounts.exceedsCap(task.step)) {
        this.#cell.metrics.count('starts_over_cap')
        this.#abortStart(task, uncertain)
        return
      }
      const sentAt = performance.now()
      task.mayHaveBegun = true
      const outcome = await session.start({
        key: task.key, run, payload: task.step.job.spec.payload, checkpoint, ticket: task.ticket
      })
      this.#cell.metrics.recordDuration('start_order_time', performance.now() - sentAt)
      if (!isCurrent()) return
      if (failureOf(outcome)?.certainty === 'not-done') task.mayHaveBegun = uncertain
      if (isUnconnected(outcome) && await session.identify()) continue
      if (!isCurrent()) return
      const result = valueOf(outcome)
      if (result === undefined) {
        const isFirstUnknown: boolean = !uncertain && failureOf(outcome)?.certainty === 'unknown'
        uncertain ||= isFirstUnknown
        this.#cell.metrics.count('order_retries', { order: 'start' })
        // The first unanswered order is repeated at once: most likely only that message was lost.
        if (!isFirstUnknown) await sleep(ORDER_RETRY_MS)
        continue
      }
      if (result.kind === 'started') {
        this.#confirmRun(task)
        this.#pacer.applyPace(task)
      } else this.#handleRefusal(task, result.reason, uncertain)
      return
    }
  }

  /**
   * Stops a run. `then` tells whether the task waits for a new run (`wait`) or is dropped with its job (`drop`); it is
   * only recorded in `afterStop`.
   */
  stop (task: TaskInstance, then: 'wait' | 'drop'): void {
    if (task.status === 'waiting' || task.status === 'done') return
    if (task.status === 'stopping') {
      if (then === 'drop') task.afterStop = 'drop'
      return
    }
    if (task.status === 'starting' && !task.orderSent) {
      this.#cell.requeue(task)
      return
    }
    task.status = 'stopping'
    task.afterStop = then
    // Reports don't count as evidence of a missing run until the worker has confirmed the stop.
    task.startedAt = Infinity
    this.#sendStop(task).catch(throwUncaught)
  }

  stopJob (job: TrackedJob): void {
    for (const task of [...job.tasks()]) this.stop(task, 'drop')
  }

  /** Handles the unplanned end of a worker: gives up the tasks that cause such ends and requeues all others. */
  handleCrash (worker: WorkerState, reason: string, isCertain: boolean): void {
    const causes = this.#crashes.recordCrash(worker, isCertain)
    for (const task of causes) this.#giveUp(task)
    this.requeueLostTasks(worker, reason)
  }

  /**
   * Requeues all tasks of a worker on which nothing runs any more, and stops the other members of their gangs. `reason`
   * is also a label of a metric.
   */
  requeueLostTasks (worker: WorkerState, reason: string): void {
    if (worker.tasks.size === 0) return
    const now = this.#cell.now()
    this.#cell.log.warn({
      worker: worker.id,
      tasks: worker.tasks.size,
      reason,
      unreachableMs: Math.round(now - (worker.unreachableSince ?? now)),
      leaseEndedMs: Math.round(now - worker.leaseEndsBy),
      // Whether the limit for the lease was taken over from an earlier owner.
      inherited: !worker.hasAnswered
    }, 'tasks of a worker are lost')
    this.#cell.metrics.count('tasks_lost', { reason }, worker.tasks.size)
    const lost = [...worker.tasks]
    for (const task of lost) this.#cell.requeue(task)
    const gangs = new Set(lost.map(({ step }) => step).filter(({ spec }) => spec.gang))
    for (const { tasks } of gangs) this.#stopGang(tasks)
  }

  /** Releases the resources of tasks that are done, on a worker on which nothing runs any more. */
  releaseAllLingering (worker: WorkerState): void {
    for (const task of [...worker.lingering.keys()]) this.#releaseLingering(worker, task)
  }

  #releaseLingering (worker: WorkerState, task: TaskInstance): void {
    worker.releaseLingering(task)
    this.#cell.notifyChange()
  }

  /** Ends the job of a task that crashes the workers that start it; each further start would cost one more. */
  #giveUp ({ step, index }: TaskInstance): void {
    const { job } = step
    if (job.isOver || job.cancelled) return
    this.#cell.metrics.count('jobs_given_up')
    this.#cell.endJob(job, 'failed', `task ${step.name}.${index} has crashed several workers`)
    this.stopJob(job)
  }

  async #sendStop (task: TaskInstance): Promise<void> {
    const { run, worker: workerId, key } = task
    while (!this.#closed && task.status === 'stopping' && task.run === run) {
      // The session may not exist yet: a recovering owner can know the task before the worker.
      const outcome = await this.#sessions.get(workerId!)?.stop({ key, run })
      if (outcome?.isRight() === true) {
        task.startedAt = this.#cell.now()
        return
      }
      this.#cell.metrics.count('order_retries', { order: 'stop' })
      await sleep(ORDER_RETRY_MS)
    }
  }

  #confirmRun (task: TaskInstance): void {
    task.status = 'running'
    task.startedAt = this.#cell.now()
    task.confirmedAt ??= task.startedAt
    this.#cell.metrics.recordDuration('task_wait', task.startedAt - Math.max(task.waitingSince,
      task.step.readyAt ?? 0))
    const { job } = task.step
    job.started = true
    if (job.isOver || job.cancelled) this.stop(task, 'drop')
  }

  #handleRefusal (task: TaskInstance, reason: string, uncertain: boolean): void {
    this.#cell.metrics.count('starts_refused', { reason })
    this.#cell.log.info({ ...toLogFields(task), worker: task.worker, run: task.run, reason, uncertain }, 'start refused')
    if (reason === 'stale-token') {
      this.#onOwnershipLost('a worker has seen a higher token')
      return
    }
    if (reason === 'no-ticket') task.step.advice.dropTicket(task.worker!)
    if (reason === 'unhealthy' || reason === 'invalid') {
      this.#breaker.recordResult(task.worker!, task, false, this.#cell.now())
      task.failedOn.add(this.#cell.workers.get(task.worker!)?.incarnation ?? task.worker!)
    }
    // An earlier copy of the order may have started this run, which may even have ended. The next report shows it.
    if (reason === 'old-run' && uncertain) {
      this.#confirmRun(task)
      return
    }
    this.#abortStart(task, uncertain)
  }

  /** Gives up a start. When it is uncertain whether the run exists, the run is stopped before the task is requeued. */
  #abortStart (task: TaskInstance, uncertain: boolean): void {
    const { step } = task
    if (uncertain) this.stop(task, 'wait')
    else this.#cell.requeue(task)
    if (step.spec.gang) this.#stopGang(step.tasks)
  }

  /** Whether the task's worker has shrunk below what is assigned to it, since the task was assigned. */
  #isOverCapacity ({ worker, step }: TaskInstance): boolean {
    return this.#cell.workers.get(worker!)?.hasRoom({ demand: NO_DEMAND, fills: step.spec.fills }) === false
  }

  /** Sets the newest ticket for the task's worker. Returns false when a ticket is required and none is valid. */
  #refreshTicket (task: TaskInstance): boolean {
    if (task.step.job.definition.queue.advice === undefined) return true
    task.ticket = task.step.advice.ticket(task.worker!, this.#cell.now()) ?? ''
    return task.ticket !== ''
  }

  /**
   * Stops the members of a gang. A gang can't work without all its members, so when one is missing the others are
   * stopped before they give up by themselves.
   */
  #stopGang (members: readonly TaskInstance[]): void {
    for (const member of members) this.stop(member, 'wait')
  }

  #handleEnd (worker: WorkerState, end: EndedRun): void {
    const lingering = worker.findLingering(end)
    if (lingering !== undefined) {
      this.#releaseLingering(worker, lingering)
      return
    }
    const task = this.#cell.findTask(end.key)
    if (task === undefined || task.run !== end.run || task.status === 'done') return
    // The task may have been requeued when the worker's lease ended. A success still counts if no new run has begun.
    if (task.worker !== worker.id && !(task.status === 'waiting' && end.reason === 'done')) return
    const { run, reason: how, sequence } = end
    if (how === 'failed') this.#countFailure(worker, task)
    const { step } = task
    // Successful runs are logged once per step: a line for each would exceed the log throughput under load.
    if (how !== 'done') {
      const failures = step.failuresOf(task)
      this.#cell.log.info({ ...toLogFields(task), worker: worker.id, run, how, end: sequence, failures }, 'run ended')
    }
    this.#cell.metrics.count('runs_ended', { how: end.reason })
    step.job.started = true
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    if (end.reason === 'done' || end.reason === 'failed') this.#crashes.clear(task)
    if (end.reason === 'done' && !step.spec.longRunning) {
      const now = this.#cell.now()
      this.#cell.runTimes.recordEnd(worker, task, now)
      for (const member of task.members) {
        // The end of one member represents all, so that those of the others only release its resources.
        const workerId = member === task ? worker.id : member.worker
        if (workerId !== undefined) this.#breaker.recordResult(workerId, member, true, now)
        if (member !== task && workerId !== undefined) this.#cell.workers.get(workerId)?.linger(member, now)
        this.#cell.completeTask(member)
      }
      if (step.isDone) this.#cell.runTimes.recordStep(step, now)
      return
    }
    if (end.reason === 'failed') this.#failAfterLastAttempt(task)
    this.#cell.requeue(task)
    if (step.job.isOver || step.job.cancelled) return
    if (step.spec.gang && end.reason !== 'broken') this.#stopGang(step.tasks.filter((member) => member.run === end.run))
  }

  #countFailure (worker: WorkerState, task: TaskInstance): void {
    const { step } = task
    this.#breaker.recordResult(worker.id, task, false, this.#cell.now())
    task.failedOn.add(worker.incarnation)
    if (!step.spec.longRunning) step.countFailure(task)
  }

  /** Ends the job of a task that has failed as often as its queue allows. */
  #failAfterLastAttempt ({ step, index, failures }: TaskInstance): void {
    const { job } = step
    if (step.spec.longRunning || failures < job.definition.queue.maxAttempts || job.isOver) return
    this.#cell.endJob(job, 'failed', `task ${step.name}.${index} has failed ${failures} times`)
    this.stopJob(job)
  }

  #handleRunning (worker: WorkerState, running: RunningTask, present: Set<TaskInstance>, sentAt: number): void {
    const lingering = worker.findLingering(running)
    if (lingering !== undefined) {
      present.add(lingering)
      if (worker.lingering.get(lingering)! + MAX_LINGER_MS < sentAt) {
        this.#stopUnneededRun(worker, running, 'stopping a run whose gang has succeeded')
      }
      return
    }
    const task = this.#cell.findTask(running.key)
    if (task === undefined || task.worker !== worker.id || task.run !== running.run || !task.isAssigned) {
      this.#stopUnneededRun(worker, running, 'stopping a run that no job owns')
      return
    }
    present.add(task)
    if (running.checkpoint !== '') task.checkpoint = running.checkpoint
    task.confirmedAt ??= this.#cell.now()
    if (task.status === 'starting') this.#confirmRun(task)
    task.percent = running.percent
  }

  #setUnownedRuns (worker: WorkerState, hasUnownedRuns: boolean): void {
    if (worker.hasUnownedRuns && !hasUnownedRuns) this.#cell.notifyChange()
    worker.hasUnownedRuns = hasUnownedRuns
  }

  #handleMissingRun (worker: WorkerState, task: TaskInstance): void {
    const { run, status } = task
    const { id, startedAt, processedEndSequence: lastEnd } = worker
    this.#cell.log.info({ ...toLogFields(task), worker: id, startedAt, run, was: status, lastEnd }, 'run is not on its worker')
    this.#cell.requeue(task)
    if (task.step.spec.gang) this.#stopGang(task.step.tasks)
  }

  #stopUnneededRun (worker: WorkerState, { key, run }: RunOrder, message: string): void {
    const runName = `${worker.id} ${key.job}.${key.occurrence}.${key.step}.${key.index} ${run}`
    if (this.#unneededRuns.has(runName)) return
    this.#unneededRuns.add(runName)
    this.#cell.log.warn({ job: key.job, worker: worker.id, run }, message)
    const stop = async () => {
      await this.#sessions.get(worker.id)?.stop({ key, run })
      this.#unneededRuns.delete(runName)
    }
    stop().catch(throwUncaught)
  }
}

/** Whether a run, if it still exists, must be in the report that was requested at `sentAt`, unless it lacks ends. */
function isExpectedInReport (task: TaskInstance, sentAt: number): boolean {
  return (task.status === 'running' || task.status === 'stopping' || task.inherited) && task.startedAt < sentAt
}

function toLogFields (task: TaskInstance) {
  return { job: task.step.job.id, task: `${task.step.name}.${task.index}` }
}
