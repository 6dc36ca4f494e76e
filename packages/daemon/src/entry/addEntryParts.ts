import { createHash } from 'node:crypto'
import { createEndpointRouter, type EndpointRouter } from '@gypsumspring/core'
import { createPartLogger } from '../logging/index.ts'
import { Lease } from '../lease/index.ts'
import type { ProcessContext } from '../types.ts'
import { CallerFront } from './callerFront/index.ts'
import { GIVE_BACK_MS, NOTIFY_TIMEOUT_MS, READY_GRACE_MS, SWEEP_INTERVAL_MS } from './constants/index.ts'
import { describeReadiness } from './describeReadiness/index.ts'
import { EndpointRoutes } from './endpointRoutes/index.ts'
import { InventoryWatch } from './inventoryWatch/index.ts'
import { observeObjects, observeTable, type DependencyHealth } from './observeStore/index.ts'
import { OnceTask } from './once/index.ts'
import { OperatorApi } from './operatorApi/index.ts'
import { SlotAllocator } from './slotAllocator/index.ts'
import { SlotsReporter } from './slotsReporter/index.ts'
import { sweepOnceRecords } from './sweepOnceRecords/index.ts'
import { throwUncaught, sleep } from '@gypsumspring/protocol'

interface EntryOptions {
  createRouter?: (endpoint: string) => EndpointRouter
  /** Time for which requests are still accepted after `/readyz` fails, in ms. */
  readyGraceMs?: number
}

/** Ports that the entry listens on, known once it has started. */
export interface EntryPorts {
  callers: number
  operators: number
}

/**
 * Adds the parts of the entry role to the life cycle, and its RPC methods to the handlers. Parts stop in reverse order:
 * callers first, then slots, the operator port last, so that health can be read during the shutdown.
 *
 * @param context - What every part of the process is given.
 * @param options.createRouter - Makes the router of an endpoint. Default: the router of the core package.
 * @param options.readyGraceMs - Time between the failing of `/readyz` and the end of accepting. Default: 500.
 * @returns The ports; 0 until the parts have started.
 *
 * @example
 * addEntryParts(context)
 */
export function addEntryParts (context: ProcessContext, options: EntryOptions = {}): EntryPorts {
  const entry = new Entry(context, options)
  context.handlers['slots.report'] = (report) => entry.allocator.report(report)
  context.handlers['slots.notify'] = ({ failureDomain, epoch }) => entry.notify(failureDomain, epoch)
  context.handlers['once.status'] = (question) => entry.once.status(question)
  context.lifecycle.add({ name: 'operators', start: () => entry.startOperators(), stop: () => entry.stopOperators() })
  context.lifecycle.add({ name: 'slots', start: () => entry.startSlots(), stop: () => entry.stopSlots() })
  context.lifecycle.add({ name: 'callers', start: () => entry.startCallers(), stop: () => entry.stopCallers() })
  return entry.ports
}

/** Builds the parts of an entry and connects them. */
class Entry {
  readonly ports: EntryPorts = { callers: 0, operators: 0 }
  readonly allocator: SlotAllocator
  readonly once: OnceTask
  readonly #context: ProcessContext
  readonly #readyGraceMs: number
  readonly #tableHealth: DependencyHealth = { downSince: undefined }
  readonly #objectsHealth: DependencyHealth = { downSince: undefined }
  readonly #routes: EndpointRoutes
  readonly #front: CallerFront
  readonly #operators: OperatorApi
  readonly #reporter: SlotsReporter
  readonly #lease: Lease
  readonly #inventory: InventoryWatch
  #unsubscribe = () => {}
  #sweepTimer: ReturnType<typeof setInterval> | undefined
  #stopping = false

  constructor (context: ProcessContext, options: EntryOptions) {
    const { settings, platform, peers, metrics, logger, incarnation } = context
    this.#context = context
    this.#readyGraceMs = options.readyGraceMs ?? READY_GRACE_MS
    const table = observeTable(platform.table, this.#tableHealth)
    const objects = observeObjects(platform.objects, this.#objectsHealth)
    const slotsLog = createPartLogger(logger, 'slots')
    this.#routes = new EndpointRoutes({
      createRouter: options.createRouter ??
        ((endpoint) => createEndpointRouter({ seed: seedOf(incarnation, endpoint) })),
      runners: platform.runners,
      metrics,
      onWaiting: () => this.#reporter.poke()
    })
    this.once = new OnceTask({
      table,
      objects,
      peers,
      self: () => ({ id: settings.id, incarnation, address: context.rpcAddress }),
      send: (call, limits) => this.#route(call.endpoint).submit(call, limits),
      metrics,
      logger: createPartLogger(logger, 'once')
    })
    this.#lease = new Lease({
      shard: settings.failureDomain,
      prefix: 'slots',
      owner: settings.id,
      writer: incarnation,
      address: () => context.rpcAddress,
      table,
      terms: settings,
      rank: () => this.#entries().filter(({ id, failureDomain }) =>
        failureDomain === settings.failureDomain && id < settings.id).length,
      onGained: (term) => {
        this.allocator.gain(term).catch(throwUncaught)
      },
      onLost: () => this.allocator.lose(),
      log: slotsLog,
      metrics
    })
    this.allocator = new SlotAllocator({
      failureDomain: settings.failureDomain,
      table,
      lease: this.#lease,
      runHorizonMs: settings.runHorizonMs,
      notify: (id, epoch) => this.#notifyEntry(id, epoch),
      metrics,
      logger: slotsLog
    })
    this.#reporter = new SlotsReporter({
      ownDomain: settings.failureDomain,
      routes: this.#routes,
      self: { id: settings.id, incarnation },
      table,
      peers,
      local: (report) => this.allocator.report(report),
      reportMs: settings.slotReportMs,
      metrics,
      logger: slotsLog
    })
    this.#inventory = new InventoryWatch({
      inventory: platform.inventory,
      intervalMs: settings.inventoryMs,
      onListed: (changed) => this.#noteInventory(changed),
      metrics
    })
    this.#front = new CallerFront({
      directory: {
        ready: () => context.configuration.current !== undefined && this.#hasSlots(),
        hasEndpoint: (endpoint) => this.#routes.find(endpoint) !== undefined,
        hasTeam: (team) => this.#routes.hasTeam(team)
      },
      serve: (call) => call.repeatable ? this.#route(call.endpoint).submit(call) : this.once.serve(call),
      logger: createPartLogger(logger, 'route'),
      metrics
    })
    this.#operators = new OperatorApi({
      context: { ...context, platform: { ...platform, table, objects } },
      readiness: () => this.#readiness(),
      describeEntry: () => this.#describe()
    })
  }

  /** Another entry lacks tokens that this one holds. */
  notify (failureDomain: string, epoch: number) {
    this.#reporter.notify(failureDomain, epoch)
    return {}
  }

  async startOperators (): Promise<void> {
    const { operatorPort, host } = this.#context.settings
    this.ports.operators = await this.#operators.listen(operatorPort, host)
  }

  async stopOperators (): Promise<void> {
    await this.#operators.close()
  }

  startSlots (): void {
    this.#unsubscribe = this.#context.configuration.subscribe(() => this.#configure())
    this.#inventory.start()
    this.#lease.start()
    this.#reporter.start()
  }

  /** Gives the tokens back before the allocator's lease is handed over, since this process may be the allocator. */
  async stopSlots (): Promise<void> {
    this.#unsubscribe()
    this.#inventory.close()
    await this.#reporter.close(GIVE_BACK_MS)
    await this.allocator.handOver()
    await this.#lease.close()
    this.#routes.close()
  }

  async startCallers (): Promise<void> {
    const { settings, logger } = this.#context
    this.ports.callers = await this.#front.listen(settings.callerPort, settings.host)
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS)
    logger.info({ ports: this.ports }, 'process: entry listens')
  }

  /** Fails `/readyz`, goes on accepting for one poll of the balancer, then finishes what is in flight. */
  async stopCallers (): Promise<void> {
    this.#stopping = true
    clearInterval(this.#sweepTimer)
    await sleep(this.#readyGraceMs)
    await this.#front.close()
    // Requests that must not be repeated run to their end although their callers are gone.
    while (this.#routes.inFlight > 0) await sleep(10)
    await this.once.close()
  }

  #route (endpoint: string) {
    const route = this.#routes.find(endpoint) ?? this.#routes.all().get(endpoint)
    if (route === undefined) throw new Error(`no route task for endpoint ${endpoint}`)
    return route
  }

  #entries () {
    return this.#context.members.members().filter(({ role }) => role === 'entry')
  }

  #configure (): void {
    const { configuration: { current }, settings } = this.#context
    if (current === undefined) return
    this.#routes.configure(current, this.#inventory.leaving())
    this.allocator.setRunners(this.#routes.listSlots(settings.failureDomain))
  }

  #notifyEntry (id: string, epoch: number): void {
    const { settings: { failureDomain, id: self }, members, peers, metrics } = this.#context
    if (id === self) return this.#reporter.notify(failureDomain, epoch)
    const address = members.find(id)?.address
    if (address === undefined) return metrics.count('slot_notifications', { result: 'no-address' })
    peers.call(address, 'slots.notify', { failureDomain, epoch }, { timeoutMs: NOTIFY_TIMEOUT_MS })
      .then((outcome) => metrics.count('slot_notifications', { result: outcome.isRight() ? 'sent' : 'failed' }))
      .catch(throwUncaught)
  }

  #noteInventory (changed: boolean): void {
    if (changed) this.#configure()
    for (const entry of this.allocator.registered()) {
      if (this.#inventory.hasLeft(entry, this.#context.members.find(entry)?.address)) this.allocator.leave(entry)
    }
  }

  /** One entry of the cell removes old records: the first in id order. */
  #sweep (): void {
    const { settings, platform, logger } = this.#context
    if (this.#entries().some(({ id }) => id < settings.id)) return
    sweepOnceRecords(platform.table, platform.objects, Date.now())
      .then((removed) => { if (removed > 0) logger.info({ removed }, 'once: old records removed') })
      .catch(throwUncaught)
  }

  /**
   * False when no token is held and none can be had, as after a restart during a store outage. Requests would only wait
   * for their deadline.
   */
  #hasSlots (): boolean {
    return this.#tableHealth.downSince === undefined || this.#reporter.reachesAllocator ||
      [...this.#routes.all().values()].some((task) => task.use().some(({ held }) => held > 0))
  }

  #readiness () {
    return describeReadiness({
      hasSlots: this.#hasSlots(),
      stopping: this.#stopping,
      hasConfiguration: this.#context.configuration.current !== undefined,
      accepting: this.#front.accepting,
      tableDown: this.#tableHealth.downSince !== undefined,
      objectsDown: this.#objectsHealth.downSince !== undefined,
      unreachableDomains: this.#reporter.unreachable()
    })
  }

  #describe () {
    return {
      endpoints: [...this.#routes.all()].map(([endpoint, task]) =>
        ({ endpoint, waiting: task.waiting(), inFlight: task.inFlight, runners: task.use() })),
      allocator: { epoch: this.allocator.epoch, slots: this.allocator.usage() },
      unstoredAnswers: this.once.backlog
    }
  }
}

/** Entries make different random choices, and each the same ones again in a test with a fixed incarnation. */
function seedOf (incarnation: string, endpoint: string): number {
  return createHash('sha256').update(`${incarnation}/${endpoint}`).digest().readInt32LE(0)
}
