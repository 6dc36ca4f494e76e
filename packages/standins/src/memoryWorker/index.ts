import { randomUUID } from 'node:crypto'
import type {
  AttemptReport, AttemptStart, AttemptState, StartResult, WorkerClient, WorkerInspection, WorkerSession
} from '@gypsumspring/adapters'
import { done, notDone, type Outcome, type Resources } from '@gypsumspring/protocol'
import { FaultInjector } from '../faults/index.ts'

type Timer = ReturnType<typeof setTimeout>

interface Attempt extends AttemptReport {
  /** Start on the clock of `performance.now()`, in ms. */
  startedAt: number
  /** Usage to report, once the attempt has run for longer than the fault `lagMs`. */
  delayedUsage?: Resources
  /** Name of the gate for which the attempt waits. */
  gate?: string
  leaseTimer?: Timer
  runTimer?: Timer
}

interface ShardSession {
  epoch: number
  session: string
  ttlMs: number
  sessionExpiresAt: number
  label: string
}

/** Payload fields that control how an attempt behaves. */
interface AttemptPayload {
  /** Run time in ms. Default: the attempt runs until it is stopped. */
  runMs?: number
  /** Name of a gate: the attempt runs until `openGate` is called with that name, however long that takes. */
  gate?: string
  /** Whether the attempt fails immediately. */
  fails?: boolean
  /** Usage to report; may exceed the resources of the attempt. */
  usage?: Resources
}

/** Called when an attempt starts or ends, so that tests can detect tasks that run twice at the same time. */
export type AttemptObserver = (event: 'start' | 'end', worker: string, report: AttemptReport) => void

/**
 * In-memory implementation of the platform's worker with fault injection. It runs attempts under leases, stops those
 * whose lease expires, and fulfils assumptions A1 to A3 of docs/design.md. It accepts starts beyond its capacity, so
 * that tests detect when the scheduler overcommits a worker.
 */
export class MemoryWorker implements WorkerClient {
  readonly faults = new FaultInjector()
  /** Whether every attempt fails immediately. */
  failsEverything = false
  readonly #id: string
  readonly #capacity: Resources
  readonly #observe: AttemptObserver
  readonly #attempts = new Map<string, Attempt>()
  readonly #shards = new Map<string, ShardSession>()
  /** Final states of acknowledged attempts, kept so that a start that arrives late does not run again (A3). */
  readonly #acknowledged = new Map<string, AttemptState>()
  readonly #openGates = new Set<string>()

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
      // Random, so that an id from before a restart of the worker is never valid again.
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
      for (const { task, attempt } of request.acknowledge) this.#acknowledge(attemptKey(task, attempt))
      return done({ attempts: this.#listReports() })
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

  /** Simulates a failure of the VM: ends all attempts and forgets all state. */
  fail (): void {
    this.faults.set({ down: true })
    for (const [key, attempt] of this.#attempts) if (attempt.state === 'running') this.#end(key, 'failed')
    this.#attempts.clear()
    this.#acknowledged.clear()
    this.#shards.clear()
  }

  /** Makes a failed worker respond again, like a VM after a restart. */
  recover (): void {
    this.faults.set({ down: false })
  }

  /** Lets all attempts that wait for the gate succeed, and those that start later succeed at once. */
  openGate (gate: string): void {
    this.#openGates.add(gate)
    for (const [key, attempt] of this.#attempts) if (attempt.gate === gate) this.#end(key, 'succeeded')
  }

  /** Attempts that run now. */
  get running (): AttemptReport[] {
    return this.#listReports().filter(({ state }) => state === 'running')
  }

  #start (start: AttemptStart): StartResult {
    const { task, attempt, resources } = start
    const key = attemptKey(task, attempt)
    const known = this.#attempts.get(key)?.state ?? this.#acknowledged.get(key)
    if (known !== undefined) return { task, attempt, accepted: true, state: known }
    const { runMs, gate, fails, usage } = start.payload as AttemptPayload
    const startedAt = performance.now()
    const started: Attempt = { task, attempt, resources, state: 'running', startedAt, delayedUsage: usage, gate }
    this.#attempts.set(key, started)
    this.#observe('start', this.#id, toReport(started))
    this.#renew(key, start.leaseMs)
    if (this.failsEverything || fails === true) this.#end(key, 'failed', 'exit code 1')
    else if (gate !== undefined && this.#openGates.has(gate)) this.#end(key, 'succeeded')
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

  #acknowledge (key: string): void {
    const attempt = this.#attempts.get(key)
    if (attempt === undefined || attempt.state === 'running') return
    this.#attempts.delete(key)
    this.#acknowledged.set(key, attempt.state)
  }

  #listReports (): AttemptReport[] {
    const measuredUntil = performance.now() - this.faults.settings.lagMs
    return [...this.#attempts.values()].map((attempt) => {
      const { startedAt, delayedUsage: usage } = attempt
      const isMeasured = usage !== undefined && startedAt <= measuredUntil
      return isMeasured ? { ...toReport(attempt), usage } : toReport(attempt)
    })
  }

  #inspect (shard: string): WorkerInspection {
    const state = this.#shards.get(shard)
    return { epoch: state?.epoch ?? 0, label: state?.label ?? '', capacity: this.#capacity, attempts: this.#listReports() }
  }

  #withSession<Value> (
    session: WorkerSession, mustBeUnexpired: boolean, call: (state: ShardSession) => Outcome<Value>
  ): Outcome<Value> {
    const state = this.#shards.get(session.shard)
    if (state === undefined) return notDone('session-expired', 'the session is unknown')
    if (state.epoch > session.epoch) return staleEpoch(state.epoch)
    if (state.session !== session.session) return notDone('session-expired', 'the session was replaced by a newer one')
    if (mustBeUnexpired && performance.now() > state.sessionExpiresAt) return notDone('session-expired', 'the session has expired')
    return call(state)
  }
}

function attemptKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}

function staleEpoch (epoch: number) {
  return notDone('stale-epoch', `the worker has seen the higher epoch ${epoch}`)
}

function toReport ({ task, attempt, resources, state, detail }: Attempt): AttemptReport {
  return detail === undefined ? { task, attempt, resources, state } : { task, attempt, resources, state, detail }
}
