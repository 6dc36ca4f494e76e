/**
 * Test support: runs several scheduler processes on one in-memory platform under fake timers, and observes the attempts
 * on all workers.
 */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import type { AttemptReport, AttemptStart, Machine, StartResult, Table, WorkerClient } from '@gypsumspring/adapters'
import type { JournalRow } from '@gypsumspring/core'
import {
  done, notDone, unknownEffect, type Configuration, type Outcome, type Resources, type RpcHandlers, type Workload
} from '@gypsumspring/protocol'
import { type AttemptObserver, MemoryInventory, MemoryObjectStore, MemoryTable, MemoryWorker } from '@gypsumspring/standins'
import { pino } from 'pino'
import type { Component } from '../../lifecycle/index.ts'
import { Metrics } from '../../metrics/index.ts'
import type { ProcessContext } from '../../types.ts'
import type { SupervisorOptions } from '../ShardSupervisor.ts'
import { addSchedulerComponents } from '../addSchedulerComponents.ts'

export const settings = {
  failureDomain: 'hall',
  shardLeaseMs: 10_000,
  taskLeaseMs: 30_000,
  runHorizonMs: 120_000,
  sessionTtlMs: 10_000,
  heartbeatMs: 5_000,
  flushMs: 100,
  inventoryMs: 2_000
}

export const SLOT: Resources = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 }

/** Faults of the calls from one process to one target. */
interface LinkFaults {
  /** Calls fail without reaching the target. */
  cut: boolean
  /** Calls take effect, but their responses are lost. */
  losesResponses: boolean
  /** The worker refuses every start. */
  refusesStarts: boolean
  /** Stops are accepted but have no effect, as with a long grace period. */
  ignoresStops: boolean
  /** Starts get no response and take effect after this delay, in ms; 0 for none. */
  delaysStartsMs: number
}

interface ProcessOptions extends Partial<SupervisorOptions> {
  failureDomain?: string
  /** Failure domain whose VMs the process does not see in the inventory. */
  hiddenDomain?: string
}

/** A scheduler process that can be paused, so that its calls and their responses wait, or killed. */
export class TestProcess {
  readonly id: string
  readonly handlers: RpcHandlers = {}
  readonly metrics = new Metrics()
  /** Failure domain whose VMs this process does not see in the inventory. */
  hiddenDomain: string | undefined
  readonly #isVisible = ({ failureDomain }: Machine): boolean => failureDomain !== this.hiddenDomain
  readonly links = new Map<string, LinkFaults>()
  /** Pending while the process is paused. */
  #paused: Promise<void> | undefined
  #unpause: () => void = () => {}
  readonly #components: Component[] = []
  /** Called before each call of the process, and before the call waits for the end of a pause. */
  beforeCall: (target: string, method: string) => void = () => {}

  constructor (id: string, cell: TestCell, options: ProcessOptions = {}) {
    const { failureDomain = settings.failureDomain, hiddenDomain } = options
    this.hiddenDomain = hiddenDomain
    this.id = id
    const context = {
      settings: { ...settings, failureDomain, id },
      logger: pino({ level: process.env['TEST_LOG'] ?? 'silent', base: { process: id } }),
      metrics: this.metrics,
      lifecycle: { add: (component: Component) => this.#components.push(component) },
      incarnation: `${id}-${cell.nextNumber()}`,
      platform: {
        table: this.#wrap<Table>('table', cell.table),
        objects: this.#wrap('objects', cell.objects),
        inventory: this.#wrap('inventory', cell.inventory),
        workers: {
          connect: (machine: Machine) => this.#wrap<WorkerClient>(machine.id, cell.worker(machine.id)),
          close: async () => {}
        }
      },
      configuration: cell.configurationView,
      members: { members: () => cell.listPeers(id), find: () => undefined },
      handlers: this.handlers,
      rpcAddress: `${id}:1`,
      leaving: false
    }
    addSchedulerComponents(context as unknown as ProcessContext, options)
    for (const component of this.#components) component.start?.()
  }

  link (target: string): LinkFaults {
    let link = this.links.get(target)
    if (link === undefined) {
      link = { cut: false, losesResponses: false, refusesStarts: false, ignoresStops: false, delaysStartsMs: 0 }
      this.links.set(target, link)
    }
    return link
  }

  pause (): void {
    this.#paused ??= new Promise((resolve) => { this.#unpause = resolve })
  }

  resume (): void {
    this.#unpause()
    this.#paused = undefined
  }

  /** Stops the process for good, without releasing its shards. */
  kill (): void {
    this.pause()
    this.#unpause = () => {}
  }

  async stop (): Promise<void> {
    for (const component of this.#components) await component.stop?.()
  }

  async status () {
    const result = await this.handlers['shard.status']?.({ from: 't', configVersion: 0 })
    return result?.shards[0]
  }

  async explain (task: string): Promise<string> {
    const result = await this.handlers['shard.explain']?.({ from: 't', configVersion: 0, task })
    return result?.lines.join('\n') ?? ''
  }

  #wrap<Target extends object> (name: string, target: Target): Target {
    return new Proxy(target, {
      get: (_, method) => async (...parameters: unknown[]): Promise<Outcome<unknown>> => {
        this.beforeCall(name, String(method))
        while (this.#paused !== undefined) await this.#paused
        if (method === 'start' && this.link(name).refusesStarts) return done({ results: refuse(parameters[1]) })
        if (method === 'stop' && this.link(name).ignoresStops) return done(undefined)
        if (this.link(name).cut) return notDone('unavailable', 'cut off')
        const calls = target as Record<string | symbol, (...parameters: unknown[]) => Promise<Outcome<unknown>>>
        if (method === 'start' && this.link(name).delaysStartsMs > 0) {
          setTimeout(() => { calls[method]!.apply(target, parameters) }, this.link(name).delaysStartsMs)
          return unknownEffect('timeout', 'start is late')
        }
        const outcome = await calls[method]!.apply(target, parameters)
        while (this.#paused !== undefined) await this.#paused
        if (name === 'inventory') return (outcome as Outcome<Machine[]>).map((list) => list.filter(this.#isVisible))
        return this.link(name).losesResponses ? unknownEffect('timeout', 'response lost') : outcome
      }
    })
  }
}

function refuse (starts: unknown): StartResult[] {
  return (starts as AttemptStart[]).map(({ task, attempt }) => ({ task, attempt, accepted: false, detail: 'full' }))
}

/** A cell with an in-memory platform. Collects violations of the scheduler's guarantees in `violations`. */
export class TestCell {
  readonly clock: Clock
  readonly table = new MemoryTable()
  readonly objects = new MemoryObjectStore()
  readonly inventory: MemoryInventory
  readonly processes = new Map<string, TestProcess>()
  readonly workers = new Map<string, MemoryWorker>()
  /** Attempts that run on the workers, by task. */
  readonly running = new Map<string, Array<{ worker: string, report: AttemptReport }>>()
  readonly starts: Array<{ worker: string, task: string, attempt: number }> = []
  readonly ends: Array<{ task: string, state: string }> = []
  /** Tasks that succeeded on a worker. */
  readonly succeeded = new Set<string>()
  /** Tasks whose success is recorded in a journal. */
  readonly recordedSuccesses = new Set<string>()
  readonly violations: string[] = []
  /** Quota of team `t` in the whole cell; undefined for none. */
  quota: Resources | undefined
  /** CPU in use by worker. */
  readonly #usedCpuMillis = new Map<string, number>()
  readonly #listeners = new Set<(configuration: Configuration) => void>()
  #configuration: Configuration | undefined
  #number = 0
  readonly #capacity: Resources

  constructor (workerCount: number, capacity: Resources = { ...SLOT, cpuMillis: 2_000, memoryMb: 2_000 }) {
    this.#capacity = capacity
    this.clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance']
    })
    this.inventory = new MemoryInventory()
    this.table.onWrite = (write) => { if (write.kind === 'put') this.#watchJournal(write.value as Partial<JournalRow>) }
    for (let index = 0; index < workerCount; index++) this.addWorker(`w${index}`)
  }

  addWorker (id: string, failureDomain = settings.failureDomain): void {
    const capacity = this.#capacity
    const observe: AttemptObserver = (event, worker, report) => this.#observe(event, worker, report, capacity)
    this.workers.set(id, new MemoryWorker(id, capacity, observe))
    this.listMachine(id, 'live', failureDomain)
  }

  /** Adds a worker to the inventory of VMs or updates it. */
  listMachine (id: string, state: 'live' | 'leaving', failureDomain = settings.failureDomain): void {
    const capacity = this.#capacity
    this.inventory.put({ id, kind: 'worker', failureDomain, rack: 'r', address: id, state, capacity })
  }

  worker (id: string): MemoryWorker {
    return this.workers.get(id) as MemoryWorker
  }

  nextNumber (): number {
    return ++this.#number
  }

  startProcess (id: string, options: ProcessOptions = {}): TestProcess {
    const started = new TestProcess(id, this, options)
    this.processes.set(id, started)
    return started
  }

  listPeers (id: string) {
    return [...this.processes.keys()].filter((other) => other !== id).map((other) => (
      { id: other, role: 'scheduler' as const, failureDomain: 'hall', leaving: false }))
  }

  get configurationView () {
    const subscribe = (listener: (configuration: Configuration) => void) => {
      this.#listeners.add(listener)
      if (this.#configuration !== undefined) listener(this.#configuration)
      return () => { this.#listeners.delete(listener) }
    }
    const view = { subscribe }
    return Object.defineProperty(view, 'current', { get: () => this.#configuration })
  }

  configure (workloads: Array<Partial<Workload> & { id: string }>, cancelled: string[] = []): void {
    const version = (this.#configuration?.index.version ?? 0) + 1
    const cancelledWorkloads = cancelled.map((workload) => ({ scope: 's', workload }))
    const whole = workloads.map((workload): Workload => (
      { team: 't', kind: 'batch', tasks: 1, resources: SLOT, retryLimit: 100, ...workload }))
    this.#configuration = {
      index: { version, scopes: {}, operations: { drainedRunners: [], cancelledWorkloads } },
      manifests: {
        s: { scope: 's', teams: this.quota === undefined ? [] : [{ id: 't', quota: this.quota }], workloads: whole }
      }
    }
    for (const listener of this.#listeners) listener(this.#configuration)
  }

  /** Presents a configuration older than the current one to processes that start or take over from now on. */
  rewindConfiguration (workloads: Array<Partial<Workload> & { id: string }>): void {
    this.#listeners.clear()
    this.#configuration = undefined
    this.configure(workloads)
    const operations = { drainedRunners: [], cancelledWorkloads: [] }
    Object.assign(this.#configuration ?? {}, { index: { version: 0, scopes: {}, operations } })
  }

  /** CPU of all running attempts. */
  get runningCpuMillis (): number {
    return [...this.running.values()].flat().reduce((sum, { report }) => sum + report.resources.cpuMillis, 0)
  }

  async run (ms: number): Promise<void> {
    await this.clock.tickAsync(ms)
  }

  /** Advances the clock until the condition holds. Returns false when it does not within `limitMs`. */
  async runUntil (condition: () => boolean, limitMs: number): Promise<boolean> {
    for (let ms = 0; ms < limitMs && !condition(); ms += 100) await this.run(100)
    return condition()
  }

  runningOn (task: string): string[] {
    return this.running.get(task)?.map(({ worker }) => worker) ?? []
  }

  get runningTasks (): string[] {
    return [...this.running.keys()].sort()
  }

  close (): void {
    for (const each of this.processes.values()) each.kill()
    this.clock.uninstall()
  }

  #watchJournal ({ records = [] }: Partial<JournalRow>): void {
    for (const record of records) {
      if (record.kind === 'end' && record.result === 'succeeded') this.recordedSuccesses.add(record.task)
      // A group that was released or has a new generation may run again.
      if (record.kind === 'release' || record.kind === 'restart') this.#forgetSuccesses(record.group)
    }
  }

  #forgetSuccesses (group: string): void {
    for (const task of this.recordedSuccesses) if (task.startsWith(`${group}/`)) this.recordedSuccesses.delete(task)
  }

  #observe (event: 'start' | 'end', worker: string, report: AttemptReport, capacity: Resources): void {
    const { task, attempt } = report
    const known = this.running.get(task) ?? []
    const others = known.filter((each) => each.worker !== worker || each.report.attempt !== attempt)
    if (event === 'start') {
      this.starts.push({ worker, task, attempt })
      others.push({ worker, report })
      if (others.length > 1) this.violations.push(`${task} runs on ${others.map((each) => each.worker).join(' and ')}`)
      // When a gang loses a member, the whole gang runs again.
      if (this.recordedSuccesses.has(task) && !task.startsWith('s/gang/')) {
        this.violations.push(`${task} started after its success was recorded`)
      }
    } else {
      this.ends.push({ task, state: report.state })
      if (report.state === 'succeeded') this.succeeded.add(task)
    }
    if (others.length === 0) this.running.delete(task)
    else this.running.set(task, others)
    const change = event === 'start' ? report.resources.cpuMillis : -report.resources.cpuMillis
    const used = (this.#usedCpuMillis.get(worker) ?? 0) + change
    this.#usedCpuMillis.set(worker, used)
    if (event === 'start' && this.quota !== undefined && this.runningCpuMillis > this.quota.cpuMillis) {
      this.violations.push(`team t is over its quota: ${this.runningCpuMillis} of ${this.quota.cpuMillis}`)
    }
    if (used > capacity.cpuMillis) this.violations.push(`${worker} is overcommitted: ${used} of ${capacity.cpuMillis}`)
  }
}
