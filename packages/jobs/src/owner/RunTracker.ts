import { failureOf, rethrow, sleep, valueOf } from '@gypsumspring/protocol'
import { ORDER_RETRY_MS } from '../constants/index.ts'
import type { TrackedJob, TaskInstance } from '../model/index.ts'
import { computeFillerPace } from '../placement/computeFillerPace/index.ts'
import type { EndedRun, RunningTask, TaskKey, WorkerReport } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'
import type { WorkerSession } from './WorkerSession.ts'
import type { WorkerTrust } from './WorkerTrust.ts'

/** Weight of a new observation in a worker's slowness. */
const SLOWNESS_GAIN = 0.2

/** Least time between two changes of the pace on one worker, in ms; a change shows after about half a second. */
const PACE_INTERVAL_MS = 500

/** Compares what workers report with what the owner knows, and sends orders until they are settled. */
export class RunTracker {
  readonly #cell: Cell
  readonly #trust: WorkerTrust
  readonly #sessions: ReadonlyMap<string, WorkerSession>
  readonly #onLostOwnership: (reason: string) => void
  /** Runs that no job owns any more and that are being stopped. */
  readonly #strays = new Set<string>()
  #closed = false
  readonly #paces = new Map<string, { percent: number, changedAt: number }>()

  constructor (
    cell: Cell, trust: WorkerTrust, sessions: ReadonlyMap<string, WorkerSession>,
    onLostOwnership: (reason: string) => void
  ) {
    this.#cell = cell
    this.#trust = trust
    this.#sessions = sessions
    this.#onLostOwnership = onLostOwnership
  }

  /** Ends the repetition of orders; the next owner goes on from what workers report. */
  close (): void {
    this.#closed = true
  }

  /** Takes in what a worker reports. `sentAt` is the steady time of the request. */
  receive (worker: WorkerState, view: WorkerReport, sentAt: number): void {
    worker.hasAnswered = true
    for (const end of view.ended) {
      if (end.sequence <= worker.processedEndSequence) continue
      worker.processedEndSequence = end.sequence
      this.#handleEnd(worker, end)
    }
    const present = new Set<TaskInstance>()
    for (const running of view.running) this.#handleRunning(worker, running, present)
    this.#noteStrays(worker, present.size < view.running.length)
    for (const task of [...worker.tasks]) {
      if (!present.has(task) && isSettledBefore(task, sentAt)) this.#handleVanished(worker, task)
    }
    this.#adjustPace(worker, view.running)
  }

  /** Sends the order of a stored start until the worker has answered. */
  async start (task: TaskInstance): Promise<void> {
    const { run, worker: workerId } = task
    const isCurrent = () => !this.#closed && task.status === 'starting' && task.run === run && task.worker === workerId
    task.orderSent = true
    let uncertain = false
    while (isCurrent()) {
      const session = this.#sessions.get(workerId!)
      if (session === undefined) return
      if (!this.#hasTicket(task)) {
        this.#cell.counters.count('tickets_expired')
        this.#takeBack(task, uncertain)
        return
      }
      const outcome = await session.start({
        key: task.key, run, payload: task.step.job.spec.payload, checkpoint: task.checkpoint, ticket: task.ticket
      })
      if (!isCurrent()) return
      const result = valueOf(outcome)
      if (result === undefined) {
        const isFirstDoubt: boolean = !uncertain && failureOf(outcome)?.certainty === 'unknown'
        uncertain ||= isFirstDoubt
        this.#cell.counters.count('order_retries', { order: 'start' })
        // The first order without an answer is repeated at once: it was most likely lost on its own.
        if (!isFirstDoubt) await sleep(ORDER_RETRY_MS)
        continue
      }
      if (result.kind === 'started') this.#confirm(task)
      else this.#handleRefusal(task, result.reason, uncertain)
      return
    }
  }

  /** Stops a run; the task then waits for another one, or is dropped with its job. */
  stop (task: TaskInstance, then: 'wait' | 'drop'): void {
    if (task.status === 'waiting' || task.status === 'done') return
    if (task.status === 'stopping') {
      if (then === 'drop') task.afterStop = 'drop'
      return
    }
    if (task.status === 'starting' && !task.orderSent) {
      this.#cell.putBack(task)
      return
    }
    task.status = 'stopping'
    task.afterStop = then
    // Counts from the confirmation of the stop for the comparison with later looks.
    task.startedAt = Infinity
    this.#sendStop(task).catch(rethrow)
  }

  stopJob (job: TrackedJob): void {
    for (const task of [...job.tasks()]) this.stop(task, 'drop')
  }

  /** Notes that nothing runs on a worker any more. */
  loseTasks (worker: WorkerState, reason: string): void {
    if (worker.tasks.size === 0) return
    this.#cell.log.warn({ worker: worker.id, tasks: worker.tasks.size, reason }, 'tasks of a worker are lost')
    this.#cell.counters.count('tasks_lost', { reason }, worker.tasks.size)
    for (const task of [...worker.tasks]) this.#cell.putBack(task)
  }

  async #sendStop (task: TaskInstance): Promise<void> {
    const { run, worker: workerId, key } = task
    while (!this.#closed && task.status === 'stopping' && task.run === run) {
      // While an owner recovers, it may know the task before it knows the worker.
      const outcome = await this.#sessions.get(workerId!)?.stop({ key, run })
      if (outcome?.isRight() === true) {
        task.startedAt = this.#cell.now()
        return
      }
      this.#cell.counters.count('order_retries', { order: 'stop' })
      await sleep(ORDER_RETRY_MS)
    }
  }

  #confirm (task: TaskInstance): void {
    task.status = 'running'
    task.startedAt = this.#cell.now()
    this.#cell.counters.recordDuration('task_wait', task.startedAt - Math.max(task.waitingSince,
      task.step.readyAt ?? 0))
    const { job } = task.step
    job.started = true
    if (job.isOver || job.cancelled) this.stop(task, 'drop')
  }

  #handleRefusal (task: TaskInstance, reason: string, uncertain: boolean): void {
    this.#cell.counters.count('starts_refused', { reason })
    this.#cell.log.info({ ...logged(task), worker: task.worker, run: task.run, reason, uncertain }, 'start refused')
    if (reason === 'stale-token') {
      this.#onLostOwnership('a worker has seen a higher token')
      return
    }
    if (reason === 'no-ticket') task.step.advice.dropTicket(task.worker!)
    if (reason === 'unhealthy' || reason === 'invalid') {
      this.#trust.record(task.worker!, task, false, this.#cell.now())
      task.failedOn.add(task.worker!)
    }
    // A run whose number was refused may have been there and ended: the next look tells.
    if (reason === 'old-run' && uncertain) {
      this.#confirm(task)
      return
    }
    this.#takeBack(task, uncertain)
  }

  /** Gives up a start that was not carried out, or that may have been if it is uncertain. */
  #takeBack (task: TaskInstance, uncertain: boolean): void {
    const { step } = task
    if (uncertain) this.stop(task, 'wait')
    else this.#cell.putBack(task)
    if (step.spec.gang) this.#stopGang(step.tasks)
  }

  /** Whether an order for the task would be accepted, with the newest ticket for its worker. */
  #hasTicket (task: TaskInstance): boolean {
    if (task.step.job.job.queue.advice === undefined) return true
    task.ticket = task.step.advice.ticket(task.worker!, this.#cell.now()) ?? ''
    return task.ticket !== ''
  }

  /**
   * A gang of which a member is missing can't work; its other members are stopped before they give up by
   * themselves.
   */
  #stopGang (members: readonly TaskInstance[]): void {
    for (const member of members) this.stop(member, 'wait')
  }

  #handleEnd (worker: WorkerState, end: EndedRun): void {
    const task = this.#cell.find(end.key)
    if (task === undefined || task.run !== end.run || task.status === 'done') return
    // A run on a worker whose lease ended unseen was given up; its good end still counts while no other run began.
    if (task.worker !== worker.id && !(task.status === 'waiting' && end.reason === 'done')) return
    const { run, reason: how, sequence } = end
    // Good ends are told once for each step: a line for each one would exceed what can be written under load.
    if (how !== 'done') this.#cell.log.info({ ...logged(task), worker: worker.id, run, how, end: sequence }, 'run ended')
    this.#cell.counters.count('runs_ended', { how: end.reason })
    const { step } = task
    step.job.started = true
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    if (end.reason === 'done' && !step.spec.longRunning) {
      this.#recordSpeed(worker, task)
      this.#trust.record(worker.id, task, true, this.#cell.now())
      const members = step.spec.gang ? step.tasks : [task]
      for (const member of members) this.#cell.finish(member)
      return
    }
    if (end.reason === 'failed') this.#handleFailure(worker, task)
    this.#cell.putBack(task, end.checkpoint)
    if (step.job.isOver || step.job.cancelled) return
    if (step.spec.gang && end.reason !== 'broken') this.#stopGang(step.tasks.filter((member) => member.run === end.run))
  }

  #handleFailure (worker: WorkerState, task: TaskInstance): void {
    const { step } = task
    this.#trust.record(worker.id, task, false, this.#cell.now())
    task.failedOn.add(worker.id)
    if (step.spec.longRunning) return
    const members = step.spec.gang ? step.tasks : [task]
    for (const member of members) member.failures++
    const { job } = step
    if (task.failures < job.job.queue.maxAttempts || job.isOver) return
    this.#cell.endJob(job, 'failed', `task ${step.name}.${task.index} has failed ${task.failures} times`)
    this.stopJob(job)
  }

  #recordSpeed (worker: WorkerState, task: TaskInstance): void {
    const { estimatedRunMs } = task.step.spec
    if (task.status !== 'running' || estimatedRunMs <= 0 || task.checkpoint !== '' || task.step.spec.fills) return
    const ratio = Math.min(5, (this.#cell.now() - task.startedAt) / estimatedRunMs)
    worker.slowdown += SLOWNESS_GAIN * (ratio - worker.slowdown)
  }

  #handleRunning (worker: WorkerState, running: RunningTask, present: Set<TaskInstance>): void {
    const task = this.#cell.find(running.key)
    if (task === undefined || task.worker !== worker.id || task.run !== running.run || !task.isAssigned) {
      this.#stopStray(worker, running)
      return
    }
    present.add(task)
    if (running.checkpoint !== '') task.checkpoint = running.checkpoint
    if (task.status === 'starting') this.#confirm(task)
    task.percent = running.percent
  }

  #noteStrays (worker: WorkerState, hasStrays: boolean): void {
    if (worker.hasUnknownRuns && !hasStrays) this.#cell.changed()
    worker.hasUnknownRuns = hasStrays
  }

  #handleVanished (worker: WorkerState, task: TaskInstance): void {
    const { run, status } = task
    this.#cell.log.info({ ...logged(task), worker: worker.id, run, was: status }, 'run is not on its worker')
    this.#cell.putBack(task)
    if (task.step.spec.gang) this.#stopGang(task.step.tasks)
  }

  #stopStray (worker: WorkerState, { key, run }: { key: TaskKey, run: number }): void {
    const name = `${worker.id} ${key.job}.${key.occurrence}.${key.step}.${key.index} ${run}`
    if (this.#strays.has(name)) return
    this.#strays.add(name)
    this.#cell.log.warn({ job: key.job, worker: worker.id, run }, 'stopping a run that no job owns')
    const stop = async () => {
      await this.#sessions.get(worker.id)?.stop({ key, run })
      this.#strays.delete(name)
    }
    stop().catch(rethrow)
  }

  /** Slows filling tasks down while a serving task beside them misses its target. */
  #adjustPace (worker: WorkerState, running: readonly RunningTask[]): void {
    const tails: Array<{ tailMs: number, targetMs: number }> = []
    const fillers: TaskInstance[] = []
    for (const { key, usage } of running) {
      const task = this.#cell.find(key)
      if (task === undefined || task.worker !== worker.id || task.status !== 'running') continue
      const { fills, targetLatencyMs } = task.step.spec
      if (targetLatencyMs > 0) tails.push({ tailMs: usage, targetMs: targetLatencyMs })
      if (fills) fillers.push(task)
    }
    const pace = this.#paces.get(worker.id) ?? { percent: 100, changedAt: 0 }
    const now = this.#cell.now()
    if (now - pace.changedAt >= PACE_INTERVAL_MS) {
      const percent = computeFillerPace(pace.percent, tails)
      if (percent !== pace.percent) this.#paces.set(worker.id, { percent, changedAt: now })
    }
    const wanted = this.#paces.get(worker.id)?.percent ?? 100
    for (const task of fillers) {
      if (task.percent === wanted) continue
      this.#cell.counters.count('pace_changes')
      const { id } = worker
      this.#cell.log.info({ ...logged(task), worker: id, percent: wanted, tails }, 'pace of a filling task changed')
      this.#sessions.get(worker.id)?.pace({ key: task.key, run: task.run }, wanted).catch(rethrow)
    }
  }
}

/** Whether a run must be in the answer to a look that was sent at `sentAt`, if it still exists. */
function isSettledBefore (task: TaskInstance, sentAt: number): boolean {
  return (task.status === 'running' || task.status === 'stopping' || task.inherited) && task.startedAt < sentAt
}

function logged (task: TaskInstance) {
  return { job: task.step.job.id, task: `${task.step.name}.${task.index}` }
}
