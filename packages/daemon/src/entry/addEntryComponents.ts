import { createHash } from 'node:crypto'
import { createEndpointRouter, type EndpointRouter } from '@gypsumspring/core'
import { createComponentLogger } from '../logging/index.ts'
import { Lease } from '../lease/index.ts'
import type { ProcessContext } from '../types.ts'
import { AtMostOnceHandler } from './atMostOnce/index.ts'
import { CallerServer } from './callerServer/index.ts'
import {
  NOTIFY_TIMEOUT_MS, READY_GRACE_MS, RECORD_CLEANUP_INTERVAL_MS, SLOT_RETURN_TIMEOUT_MS
} from './constants/index.ts'
import { deleteExpiredRecords } from './deleteExpiredRecords/index.ts'
import { describeReadiness } from './describeReadiness/index.ts'
import { EndpointDispatchers } from './endpointDispatchers/index.ts'
import { InventoryWatch } from './inventoryWatch/index.ts'
import { observeObjects, observeTable, type DependencyHealth } from './observeStore/index.ts'
import { OperatorApi } from './operatorApi/index.ts'
import { SlotAllocator } from './slotAllocator/index.ts'
import { SlotManager } from './slotManager/index.ts'
import { throwUncaught, sleep } from '@gypsumspring/protocol'

interface EntryOptions {
  createRouter?: (endpoint: string) => EndpointRouter
  /** Time during which requests are still accepted after `/readyz` fails, in ms. */
  readyGraceMs?: number
}

/** Ports that the entry listens on; 0 until it has started. */
export interface EntryPorts {
  callers: number
  operators: number
}

/**
 * Registers the components of the entry role with the life cycle, and their RPC methods with the handlers. Components
 * stop in reverse order: callers first, then slots, and the operator port last, so that health checks work during the
 * shutdown.
 *
 * @param context - Shared context of the process.
 * @param options.createRouter - Creates the router of an endpoint. Default: the router of the core package.
 * @param options.readyGraceMs - Time in which requests are still accepted after `/readyz` fails, in ms. Default: 500.
 * @returns The ports; 0 until the components have started.
 *
 * @example
 * addEntryParts(context)
 */
export function addEntryComponents (context: ProcessContext, options: EntryOptions = {}): EntryPorts {
  const entry = new Entry(context, options)
  context.handlers['slots.report'] = (report) => entry.allocator.handleReport(report)
  context.handlers['slots.notify'] = ({ failureDomain, epoch }) => entry.notify(failureDomain, epoch)
  context.handlers['once.status'] = (question) => entry.atMostOnce.status(question)
  context.lifecycle.add({ name: 'operators', start: () => entry.startOperators(), stop: () => entry.stopOperators() })
  context.lifecycle.add({ name: 'slots', start: () => entry.startSlots(), stop: () => entry.stopSlots() })
  context.lifecycle.add({ name: 'callers', start: () => entry.startCallers(), stop: () => entry.stopCallers() })
  return entry.ports
}

/** Creates the components of an entry and connects them. */
class Entry {
  readonly ports: EntryPorts = { callers: 0, operators: 0 }
  readonly allocator: SlotAllocator
  readonly atMostOnce: AtMostOnceHandler
  readonly #context: ProcessContext
  readonly #readyGraceMs: number
  readonly #tableHealth: DependencyHealth = { downSince: undefined }
  readonly #objectsHealth: DependencyHealth = { downSince: undefined }
  readonly #dispatchers: EndpointDispatchers
  readonly #callerServer: CallerServer
  readonly #operatorApi: OperatorApi
  readonly #slotManager: SlotManager
  readonly #lease: Lease
  readonly #inventory: InventoryWatch
  #unsubscribe = () => {}
  #recordCleanupTimer: ReturnType<typeof setInterval> | undefined
  #stopping = false

  constructor (context: ProcessContext, options: EntryOptions) {
    const { settings, platform, peers, metrics, logger, incarnation } = context
    this.#context = context
    this.#readyGraceMs = options.readyGraceMs ?? READY_GRACE_MS
    const table = observeTable(platform.table, this.#tableHealth)
    const objects = observeObjects(platform.objects, this.#objectsHealth)
    const slotsLog = createComponentLogger(logger, 'slots')
    this.#dispatchers = new EndpointDispatchers({
      createRouter: options.createRouter ??
        ((endpoint) => createEndpointRouter({ seed: deriveSeed(incarnation, endpoint) })),
      runners: platform.runners,
      metrics,
      onWaiting: () => this.#slotManager.reportSoon()
    })
    this.atMostOnce = new AtMostOnceHandler({
      table,
      objects,
      peers,
      self: () => ({ id: settings.id, incarnation, address: context.rpcAddress }),
      send: (request, options) => this.#findDispatcher(request.endpoint).submit(request, options),
      metrics,
      log: createComponentLogger(logger, 'once')
    })
    this.#lease = new Lease({
      shard: settings.failureDomain,
      prefix: 'slots',
      owner: settings.id,
      writer: incarnation,
      address: () => context.rpcAddress,
      table,
      durations: settings,
      rank: () => this.#listEntries().filter(({ id, failureDomain }) =>
        failureDomain === settings.failureDomain && id < settings.id).length,
      onGained: (term) => {
        this.allocator.startTerm(term).catch(throwUncaught)
      },
      onLost: () => this.allocator.endTerm(),
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
      log: slotsLog
    })
    this.#slotManager = new SlotManager({
      ownDomain: settings.failureDomain,
      dispatchers: this.#dispatchers,
      self: { id: settings.id, incarnation },
      table,
      peers,
      reportLocally: (report) => this.allocator.handleReport(report),
      reportMs: settings.slotReportMs,
      metrics,
      log: slotsLog
    })
    this.#inventory = new InventoryWatch({
      inventory: platform.inventory,
      intervalMs: settings.inventoryMs,
      onListed: (changed) => this.#handleInventory(changed),
      metrics
    })
    this.#callerServer = new CallerServer({
      admission: {
        ready: () => context.configuration.current !== undefined && this.#hasSlots(),
        hasEndpoint: (endpoint) => this.#dispatchers.find(endpoint) !== undefined,
        hasTeam: (team) => this.#dispatchers.hasTeam(team)
      },
      serve: (request) => request.repeatable
        ? this.#findDispatcher(request.endpoint).submit(request)
        : this.atMostOnce.serve(request),
      log: createComponentLogger(logger, 'route'),
      metrics
    })
    this.#operatorApi = new OperatorApi({
      context: { ...context, platform: { ...platform, table, objects } },
      readiness: () => this.#readiness(),
      describeEntry: () => this.#describeEntry()
    })
  }

  /** Handles the allocator's notice that another entry needs tokens that this entry holds. */
  notify (failureDomain: string, epoch: number) {
    this.#slotManager.notify(failureDomain, epoch)
    return {}
  }

  async startOperators (): Promise<void> {
    const { operatorPort, host } = this.#context.settings
    this.ports.operators = await this.#operatorApi.listen(operatorPort, host)
  }

  async stopOperators (): Promise<void> {
    await this.#operatorApi.close()
  }

  startSlots (): void {
    this.#unsubscribe = this.#context.configuration.subscribe(() => this.#applyConfiguration())
    this.#inventory.start()
    this.#lease.start()
    this.#slotManager.start()
  }

  /** Returns the tokens before the allocator's lease is released, since this process may be the allocator itself. */
  async stopSlots (): Promise<void> {
    this.#unsubscribe()
    this.#inventory.close()
    await this.#slotManager.close(SLOT_RETURN_TIMEOUT_MS)
    await this.allocator.handOver()
    await this.#lease.close()
    this.#dispatchers.close()
  }

  async startCallers (): Promise<void> {
    const { settings, logger } = this.#context
    this.ports.callers = await this.#callerServer.listen(settings.callerPort, settings.host)
    this.#recordCleanupTimer = setInterval(() => this.#deleteExpiredRecords(), RECORD_CLEANUP_INTERVAL_MS)
    logger.info({ ports: this.ports }, 'process: entry is listening')
  }

  /** Fails `/readyz`, keeps accepting requests for one poll of the load balancer, then waits for those in flight. */
  async stopCallers (): Promise<void> {
    this.#stopping = true
    clearInterval(this.#recordCleanupTimer)
    await sleep(this.#readyGraceMs)
    await this.#callerServer.close()
    // Non-repeatable requests run to completion even if their callers have disconnected.
    while (this.#dispatchers.inFlight > 0) await sleep(10)
    await this.atMostOnce.close()
  }

  #findDispatcher (endpoint: string) {
    const dispatcher = this.#dispatchers.find(endpoint) ?? this.#dispatchers.all().get(endpoint)
    if (dispatcher === undefined) throw new Error(`no dispatcher for endpoint ${endpoint}`)
    return dispatcher
  }

  #listEntries () {
    return this.#context.members.members().filter(({ role }) => role === 'entry')
  }

  #applyConfiguration (): void {
    const { configuration: { current }, settings } = this.#context
    if (current === undefined) return
    this.#dispatchers.configure(current, this.#inventory.leavingVms())
    this.allocator.setRunners(this.#dispatchers.listSlots(settings.failureDomain))
  }

  #notifyEntry (id: string, epoch: number): void {
    const { settings: { failureDomain, id: self }, members, peers, metrics } = this.#context
    if (id === self) return this.#slotManager.notify(failureDomain, epoch)
    const address = members.find(id)?.address
    if (address === undefined) return metrics.count('slot_notifications', { result: 'no-address' })
    peers.call(address, 'slots.notify', { failureDomain, epoch }, { timeoutMs: NOTIFY_TIMEOUT_MS })
      .then((outcome) => metrics.count('slot_notifications', { result: outcome.isRight() ? 'sent' : 'failed' }))
      .catch(throwUncaught)
  }

  #handleInventory (changed: boolean): void {
    if (changed) this.#applyConfiguration()
    for (const entry of this.allocator.registeredEntries()) {
      const address = this.#context.members.find(entry)?.address
      if (this.#inventory.hasLeft(entry, address)) this.allocator.recordEntryRemoval(entry)
    }
  }

  /** Deletes expired records if this entry has the lowest id, so that only one entry of the cell does so. */
  #deleteExpiredRecords (): void {
    const { settings, platform, logger } = this.#context
    if (this.#listEntries().some(({ id }) => id < settings.id)) return
    deleteExpiredRecords(platform.table, platform.objects, Date.now())
      .then((removed) => { if (removed > 0) logger.info({ removed }, 'once: expired records deleted') })
      .catch(throwUncaught)
  }

  /**
   * Whether slot tokens are held or can be obtained. After a restart during a store outage neither is the case, and
   * requests would only wait until their deadline.
   */
  #hasSlots (): boolean {
    const dispatchers = [...this.#dispatchers.all().values()]
    return this.#tableHealth.downSince === undefined || this.#slotManager.hasReachableAllocator ||
      dispatchers.some((dispatcher) => dispatcher.listSlotUsage().some(({ held }) => held > 0))
  }

  #readiness () {
    return describeReadiness({
      hasSlots: this.#hasSlots(),
      stopping: this.#stopping,
      hasConfiguration: this.#context.configuration.current !== undefined,
      accepting: this.#callerServer.accepting,
      tableDown: this.#tableHealth.downSince !== undefined,
      objectsDown: this.#objectsHealth.downSince !== undefined,
      unreachableDomains: this.#slotManager.unreachableDomains()
    })
  }

  #describeEntry () {
    return {
      endpoints: [...this.#dispatchers.all()].map(([endpoint, dispatcher]) => ({
        endpoint,
        waiting: dispatcher.waiting(),
        inFlight: dispatcher.inFlight,
        runners: dispatcher.listSlotUsage()
      })),
      allocator: { epoch: this.allocator.epoch, slots: this.allocator.getUsage() },
      unstoredAnswers: this.atMostOnce.unfinishedWrites
    }
  }
}

/** Derives a seed that differs between entries, but is reproducible in tests with a fixed incarnation. */
function deriveSeed (incarnation: string, endpoint: string): number {
  return createHash('sha256').update(`${incarnation}/${endpoint}`).digest().readInt32LE(0)
}
