import type { Machine } from '@gypsumspring/adapters'
import { chooseByRendezvousHash, listShards, type Placer, type Shard } from '@gypsumspring/core'
import type { Configuration, Resources, ShardStatus } from '@gypsumspring/protocol'
import { createPartLogger, type Logger } from '../logging/index.ts'
import type { ProcessContext } from '../types.ts'
import { CallLimiter } from './_lib/CallLimiter.ts'
import { LONGEST_STORE_RETRY_MS, WORKER_CALLS_AT_ONCE } from './constants/index.ts'
import { readShardState } from './journal/index.ts'
import { Lease, type Ownership } from '../lease/index.ts'
import { describeShard, explainTask } from './shardOwner/describeShard.ts'
import { ShardOwner, type ShardConfiguration } from './shardOwner/index.ts'
import { throwUncaught, sleep } from '@gypsumspring/protocol'

export interface SupervisorOptions {
  createPlacer: () => Placer
}

interface Slot {
  lease: Lease
  owner: ShardOwner | undefined
  ownership: Ownership | undefined
}

/** Runs one lease for each shard of the own failure domain, and an owner for each shard that this process holds. */
export class ShardSupervisor {
  readonly #context: ProcessContext
  readonly #options: SupervisorOptions
  readonly #log: Logger
  readonly #slots = new Map<string, Slot>()
  readonly #startLimiter = new CallLimiter(WORKER_CALLS_AT_ONCE)
  readonly #callLimiter = new CallLimiter(WORKER_CALLS_AT_ONCE)
  /** Domains stay known when a lagging or empty list does not show them: their share of services must not move. */
  readonly #domains: Set<string>
  #sortedDomains: string[]
  #machines: Machine[] = []
  #shards: Shard[] = []
  #inventoryTimer: NodeJS.Timeout | undefined
  #unsubscribe: () => void = () => {}
  #closed = false

  constructor (context: ProcessContext, options: SupervisorOptions) {
    this.#context = context
    this.#options = options
    this.#log = createPartLogger(context.logger, 'shard')
    this.#sortedDomains = [context.settings.failureDomain]
    this.#domains = new Set(this.#sortedDomains)
  }

  start (): void {
    this.#readInventory().catch(throwUncaught)
    this.#unsubscribe = this.#context.configuration.subscribe((configuration) => this.#configure(configuration))
  }

  /** Stops deciding and releases the shards, so that another scheduler can take over at once. */
  async stop (): Promise<void> {
    this.#closed = true
    clearTimeout(this.#inventoryTimer)
    this.#unsubscribe()
    await Promise.all([...this.#slots.values()].map(async ({ lease }) => await lease.close()))
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
    return [...this.#slots.values()].flatMap(({ owner }) => owner ?? [])
  }

  async #readInventory (): Promise<void> {
    const { platform, settings, metrics } = this.#context
    const outcome = await platform.inventory.list()
    if (this.#closed) return
    outcome.caseOf({
      // An empty list is a fault of the platform rather than the loss of every VM.
      Right: (machines) => { if (machines.length > 0) this.#follow(machines) },
      Left: ({ reason }) => metrics.count('inventory_failed', { reason })
    })
    this.#inventoryTimer = setTimeout(() => { this.#readInventory().catch(throwUncaught) }, settings.inventoryMs)
  }

  #follow (machines: Machine[]): void {
    const { settings, configuration } = this.#context
    this.#machines = machines
    const knownShards = shardIds(this.#shards)
    this.#shards = listShards(machines, { workersPerShard: settings.workersPerShard })
    for (const { failureDomain } of this.#shards) this.#domains.add(failureDomain)
    const isChanged = shardIds(this.#shards) !== knownShards
    if (isChanged) this.#sortedDomains = [...this.#domains].sort()
    for (const shard of this.#shards) {
      if (shard.failureDomain === settings.failureDomain && !this.#slots.has(shard.id)) this.#compete(shard.id)
    }
    for (const [id, { owner }] of this.#slots) owner?.setWorkers(this.#workersOf(id))
    if (isChanged && configuration.current !== undefined) this.#configure(configuration.current)
  }

  #workersOf (shardId: string): Machine[] {
    const ids = new Set(this.#shards.find(({ id }) => id === shardId)?.workers)
    return this.#machines.filter(({ id, kind }) => kind === 'worker' && ids.has(id))
  }

  #compete (shard: string): void {
    const { settings, platform, metrics, incarnation } = this.#context
    const lease = new Lease({
      shard,
      owner: settings.id,
      writer: incarnation,
      address: () => this.#context.rpcAddress,
      table: platform.table,
      terms: settings,
      rank: () => this.#rank(),
      onGained: (ownership) => { this.#takeOver(slot, ownership).catch(throwUncaught) },
      onLost: () => this.#discard(slot),
      log: this.#log,
      metrics
    })
    const slot: Slot = { lease, owner: undefined, ownership: undefined }
    this.#slots.set(shard, slot)
    lease.start()
  }

  /** Number of schedulers of the domain that go first: those with fewer shards, or as many and a lower id. */
  #rank (): number {
    const { settings, members } = this.#context
    const count = (id: string) => [...this.#slots.values()].filter(({ lease }) => lease.currentOwner === id).length
    const own = count(settings.id)
    return members.members().filter(({ id, role, failureDomain, leaving }) => {
      if (role !== 'scheduler' || leaving || failureDomain !== settings.failureDomain || id === settings.id) return false
      return count(id) < own || (count(id) === own && id < settings.id)
    }).length
  }

  async #takeOver (slot: Slot, ownership: Ownership): Promise<void> {
    const { settings, platform, metrics, incarnation, configuration } = this.#context
    slot.ownership = ownership
    const { shard, epoch, ownedSince } = ownership
    for (;;) {
      const read = await readShardState(shard, platform.table, platform.objects)
      if (slot.ownership !== ownership || this.#closed) return
      if (read.isRight()) {
        slot.owner = new ShardOwner({
          ownership,
          process: settings.id,
          writer: `${incarnation}-${epoch}-${Math.round(ownedSince)}`,
          record: read.unsafeCoerce(),
          placer: this.#options.createPlacer(),
          table: platform.table,
          objects: platform.objects,
          connector: platform.workers,
          settings,
          right: () => slot.ownership === ownership ? slot.lease.right() : 'none',
          onLost: (reason) => { if (slot.ownership === ownership) slot.lease.lose(reason) },
          startLimiter: this.#startLimiter,
          callLimiter: this.#callLimiter,
          log: this.#log,
          metrics
        })
        slot.owner.setWorkers(this.#workersOf(shard))
        if (configuration.current !== undefined) slot.owner.configure(this.#view(shard, configuration.current))
        metrics.recordDuration('takeover', performance.now() - ownedSince)
        this.#log.info({ shard, epoch }, 'state read, deciding')
        return
      }
      read.ifLeft(({ reason, message }) => {
        metrics.count('shard_read_failed', { reason })
        const level = reason === 'invalid' ? 'error' : 'warn'
        this.#log[level]({ shard, reason, message }, 'state can not be read')
      })
      await sleep(LONGEST_STORE_RETRY_MS)
    }
  }

  #discard (slot: Slot): void {
    slot.owner?.close()
    slot.owner = undefined
    slot.ownership = undefined
  }

  #configure (configuration: Configuration): void {
    for (const [shard, { owner }] of this.#slots) owner?.configure(this.#view(shard, configuration))
  }

  #view (shard: string, configuration: Configuration): ShardConfiguration {
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

function shardIds (shards: Shard[]): string {
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
