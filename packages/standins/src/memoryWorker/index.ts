import { randomUUID } from 'node:crypto'
import type {
  AttemptReport, AttemptStart, AttemptState, StartResult, WorkerClient, WorkerInspection, WorkerSession
} from '@gypsumspring/adapters'
import { done, notDone, type Outcome, type Resources } from '@gypsumspring/protocol'
import { FaultSwitch } from '../faults/index.ts'

type Timer = ReturnType<typeof setTimeout>

interface Attempt extends AttemptReport {
  /** On the clock of `performance.now()`, in ms. */
  startedAt: number
  /** Shown as the measured use once the fault `lagMs` has passed. */
  usageLater?: Resources
  leaseTimer?: Timer
  runTimer?: Timer
}

interface ShardState {
  epoch: number
  session: string
  ttlMs: number
  sessionExpiresAt: number
  label: string
}

/** Payload fields that this stand-in understands. */
interface StandInPayload {
  /** Run time in ms; absent for a task that runs until it is stopped. */
  runMs?: number
  fails?: boolean
  /** Use to report; may be above the resources of the attempt. */
  usage?: Resources
}

/** Called when an attempt starts or ends, for tests that watch for double runs. */
export type AttemptObserver = (event: 'start' | 'end', worker: string, report: AttemptReport) => void

/**
 * A worker in memory, as the platform gives it: runs attempts under leases, stops those whose lease lapses, and keeps
 * assumptions A1 to A3 of docs/design.md. It accepts every start even beyond its capacity, so that tests see an
 * overcommitment instead of hiding it.
 */
export class MemoryWorker implements WorkerClient {
  readonly faults = new FaultSwitch()
  /** When set, every attempt fails at once. */
  failsEverything = false
  readonly #id: string
  readonly #capacity: Resources
  readonly #observe: AttemptObserver
  readonly #attempts = new Map<string, Attempt>()
  readonly #shards = new Map<string, ShardState>()
  /** Attempts that ended and were acknowledged. Their ids stay known, so that a late start is not run again (A3). */
  readonly #forgotten = new Map<string, AttemptState>()

  constructor (id: string, capacity: Resources, observe: AttemptObserver = () => {}) {
    this.#id = id
    this.#capacity = capacity
    this.#observe = observe
  }

  openSession (
    request: { shard: string, epoch: number, ttlMs: number, label: string }
  ): Promise<Outcome<WorkerSession & WorkerInspection>> {
    return this.faults.apply(() => {
      const known = this.#shards.get(request.shard)
      if (known !== undefined && known.epoch > request.epoch) return staleEpoch(known.epoch)
      // Never the id of a session from before a restart.
      const session = randomUUID()
      const { epoch, label } = request
      const sessionExpiresAt = performance.now() + request.ttlMs
      this.#shards.set(request.shard, { epoch, label, session, ttlMs: request.ttlMs, sessionExpiresAt })
      return done({ worker: this.#id, session, shard: request.shard, ...this.#inspect(request.shard) })
    })
  }

  heartbeat (session: WorkerSession, request: {
    renewals: Array<{ task: string, attempt: number }>
    leaseMs: number
    acknowledge: Array<{ task: string, attempt: number }>
  }): Promise<Outcome<{ attempts: AttemptReport[] }>> {
    return this.faults.apply(() => this.#withSession<{ attempts: AttemptReport[] }>(session, true, (state) => {
      state.sessionExpiresAt = performance.now() + state.ttlMs
      for (const { task, attempt } of request.renewals) this.#renew(attemptKey(task, attempt), request.leaseMs)
      for (const { task, attempt } of request.acknowledge) this.#forget(attemptKey(task, attempt))
      return done({ attempts: this.#reports() })
    }))
  }

  start (session: WorkerSession, starts: AttemptStart[]): Promise<Outcome<{ results: StartResult[] }>> {
    return this.faults.apply(() => this.#withSession(session, true, () => {
      return done({ results: starts.map((start) => this.#start(start)) })
    }))
  }

  stop (session: WorkerSession, request: { task: string, attempt: number, graceMs: number }): Promise<Outcome<void>> {
    return this.faults.apply(() => this.#withSession<void>(session, false, () => {
      this.#end(attemptKey(request.task, request.attempt), 'stopped')
      return done(undefined)
    }))
  }

  checkpoint (session: WorkerSession, request: { task: string, attempt: number }): Promise<Outcome<void>> {
    return this.faults.apply(() => this.#withSession<void>(session, false, () => {
      this.#end(attemptKey(request.task, request.attempt), 'checkpointed')
      return done(undefined)
    }))
  }

  throttle (
    session: WorkerSession, _request: { task: string, attempt: number, cpuMillis: number }
  ): Promise<Outcome<void>> {
    return this.faults.apply(() => this.#withSession<void>(session, false, () => done(undefined)))
  }

  inspect (shard: string): Promise<Outcome<WorkerInspection>> {
    return this.faults.apply(() => done(this.#inspect(shard)))
  }

  /** Ends everything at once, as when the VM fails. */
  fail (): void {
    this.faults.set({ down: true })
    for (const [key, attempt] of this.#attempts) if (attempt.state === 'running') this.#end(key, 'failed')
    this.#attempts.clear()
    this.#forgotten.clear()
    this.#shards.clear()
  }

  /** Lets a failed worker answer again, as a VM that was started anew. */
  recover (): void {
    this.faults.set({ down: false })
  }

  get running (): AttemptReport[] {
    return this.#reports().filter(({ state }) => state === 'running')
  }

  #start (start: AttemptStart): StartResult {
    const { task, attempt, resources } = start
    const key = attemptKey(task, attempt)
    const known = this.#attempts.get(key)?.state ?? this.#forgotten.get(key)
    if (known !== undefined) return { task, attempt, accepted: true, state: known }
    const { runMs, fails, usage } = start.payload as StandInPayload
    const startedAt = performance.now()
    const started: Attempt = { task, attempt, resources, state: 'running', startedAt, usageLater: usage }
    this.#attempts.set(key, started)
    this.#observe('start', this.#id, toReport(started))
    this.#renew(key, start.leaseMs)
    if (this.failsEverything || fails === true) this.#end(key, 'failed', 'exit code 1')
    else if (runMs !== undefined) started.runTimer = setTimeout(() => this.#end(key, 'succeeded'), runMs)
    return { task, attempt, accepted: true, state: started.state }
  }

  #renew (key: string, leaseMs: number): void {
    const attempt = this.#attempts.get(key)
    if (attempt?.state !== 'running') return
    clearTimeout(attempt.leaseTimer)
    attempt.leaseTimer = setTimeout(() => this.#end(key, 'stopped', 'lease lapsed'), leaseMs)
  }

  #end (key: string, state: AttemptReport['state'], detail?: string): void {
    const attempt = this.#attempts.get(key)
    if (attempt?.state !== 'running') return
    clearTimeout(attempt.leaseTimer)
    clearTimeout(attempt.runTimer)
    attempt.state = state
    if (detail !== undefined) attempt.detail = detail
    this.#observe('end', this.#id, toReport(attempt))
  }

  #forget (key: string): void {
    const attempt = this.#attempts.get(key)
    if (attempt === undefined || attempt.state === 'running') return
    this.#attempts.delete(key)
    this.#forgotten.set(key, attempt.state)
  }

  #reports (): AttemptReport[] {
    const measuredUntil = performance.now() - this.faults.settings.lagMs
    return [...this.#attempts.values()].map((attempt) => {
      const { startedAt, usageLater } = attempt
      const measured = usageLater !== undefined && startedAt <= measuredUntil
      return measured ? { ...toReport(attempt), usage: usageLater } : toReport(attempt)
    })
  }

  #inspect (shard: string): WorkerInspection {
    const state = this.#shards.get(shard)
    return { epoch: state?.epoch ?? 0, label: state?.label ?? '', capacity: this.#capacity, attempts: this.#reports() }
  }

  #withSession<Value> (
    session: WorkerSession, mustBeFresh: boolean, call: (state: ShardState) => Outcome<Value>
  ): Outcome<Value> {
    const state = this.#shards.get(session.shard)
    if (state === undefined) return notDone('session-expired', 'unknown session')
    if (state.epoch > session.epoch) return staleEpoch(state.epoch)
    if (state.session !== session.session) return notDone('session-expired', 'session was replaced')
    if (mustBeFresh && performance.now() > state.sessionExpiresAt) return notDone('session-expired', 'session lapsed')
    return call(state)
  }
}

function attemptKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}

function staleEpoch (epoch: number) {
  return notDone('stale-epoch', `epoch ${epoch} was seen`)
}

function toReport ({ task, attempt, resources, state, detail }: Attempt): AttemptReport {
  return detail === undefined ? { task, attempt, resources, state } : { task, attempt, resources, state, detail }
}
