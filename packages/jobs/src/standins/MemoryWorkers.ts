import { ORDER_TIMEOUT_MS } from '../constants/index.ts'
import { done, notDone, sleep, unknownEffect, valueOf, type Outcome } from '@gypsumspring/protocol'
import type { StartResult, WorkerClient, WorkerConnector, WorkerRegistry } from '../ports.ts'
import type { RunOrder, StartOrder, WorkerEntry, WorkerReport } from '../types.ts'
import { InvariantChecker } from './InvariantChecker.ts'
import { Gangs, MemoryWorker, type PlanRunEnd } from './MemoryWorker.ts'
import { WorkerBehavior } from './WorkerBehavior.ts'

/** Time that a poll may take beyond its `waitMs` before it times out, in ms. */
const POLL_TIMEOUT_MARGIN_MS = 250

/** Latency of the registry, in ms. */
const REGISTRY_LATENCY_MS = 2

/**
 * Reading of the clock of a worker at its first start, in ms, and after a restart under its id: code that assumes equal
 * clocks fails, and the times of a predecessor are far in the future.
 */
const FIRST_CLOCK_MS = 1_000_000
const RESTARTED_CLOCK_MS = 1

/** Simulated workers of a cell, their registry, and the connector through which nodes reach them. */
export class MemoryWorkers implements WorkerRegistry, WorkerConnector {
  readonly workers = new Map<string, MemoryWorker>()
  readonly checker = new InvariantChecker()
  /** Called with the fencing token of each call that is sent to a worker. */
  onCall: (token: number) => void = () => {}
  readonly behavior = new WorkerBehavior()
  readonly #gangs = new Gangs(this.behavior)
  readonly #planRunEnds = new Map<string, PlanRunEnd>()
  readonly #unlisted = new Set<string>()
  /** Entries of earlier incarnations that the registry still lists. */
  readonly #outdatedEntries = new Map<string, WorkerEntry>()
  #version = 1
  #changes: Array<{ version: number, id: string }> = []

  add (entry: WorkerEntry, planRunEnd: PlanRunEnd): MemoryWorker {
    const worker = new MemoryWorker(entry, this.checker, this.#gangs, planRunEnd, this.behavior, FIRST_CLOCK_MS)
    this.workers.set(entry.id, worker)
    this.#planRunEnds.set(entry.id, planRunEnd)
    this.#recordChange(entry.id)
    return worker
  }

  /**
   * Starts a worker again under its id, after a crash of the incarnation before if it is still alive.
   *
   * @param changes - Fields of the registry entry that differ from those of the incarnation before.
   * @param entryDelayMs - Time until the registry has its entry, in ms. Default: 0.
   */
  restart (id: string, changes: Partial<WorkerEntry> = {}, entryDelayMs = 0): MemoryWorker {
    const previous = this.workers.get(id)!
    if (previous.alive) previous.crash()
    const entry = { ...previous.entry, draining: false, leavesInMs: undefined, ...changes }
    const worker = new MemoryWorker(entry, this.checker, this.#gangs, this.#planRunEnds.get(id)!, this.behavior,
      RESTARTED_CLOCK_MS)
    worker.leaseLimitMs = previous.leaseLimitMs
    this.workers.set(id, worker)
    this.#unlisted.delete(id)
    if (entryDelayMs > 0) {
      this.#outdatedEntries.set(id, previous.entry)
      setTimeout(() => {
        this.#outdatedEntries.delete(id)
        this.#recordChange(id)
      }, entryDelayMs)
    }
    this.#recordChange(id)
    return worker
  }

  /** Changes the registry entry of a worker. */
  update (id: string, changes: Partial<WorkerEntry>): void {
    const worker = this.workers.get(id)!
    if (changes.capacity !== undefined) this.checker.recordCapacityChange(id, worker.entry.capacity)
    worker.entry = { ...worker.entry, ...changes }
    this.#recordChange(id)
  }

  /** Removes a worker from the registry. The worker itself may keep running. */
  unlist (id: string): void {
    this.#unlisted.add(id)
    this.#recordChange(id)
  }

  async list (): Promise<Outcome<{ workers: WorkerEntry[], version: number }>> {
    await sleep(REGISTRY_LATENCY_MS)
    return done({ workers: this.#listed(), version: this.#version })
  }

  async changes (after: number, waitMs: number): Promise<Outcome<{
    workers: WorkerEntry[],
    removed: string[],
    version: number
  }>> {
    if (after >= this.#version) await sleep(Math.min(waitMs, 100))
    const changed = new Set(this.#changes.filter(({ version }) => version > after).map(({ id }) => id))
    const workers = this.#listed().filter(({ id }) => changed.has(id))
    const present = new Set(workers.map(({ id }) => id))
    return done({ workers, removed: [...changed].filter((id) => !present.has(id)), version: this.#version })
  }

  open (entry: WorkerEntry): WorkerClient {
    if (entry.address === '') throw new Error(`worker ${entry.id} has no address`)
    return new MemoryWorkerClient(this, entry.id, { address: entry.address })
  }

  /** Returns a client for a server of the worker, which answers for one incarnation on each connection itself. */
  openForServer (id: string): WorkerClient {
    return new MemoryWorkerClient(this, id, { checksIncarnation: false })
  }

  #listed (): WorkerEntry[] {
    return [...this.workers.values()].filter(({ entry }) => !this.#unlisted.has(entry.id))
      .map(({ entry }) => this.#outdatedEntries.get(entry.id) ?? entry)
  }

  #recordChange (id: string): void {
    this.#changes.push({ version: ++this.#version, id })
  }
}

/** Client of the incarnation that has the worker's id at the time of each call. */
class MemoryWorkerClient implements WorkerClient {
  readonly #workers: MemoryWorkers
  readonly #id: string
  readonly #checksIncarnation: boolean
  /** Address that is called; undefined for that of the present incarnation. */
  readonly #address: string | undefined
  /** The incarnation that has answered the last poll. */
  #connected: MemoryWorker | undefined
  #startedAt: number | undefined

  constructor (
    workers: MemoryWorkers, id: string, { address, checksIncarnation = true }: {
      address?: string,
      checksIncarnation?: boolean
    }
  ) {
    this.#workers = workers
    this.#id = id
    this.#address = address
    this.#checksIncarnation = checksIncarnation
  }

  get #worker (): MemoryWorker {
    return this.#workers.workers.get(this.#id)!
  }

  #isAddressReused (): boolean {
    return [...this.#workers.workers.values()].some(({ alive, entry }) => alive && entry.address === this.#address)
  }

  async poll ({
    token, acknowledged, leaseUntil,
    waitMs = 0
  }: Parameters<WorkerClient['poll']>[0]): Promise<Outcome<WorkerReport>> {
    const isBound = acknowledged > 0 || leaseUntil !== undefined
    let answering: MemoryWorker | undefined
    const outcome = await this.#call('poll', token, async (worker) => {
      worker.extendLease(leaseUntil)
      answering = worker
      return done(await worker.report(acknowledged, waitMs))
    }, { isBound, timeoutMs: waitMs + POLL_TIMEOUT_MARGIN_MS })
    // The first incarnation that answers is the one of this client; the connections to others are of no use.
    this.#startedAt ??= valueOf(outcome)?.startedAt
    if (outcome.isRight() && answering?.entry.startedAt === this.#startedAt) this.#connected = answering
    return outcome
  }

  async start (order: StartOrder, token: number, leaseUntil: number): Promise<Outcome<StartResult>> {
    const start = (worker: MemoryWorker) => done(worker.start(order, leaseUntil))
    return await this.#call<StartResult>('start', token, start, { isBound: true })
  }

  stop (order: RunOrder, token: number): Promise<Outcome<void>> {
    return this.#call('stop', token, (worker) => done(worker.stop(order)))
  }

  pace (order: RunOrder, percent: number, token: number): Promise<Outcome<void>> {
    return this.#call('pace', token, (worker) => done(worker.pace(order, percent)))
  }

  close (): void {}

  async #call<Value> (
    name: 'poll' | 'start' | 'stop' | 'pace', token: number,
    act: (worker: MemoryWorker) => Outcome<Value> | Promise<Outcome<Value>>,
    { isBound = false, timeoutMs = ORDER_TIMEOUT_MS } = {}
  ): Promise<Outcome<Value>> {
    this.#workers.onCall(token)
    const { behavior } = this.#workers
    await sleep(behavior.latencyMs())
    const worker = this.#worker
    const isPresent = this.#address === undefined || worker.entry.address === this.#address
    if (!isPresent && this.#isAddressReused()) return notDone('session-expired', 'another worker answers')
    if (isBound && this.#checksIncarnation && worker !== this.#connected) return notDone('closed', 'no connection to the incarnation is open')
    if (worker.replaced) return notDone('session-expired', 'another incarnation answers')
    const fault = worker.alive && isPresent ? worker.fault(name) : 'silent'
    const deadline = performance.now() + timeoutMs
    const noAnswer = () => timeOut(Math.max(0, deadline - performance.now()))
    if (fault === 'silent') return await noAnswer()
    if (fault === 'late') {
      setTimeout(() => {
        const target = name === 'stop' ? this.#worker : worker
        if (target.alive && target.acceptsToken(token)) act(target)
      }, behavior.lateMs())
      return await noAnswer()
    }
    if (!worker.acceptsToken(token)) {
      return name === 'start'
        ? done({ kind: 'refused', reason: 'stale-token' } as Value)
        : notDone('stale-epoch',
          'the worker has seen a higher fencing token')
    }
    if (fault === 'unhealthy') {
      return name === 'start'
        ? done({
          kind: 'refused',
          reason: 'unhealthy'
        } as Value)
        : notDone('unavailable', 'the worker is unhealthy')
    }
    const outcome = await act(worker)
    await sleep(behavior.latencyMs())
    return fault === 'lost' || !worker.alive ? await noAnswer() : outcome
  }
}

async function timeOut (waitMs: number): Promise<Outcome<never>> {
  await sleep(waitMs)
  return unknownEffect('timeout', 'no answer from the worker')
}
