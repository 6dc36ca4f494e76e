import type { Machine } from '@gypsumspring/adapters'
import { chooseByRendezvousHash, listShards, type Placer, type Shard } from '@gypsumspring/core'
import type { Configuration, Resources, ShardStatus } from '@gypsumspring/protocol'
import { createComponentLogger, type Logger } from '../logging/index.ts'
import type { ProcessContext } from '../types.ts'
import { CallLimiter } from './_lib/CallLimiter.ts'
import { MAX_STORE_RETRY_DELAY_MS, MAX_CONCURRENT_WORKER_CALLS } from './constants/index.ts'
import { readShardState } from './journal/index.ts'
import { Lease, type Ownership } from '../lease/index.ts'
import { describeShard, explainTask } from './shardOwner/describeShard.ts'
import { ShardOwner, type ShardConfiguration } from './shardOwner/index.ts'
import { throwUncaught, sleep } from '@gypsumspring/protocol'

export interface SupervisorOptions {
  createPlacer: () => Placer
}

/** A shard of the own failure domain; `owner` is set while this process owns it and has read its state. */
interface ManagedShard {
  lease: Lease
  owner: ShardOwner | undefined
  ownership: Ownership | undefined
}

/**
 * Competes for the lease of every shard in the own failure domain and runs a `ShardOwner` for each shard that this
 * process owns.
 */
export class ShardSupervisor {
  readonly #context: ProcessContext
  readonly #options: SupervisorOptions
  readonly #log: Logger
  readonly #managedShards = new Map<string, ManagedShard>()
  readonly #startLimiter = new CallLimiter(MAX_CONCURRENT_WORKER_CALLS)
  readonly #callLimiter = new CallLimiter(MAX_CONCURRENT_WORKER_CALLS)
  /**
   * All failure domains seen so far. A domain that a stale or empty list of VMs lacks is kept, so that its share of the
   * services does not move to other domains.
   */
  readonly #knownDomains: Set<string>
  #sortedDomains: string[]
  #machines: Machine[] = []
  #shards: Shard[] = []
  #inventoryTimer: NodeJS.Timeout | undefined
  #unsubscribe: () => void = () => {}
  #closed = false

  constructor (context: ProcessContext, options: SupervisorOptions) {
    this.#context = context
    this.#options = options
    this.#log = createComponentLogger(context.logger, 'shard')
    this.#sortedDomains = [context.settings.failureDomain]
    this.#knownDomains = new Set(this.#sortedDomains)
  }

  start (): void {
    this.#readInventory().catch(throwUncaught)
    this.#unsubscribe = this.#context.configuration.subscribe((configuration) => this.#configureOwners(configuration))
  }

  /** Stops scheduling and releases the shards, so that another scheduler can take over at once. */
  async stop (): Promise<void> {
    this.#closed = true
    clearTimeout(this.#inventoryTimer)
    this.#unsubscribe()
    await Promise.all([...this.#managedShards.values()].map(async ({ lease }) => await lease.close()))
  }

  describe (): ShardStatus[] {
    return this.#owners.map((owner) => describeShard(owner, this.#context.settings.id))
  }

  explain (task: string): string[] | undefined {
    for (const owner of this.#owners) {
      const lines = explainTask(owner, task)
      if (lines !== undefined) return lines
    }
    return undefined
  }

  get #owners (): ShardOwner[] {
    return [...this.#managedShards.values()].flatMap(({ owner }) => owner ?? [])
  }

  async #readInventory (): Promise<void> {
    const { platform, settings, metrics } = this.#context
    const outcome = await platform.inventory.list()
    if (this.#closed) return
    outcome.caseOf({
      // An empty list is ignored: a platform fault is more likely than the loss of every VM.
      Right: (machines) => { if (machines.length > 0) this.#applyInventory(machines) },
      Left: ({ reason }) => metrics.count('inventory_failed', { reason })
    })
    this.#inventoryTimer = setTimeout(() => { this.#readInventory().catch(throwUncaught) }, settings.inventoryMs)
  }

  #applyInventory (machines: Machine[]): void {
    const { settings, configuration } = this.#context
    this.#machines = machines
    const knownShards = joinShardIds(this.#shards)
    this.#shards = listShards(machines, { workersPerShard: settings.workersPerShard })
    for (const { failureDomain } of this.#shards) this.#knownDomains.add(failureDomain)
    const isChanged = joinShardIds(this.#shards) !== knownShards
    if (isChanged) this.#sortedDomains = [...this.#knownDomains].sort()
    for (const shard of this.#shards) {
      if (shard.failureDomain !== settings.failureDomain) continue
      if (!this.#managedShards.has(shard.id)) this.#startLease(shard.id)
    }
    for (const [id, { owner }] of this.#managedShards) owner?.setWorkers(this.#workersOf(id))
    if (isChanged && configuration.current !== undefined) this.#configureOwners(configuration.current)
  }

  #workersOf (shardId: string): Machine[] {
    const ids = new Set(this.#shards.find(({ id }) => id === shardId)?.workers)
    return this.#machines.filter(({ id, kind }) => kind === 'worker' && ids.has(id))
  }

  #startLease (shard: string): void {
    const { settings, platform, metrics, incarnation } = this.#context
    const lease = new Lease({
      shard,
      owner: settings.id,
      writer: incarnation,
      address: () => this.#context.rpcAddress,
      table: platform.table,
      durations: settings,
      rank: () => this.#rank(),
      onGained: (ownership) => { this.#takeOver(managed, ownership).catch(throwUncaught) },
      onLost: () => this.#closeOwner(managed),
      log: this.#log,
      metrics
    })
    const managed: ManagedShard = { lease, owner: undefined, ownership: undefined }
    this.#managedShards.set(shard, managed)
    lease.start()
  }

  /**
   * Counts the schedulers of the failure domain that take precedence in a takeover: those that own fewer shards, or
   * equally many and have a lower id.
   */
  #rank (): number {
    const { settings, members } = this.#context
    const shards = [...this.#managedShards.values()]
    const count = (id: string) => shards.filter(({ lease }) => lease.currentOwner === id).length
    const own = count(settings.id)
    return members.members().filter(({ id, role, failureDomain, leaving }) => {
      if (role !== 'scheduler' || leaving || failureDomain !== settings.failureDomain || id === settings.id) return false
      return count(id) < own || (count(id) === own && id < settings.id)
    }).length
  }

  async #takeOver (managed: ManagedShard, ownership: Ownership): Promise<void> {
    const { settings, platform, metrics, incarnation, configuration } = this.#context
    managed.ownership = ownership
    const { shard, epoch, ownedSince } = ownership
    for (;;) {
      const read = await readShardState(shard, platform.table, platform.objects)
      if (managed.ownership !== ownership || this.#closed) return
      if (read.isRight()) {
        managed.owner = new ShardOwner({
          ownership,
          process: settings.id,
          writer: `${incarnation}-${epoch}-${Math.round(ownedSince)}`,
          recovered: read.unsafeCoerce(),
          placer: this.#options.createPlacer(),
          table: platform.table,
          objects: platform.objects,
          connector: platform.workers,
          settings,
          right: () => managed.ownership === ownership ? managed.lease.right() : 'none',
          onLost: (reason) => { if (managed.ownership === ownership) managed.lease.markLost(reason) },
          startLimiter: this.#startLimiter,
          callLimiter: this.#callLimiter,
          log: this.#log,
          metrics
        })
        managed.owner.setWorkers(this.#workersOf(shard))
        const { current } = configuration
        if (current !== undefined) managed.owner.configure(this.#createShardConfiguration(shard, current))
        metrics.recordDuration('takeover', performance.now() - ownedSince)
        this.#log.info({ shard, epoch }, 'state read, deciding')
        return
      }
      read.ifLeft(({ reason, message }) => {
        metrics.count('shard_read_failed', { reason })
        const level = reason === 'invalid' ? 'error' : 'warn'
        this.#log[level]({ shard, reason, message }, 'shard state cannot be read, trying again')
      })
      await sleep(MAX_STORE_RETRY_DELAY_MS)
    }
  }

  #closeOwner (managed: ManagedShard): void {
    managed.owner?.close()
    managed.owner = undefined
    managed.ownership = undefined
  }

  #configureOwners (configuration: Configuration): void {
    for (const [shard, { owner }] of this.#managedShards) {
      owner?.configure(this.#createShardConfiguration(shard, configuration))
    }
  }

  #createShardConfiguration (shard: string, configuration: Configuration): ShardConfiguration {
    const manifests = Object.values(configuration.manifests)
    const teams = manifests.flatMap((manifest) => manifest.teams)
    const quotas = new Map<string, Resources>(teams.map(({ id, quota }) => [id, quota]))
    return {
      version: configuration.index.version,
      manifests,
      cancelled: groupByScope(configuration.index.operations.cancelledWorkloads),
      failureDomains: this.#sortedDomains,
      isHome: (group) => chooseByRendezvousHash(group.id, this.#allowedShards(group)) === shard,
      quotas,
      packingWeight: manifests.find(({ packingWeight }) => packingWeight !== undefined)?.packingWeight ?? 0.5
    }
  }

  #allowedShards ({ failureDomains }: Parameters<ShardConfiguration['isHome']>[0]): string[] {
    const allowed = this.#shards.filter(({ failureDomain }) => failureDomains?.includes(failureDomain) ?? true)
    return allowed.map(({ id }) => id)
  }
}

function joinShardIds (shards: Shard[]): string {
  return shards.map(({ id }) => id).join()
}

function groupByScope (cancelled: Array<{ scope: string, workload: string }>): Map<string, Set<string>> {
  const byScope = new Map<string, Set<string>>()
  for (const { scope, workload } of cancelled) {
    const known = byScope.get(scope)
    if (known === undefined) byScope.set(scope, new Set([workload]))
    else known.add(workload)
  }
  return byScope
}
