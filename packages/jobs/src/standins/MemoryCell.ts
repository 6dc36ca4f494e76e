import { done, notDone, sleep, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import { CellNode, type CellHandlers } from '../node/CellNode.ts'
import type { Peer } from '../node/FailoverStore.ts'
import { AccountDirectory } from '../accounts/AccountDirectory/index.ts'
import type { Adviser, MetricsRecorder, LogWriter } from '../ports.ts'
import type { ClientAccount, Job, JobSpec, Queue, Step, WorkerEntry } from '../types.ts'
import { MemoryInventory } from './MemoryInventory.ts'
import { MAX_ROW_BYTES, MemoryRecordStore, MemoryRows } from './MemoryRecordStore.ts'
import { LEASE_LIMIT_MS, createTicket, type MemoryWorker, type PlanRunEnd } from './MemoryWorker.ts'
import { MemoryWorkers } from './MemoryWorkers.ts'

interface Options {
  /** Nodes of the cell. Default: 3. */
  nodes?: number
  /** Number of workers. Default: 4. */
  workers?: number
  /** Capacity of each worker. Default: 16 processors and 32 GB. */
  capacity?: WorkerEntry['capacity']
  /** Decides how runs end. Default: they succeed after their estimated run time. */
  planRunEnd?: PlanRunEnd
  /** Creates a node's client of the policy service. Default: the service allows all workers. */
  createAdviser?: () => Adviser
  /** Names of nodes on small machines with a slow network link. Default: none. */
  weakNodes?: string[]
  /** Latency of a call to the store, in ms. Default: 5. */
  storeLatencyMs?: number
  /** Whether nodes can ask an inventory of machines. Default: no. */
  hasInventory?: boolean
  /** Whether the nodes learn run times and speeds of workers. Default: yes. */
  learnsRunTimes?: boolean
  /** See `OccurrenceOpenerOptions`. */
  maxOpenTasks?: number
  /** Receives the metrics of all nodes. Default: they are discarded. */
  metrics?: MetricsRecorder
  /** Receives the log lines. Default: they are discarded. */
  log?: LogWriter
}

export interface MemoryNode {
  name: string
  cellNode: CellNode
  store: MemoryRecordStore
  /** A node that is down answers no calls, and its own calls have no effect. */
  up: boolean
}

/** Network latency between nodes in each direction, in ms. */
const LATENCY_MS = 1
const NO_METRICS: MetricsRecorder = { count: () => {}, recordDuration: () => {}, set: () => {} }
const NO_LOG: LogWriter = { info: () => {}, warn: () => {} }

/**
 * Simulates a cell in one process: several nodes, a shared store, workers, and a checker of invariants. It uses the
 * runtime's clock and timers, which tests can replace.
 */
export class MemoryCell {
  readonly rows = new MemoryRows()
  readonly workers = new MemoryWorkers()
  /** Used by the nodes only with the option `hasInventory`. */
  readonly inventory = new MemoryInventory()
  readonly nodes = new Map<string, MemoryNode>()
  readonly queues: Queue[] = [createQueue('batch')]
  /** Client accounts of the configuration; undefined when it has none. */
  accounts: ClientAccount[] | undefined
  /** Whether the nodes know the configuration. */
  hasConfiguration = true
  /** Names of the nodes that are cut off, together, from the other nodes, the store and the inventory. */
  readonly isolatedNodes = new Set<string>()
  /** Whether a node reaches a worker. */
  reachesWorker: (node: string, worker: string) => boolean = () => true
  readonly #options: Options
  readonly #handlers = new Map<string, CellHandlers>()
  /** All nodes that were ever started, including killed and replaced ones. */
  readonly #started: MemoryNode[] = []

  constructor (options: Options = {}) {
    this.#options = options
    this.checker.capsOf = (account) => this.accounts?.flatMap(({ name, cap }) => name === account ? [cap] : []) ?? []
    for (let index = 0; index < (options.workers ?? 4); index++) this.addWorker(`w${index}`)
    for (let index = 0; index < (options.nodes ?? 3); index++) this.startNode(`n${index}`)
  }

  get checker () {
    return this.workers.checker
  }

  /** Adds a worker. `machine` is the machine on which it runs, by default one of its own. */
  addWorker (id: string, changes: Partial<WorkerEntry> = {}, machine = `m-${id}`): MemoryWorker {
    const entry: WorkerEntry = {
      id,
      startedAt: Date.now(),
      pool: 'pool',
      address: `${id}:1`,
      failureDomain: 'a',
      draining: false,
      leavesInMs: undefined,
      capacity: this.#options.capacity ?? { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 },
      labels: ['a', 'r1'],
      ...changes
    }
    const planRunEnd = this.#options.planRunEnd ?? ((key) => this.#succeedAfterEstimate(key.job, key.step))
    const worker = this.workers.add(entry, planRunEnd)
    this.inventory.machines.set(machine, worker)
    return worker
  }

  /**
   * Starts a worker again under its id.
   *
   * @param changes - Fields of its registry entry that change. Default: only the time of its start.
   */
  restartWorker (id: string, changes: Partial<WorkerEntry> = {}, entryDelayMs?: number): MemoryWorker {
    const [machine] = [...this.inventory.machines].find(([, worker]) => worker.entry.id === id)!
    const worker = this.workers.restart(id, { startedAt: Date.now(), ...changes }, entryDelayMs)
    this.inventory.machines.set(machine, worker)
    return worker
  }

  startNode (name: string, seeds: string[] = []): MemoryNode {
    const store = new MemoryRecordStore(this.rows, { latencyMs: this.#options.storeLatencyMs })
    const isUp = () => this.nodes.get(name) === node && node.up
    const isolate = <Target extends object>(target: Target) => interceptCalls(blockCallsWhenDown(target, isUp), () =>
      this.isolatedNodes.has(name) ? timeOut() : undefined)
    const cellNode = new CellNode({
      store: isolate(store),
      inventory: this.#options.hasInventory === true ? isolate(this.inventory) : undefined,
      registry: () => this.workers,
      connector: {
        open: (entry) => interceptCalls(blockCallsWhenDown(this.workers.open(entry), isUp), () =>
          this.reachesWorker(name, entry.id) ? undefined : timeOut())
      },
      adviser: this.#options.createAdviser?.() ?? new AllowAllAdviser(this.workers.workers),
      configuration: {
        current: () => this.hasConfiguration
          ? { version: 1, queues: this.queues, accounts: this.accounts && new AccountDirectory(this.accounts) }
          : undefined
      },
      connect: (address) => this.#connect(name, address, isUp),
      log: this.#options.log ?? NO_LOG,
      metrics: this.#options.metrics ?? NO_METRICS
    }, {
      node: name,
      address: name,
      seeds,
      leaseLimitMs: LEASE_LIMIT_MS,
      stopTimeoutMs: 900,
      keepEndedMs: 120_000,
      maxRowBytes: MAX_ROW_BYTES,
      learnsRunTimes: this.#options.learnsRunTimes,
      maxOpenTasks: this.#options.maxOpenTasks,
      ...this.#options.weakNodes?.includes(name) === true
        ? { processors: 0.3, linkMbps: 7 }
        : {
            processors: 1,
            linkMbps: 1000
          }
    })
    const node: MemoryNode = { name, cellNode, store, up: true }
    this.nodes.set(name, node)
    this.#started.push(node)
    this.#handlers.set(name, cellNode.handlers())
    cellNode.start()
    return node
  }

  /** Simulates the kill of a node's process. Messages that it has already sent may still arrive. */
  killNode (name: string): void {
    const node = this.nodes.get(name)!
    node.up = false
    this.#handlers.delete(name)
  }

  get owner (): MemoryNode | undefined {
    return [...this.nodes.values()].find(({ up, cellNode }) => up && cellNode.isOwner)
  }

  /** Submits a job through a node that is up, and returns the kind of the answer. */
  async submit (id: string, steps: Array<Partial<Step>>, options: {
    node?: string,
    queue?: Queue,
    /** Client account that submits the job. Default: none. */
    account?: string,
    /** How many times the steps run, all of them due at once. Default: once. */
    occurrences?: number
  } = {}): Promise<string> {
    const { occurrences = 0 } = options
    const spec: JobSpec = { payload: id, steps: steps.map(createStep), occurrences, firstRunAt: 0, intervalMs: 0 }
    const queue = options.queue ?? this.queues[0]!
    this.checker.registerJob(id, spec, queue.maxAttempts, options.account)
    this.#specs.set(id, spec)
    const node = this.#pick(options.node)
    const job: Job = { id, queue, account: options.account, acceptedAt: Date.now(), spec }
    return (await node.cellNode.jobs.accept(job, 3_000)).kind
  }

  /** Cancels a job through a node that is up, and returns whether the job was found. */
  async cancel (id: string): Promise<boolean> {
    const found = await this.#pick().cellNode.jobs.cancel(id)
    const isCancelled = found.orDefault(false)
    if (isCancelled) this.checker.recordCancellation(id)
    return isCancelled
  }

  async show (id: string): Promise<string | undefined> {
    const state = (await this.#pick().cellNode.jobs.getState(id)).orDefault(undefined)
    this.checker.recordState(id, state)
    return state
  }

  async stop (): Promise<void> {
    const stopped = this.#started.map(async ({ cellNode, up }) => {
      const ended = cellNode.stop()
      // Calls of a killed node are never answered, so only its timers can be cleared.
      if (up) await ended
    })
    await Promise.all(stopped)
  }

  isLongRunning (job: string, step: number): boolean {
    return this.#specs.get(job)?.steps[step]?.longRunning === true
  }

  readonly #specs = new Map<string, JobSpec>()

  #succeedAfterEstimate (job: string, step: number): ReturnType<PlanRunEnd> {
    const spec = this.#specs.get(job)?.steps[step]
    return spec === undefined || spec.longRunning ? undefined : { reason: 'done', afterMs: spec.estimatedRunMs }
  }

  #pick (name?: string): MemoryNode {
    const up = [...this.nodes.values()].filter((node) => node.up)
    return (name === undefined ? undefined : this.nodes.get(name)) ?? up[0]!
  }

  #connect (name: string, address: string, isUp: () => boolean): Peer & { close (): void } {
    const call = async (method: string, params: unknown): Promise<Outcome<never>> => {
      await sleep(LATENCY_MS)
      if (!isUp()) return await new Promise(() => {})
      if (this.isolatedNodes.has(name) !== this.isolatedNodes.has(address)) return await timeOut()
      const handler = this.#handlers.get(address)?.[method as keyof CellHandlers] as ((params: unknown) =>
      unknown) | undefined
      if (handler === undefined) return notDone('unavailable', 'connection refused')
      const result = await handler(params)
      await sleep(LATENCY_MS)
      return this.#handlers.has(address) ? done(result) as Outcome<never> : unknownEffect('closed', 'connection lost')
    }
    return { address, call: call as Peer['call'], close: () => {} }
  }
}

/** Validity of tickets, in ms; the same as at the users' sites. */
export const TICKET_VALID_MS = 2_000

/** Policy service that allows every worker. Its tickets are for the incarnations at the time of the call. */
class AllowAllAdviser implements Adviser {
  readonly #workers: ReadonlyMap<string, MemoryWorker>

  constructor (workers: ReadonlyMap<string, MemoryWorker>) {
    this.#workers = workers
  }

  async advise (_step: unknown, workers: string[]): ReturnType<Adviser['advise']> {
    const tickets = workers.map((id): [string, string] => [id, createTicket(TICKET_VALID_MS, this.#workers.get(id))])
    await sleep(20)
    return done({ tickets })
  }
}

/** Wraps an object so that method calls of a killed process have no effect and never settle. */
function blockCallsWhenDown<Target extends object> (target: Target, isUp: () => boolean): Target {
  return interceptCalls(target, () => isUp() ? undefined : new Promise(() => {}))
}

/** Wraps an object so that method calls have no effect while `intercept` returns an answer, which they get instead. */
function interceptCalls<Target extends object> (
  target: Target, intercept: () => Promise<unknown> | undefined
): Target {
  return new Proxy(target, {
    get (object, name) {
      const member = Reflect.get(object, name) as unknown
      if (typeof member !== 'function') return member
      return (...args: unknown[]) => intercept() ?? (member as (...values: unknown[]) => unknown).apply(object, args)
    }
  })
}

/** Time after which a call over a link that is cut fails, in ms. */
const LINK_TIMEOUT_MS = 250

async function timeOut (): Promise<Outcome<never>> {
  await sleep(LINK_TIMEOUT_MS)
  return unknownEffect('timeout', 'the link is cut')
}

/** Creates a queue with default settings. */
export function createQueue (name: string, changes: Partial<Queue> = {}): Queue {
  return { name, pool: 'pool', priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 500, ...changes }
}

/** Creates a step with one task that uses one processor for one second. */
export function createStep (changes: Partial<Step>): Step {
  return {
    count: 1,
    demand: { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 },
    estimatedRunMs: 1000,
    after: [],
    gang: false,
    sameRack: false,
    requiredLabel: '',
    preferredRack: '',
    maxPerWorker: 0,
    speculative: false,
    savesProgress: false,
    longRunning: false,
    image: '',
    targetLatencyMs: 0,
    fills: false,
    maxUnavailable: 0,
    ...changes
  }
}
