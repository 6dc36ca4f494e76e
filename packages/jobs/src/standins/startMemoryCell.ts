import { done, notDone, sleep, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import { CellNode, type CellHandlers } from '../node/CellNode.ts'
import type { Peer } from '../node/RelayedStore.ts'
import type { Adviser, Counters, DecisionLog } from '../ports.ts'
import type { Job, JobSpec, Queue, Step, WorkerEntry } from '../types.ts'
import { MemoryRecordStore, MemoryRows } from './MemoryRecordStore.ts'
import { MemoryWorkers, toTicket, type MemoryWorker, type Outlook } from './MemoryWorkers.ts'

interface Options {
  /** Nodes of the cell. Default: 3. */
  nodes?: number
  /** Workers, each with 16 processors and 32 GB. Default: 4. */
  workers?: number
  /** How runs end. Default: well, after the estimate. */
  outlook?: Outlook
  /** Tickets of the policy service. Default: it allows all workers. */
  adviser?: Adviser
  /** Nodes on small machines with a thin link. Default: none. */
  weakNodes?: string[]
  /** Time of a call to the store, in ms. Default: 5. */
  storeLatencyMs?: number
  /** Receives the log lines. Default: they are dropped. */
  log?: DecisionLog
}

export interface MemoryNode {
  name: string
  cell: CellNode
  store: MemoryRecordStore
  /** A node that is down answers nobody, and nothing that it still does has an effect outside. */
  up: boolean
}

const LATENCY_MS = 1
const NO_COUNTERS: Counters = { count: () => {}, recordDuration: () => {}, set: () => {} }
const NO_LOG: DecisionLog = { info: () => {}, warn: () => {} }

/** A cell of several nodes in one process, on the runtime's clock, with a store, workers and a checker of promises. */
export class MemoryCell {
  readonly rows = new MemoryRows()
  readonly workers = new MemoryWorkers()
  readonly nodes = new Map<string, MemoryNode>()
  readonly queues: Queue[] = [toQueue('batch')]
  readonly #options: Options
  readonly #handlers = new Map<string, CellHandlers>()
  /** All nodes that were ever started. */
  readonly #started: MemoryNode[] = []

  constructor (options: Options = {}) {
    this.#options = options
    for (let index = 0; index < (options.workers ?? 4); index++) this.addWorker(`w${index}`)
    for (let index = 0; index < (options.nodes ?? 3); index++) this.startNode(`n${index}`)
  }

  get checker () {
    return this.workers.checker
  }

  addWorker (id: string, changes: Partial<WorkerEntry> = {}): MemoryWorker {
    const entry: WorkerEntry = {
      id,
      pool: 'pool',
      address: `${id}:1`,
      failureDomain: 'a',
      draining: false,
      leavesInMs: undefined,
      capacity: { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 },
      labels: ['a', 'r1'],
      ...changes
    }
    return this.workers.add(entry, this.#options.outlook ?? ((key) => this.#endWell(key.job, key.step)))
  }

  startNode (name: string): MemoryNode {
    const store = new MemoryRecordStore(this.rows, { latencyMs: this.#options.storeLatencyMs })
    const isUp = () => this.nodes.get(name) === node && node.up
    const cell = new CellNode({
      store: gate(store, isUp),
      registry: () => this.workers,
      links: { open: (entry) => gate(this.workers.open(entry), isUp) },
      adviser: this.#options.adviser ?? new GenerousAdviser(),
      configuration: { current: () => ({ version: 1, queues: this.queues }) },
      connect: (address) => this.#connect(address, isUp),
      log: this.#options.log ?? NO_LOG,
      counters: NO_COUNTERS
    }, {
      node: name,
      address: name,
      seeds: [],
      leaseLimitMs: 6_000,
      stopTimeoutMs: 900,
      keepEndedMs: 120_000,
      ...this.#options.weakNodes?.includes(name) === true
        ? { processors: 0.3, linkMbps: 7 }
        : {
            processors: 1,
            linkMbps: 1000
          }
    })
    const node: MemoryNode = { name, cell, store, up: true }
    this.nodes.set(name, node)
    this.#started.push(node)
    this.#handlers.set(name, cell.handlers())
    cell.start()
    return node
  }

  /** Kills a node's process; what it has sent may still arrive. */
  killNode (name: string): void {
    const node = this.nodes.get(name)!
    node.up = false
    this.#handlers.delete(name)
  }

  get owner (): MemoryNode | undefined {
    return [...this.nodes.values()].find(({ up, cell }) => up && cell.isOwner)
  }

  /** Submits a job through a node that is up. */
  async submit (id: string, steps: Array<Partial<Step>>, options: {
    node?: string,
    queue?: Queue
  } = {}): Promise<string> {
    const spec: JobSpec = { payload: id, steps: steps.map(toStep), occurrences: 0, firstRunAt: 0, intervalMs: 0 }
    const queue = options.queue ?? this.queues[0]!
    this.checker.expect(id, spec, queue.maxAttempts)
    this.#specs.set(id, spec)
    const node = this.#pick(options.node)
    const job: Job = { id, queue, acceptedAt: Date.now(), spec }
    return (await node.cell.jobs.accept(job, 3_000)).kind
  }

  /** Cancels a job through a node that is up; whether there was such a job. */
  async cancel (id: string): Promise<boolean> {
    const found = await this.#pick().cell.jobs.cancel(id)
    const isCancelled = found.orDefault(false)
    if (isCancelled) this.checker.cancelled(id)
    return isCancelled
  }

  async show (id: string): Promise<string | undefined> {
    return (await this.#pick().cell.jobs.getState(id)).orDefault(undefined)
  }

  async stop (): Promise<void> {
    const stopped = this.#started.map(async ({ cell, up }) => {
      const ended = cell.stop()
      // Calls of a killed node are never answered, so only its timers can be ended.
      if (up) await ended
    })
    await Promise.all(stopped)
  }

  isLongRunning (job: string, step: number): boolean {
    return this.#specs.get(job)?.steps[step]?.longRunning === true
  }

  readonly #specs = new Map<string, JobSpec>()

  #endWell (job: string, step: number): ReturnType<Outlook> {
    const spec = this.#specs.get(job)?.steps[step]
    return spec === undefined || spec.longRunning ? undefined : { how: 'done', afterMs: spec.estimatedRunMs }
  }

  #pick (name?: string): MemoryNode {
    const up = [...this.nodes.values()].filter((node) => node.up)
    return (name === undefined ? undefined : this.nodes.get(name)) ?? up[0]!
  }

  #connect (address: string, isUp: () => boolean): Peer & { close (): void } {
    const call = async (method: string, params: unknown): Promise<Outcome<never>> => {
      await sleep(LATENCY_MS)
      if (!isUp()) return await new Promise(() => {})
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

/** Validity of tickets, in ms, as on the users' sites. */
export const TICKET_MS = 2_000

/** Allows every worker. */
class GenerousAdviser implements Adviser {
  async advise (_step: unknown, workers: string[]): ReturnType<Adviser['advise']> {
    await sleep(20)
    return done({ tickets: workers.map((worker): [string, string] => [worker, toTicket(TICKET_MS)]) })
  }
}

/** Calls of a process that was killed reach nobody and are never answered. */
function gate<Target extends object> (target: Target, isUp: () => boolean): Target {
  return new Proxy(target, {
    get (object, name) {
      const member = Reflect.get(object, name) as unknown
      if (typeof member !== 'function') return member
      return (...args: unknown[]) => isUp()
        ? (member as (...values: unknown[]) => unknown).apply(object,
            args)
        : new Promise(() => {})
    }
  })
}

/** A queue with the given name. */
export function toQueue (name: string, changes: Partial<Queue> = {}): Queue {
  return { name, pool: 'pool', priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 500, ...changes }
}

/** A step with one task of one processor that takes a second. */
export function toStep (changes: Partial<Step>): Step {
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
