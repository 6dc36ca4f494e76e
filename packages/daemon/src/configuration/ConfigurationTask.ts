import type { Platform } from '@gypsumspring/adapters'
import {
  CONFIGURATION_KEY, ConfigurationIndex, EMPTY_CONFIGURATION_INDEX, type Configuration, type Manifest, type RpcParams,
  type RpcResult
} from '@gypsumspring/protocol'
import { Value } from '@sinclair/typebox/value'
import type { Logger } from '../logging/index.ts'
import { Mailbox } from '../mailbox/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Membership, Peers } from '../types.ts'
import type { ConfigurationStore } from './ConfigurationStore.ts'
import { getManifest } from './_lib/manifestObjects.ts'
import { isPoller } from './_lib/isPoller.ts'

/** Workers asked for their label; an owner leaves the label with all of its workers. */
const MAX_INSPECTED_WORKERS = 64

type Message =
  /** Read the row in the table. */
  | { kind: 'poll' }
  /** A peer has a newer version. */
  | { kind: 'heard', version: number, address: string }

interface TaskOptions {
  id: string
  failureDomain: string
  platform: Platform
  members: Membership
  peers: Peers
  store: ConfigurationStore
  metrics: Metrics
  log: Logger
  configPollMs: number
}

/**
 * Learns newer configuration versions from the table and from peers and puts them in force. Nothing is in force before
 * the table has answered, or a peer that is at least as new as every worker label that can be read.
 */
export class ConfigurationTask {
  readonly #options: TaskOptions
  readonly #mailbox = new Mailbox<Message>((message) => this.#handle(message))
  #timer: ReturnType<typeof setTimeout> | undefined
  #isPollQueued = false

  constructor (options: TaskOptions) {
    this.#options = options
  }

  start (): void {
    this.#post({ kind: 'poll' })
    this.#schedulePoll()
  }

  stop (): void {
    clearTimeout(this.#timer)
    this.#mailbox.close()
  }

  /** Takes note of a version that a peer says is in force there. */
  hear (version: number, address: string): void {
    const { store } = this.#options
    if (version > store.version || store.current === undefined) this.#post({ kind: 'heard', version, address })
  }

  /** Reads the table at once, for instance after an apply through this process. */
  pollNow (): void {
    this.#post({ kind: 'poll' })
  }

  /** Serves `config.fetch`. */
  receiveFetch ({ atLeast }: RpcParams<'config.fetch'>): RpcResult<'config.fetch'> {
    const { store } = this.#options
    return { index: store.current !== undefined && store.version >= atLeast ? store.current.index : null }
  }

  /** Serves `config.manifest`. */
  receiveManifest ({ hash }: RpcParams<'config.manifest'>): RpcResult<'config.manifest'> {
    return { manifest: this.#findKnown(hash) ?? null }
  }

  #post (message: Message): void {
    if (message.kind === 'poll') {
      if (this.#isPollQueued) return
      this.#isPollQueued = true
    }
    this.#mailbox.post(message)
  }

  #schedulePoll (): void {
    this.#timer = setTimeout(() => {
      if (this.#readsTable()) this.#post({ kind: 'poll' })
      this.#schedulePoll()
    }, this.#options.configPollMs)
  }

  /** Two readers a domain keep the table's reads independent of the number of processes. */
  #readsTable (): boolean {
    const { id, failureDomain, members, store } = this.#options
    return store.current === undefined || isPoller(id, failureDomain, members.members())
  }

  async #handle (message: Message): Promise<void> {
    if (message.kind === 'heard') return await this.#fetchFromPeer(message.version, message.address)
    this.#isPollQueued = false
    await this.#readTable()
  }

  async #readTable (): Promise<void> {
    const { platform, log, metrics, store } = this.#options
    const outcome = await platform.table.read(CONFIGURATION_KEY)
    await outcome.caseOf({
      Left: async ({ reason }) => {
        metrics.count('config_read_failures', { reason })
        log.warn({ reason }, 'configuration row not read')
      },
      Right: async (row) => {
        const value = row?.value ?? EMPTY_CONFIGURATION_INDEX
        if (!Value.Check(ConfigurationIndex, value)) {
          metrics.count('config_read_failures', { reason: 'invalid' })
          log.error({ version: row?.version }, 'configuration row violates its schema')
        } else if (value.version > store.version || store.current === undefined) {
          await this.#putInForce(value, undefined)
        }
      }
    })
  }

  async #fetchFromPeer (version: number, address: string): Promise<void> {
    const { peers, store, log, metrics } = this.#options
    if (version <= store.version && store.current !== undefined) return
    if (store.current === undefined && version < await this.#lowestSafeVersion()) {
      log.warn({ version, address }, 'peer is not the newest source; waiting for a newer one')
      return
    }
    const outcome = await peers.call(address, 'config.fetch', { atLeast: version })
    await outcome.caseOf({
      Left: async ({ reason }) => { metrics.count('config_fetch_failures', { reason }) },
      Right: async ({ index }) => { if (index !== null) await this.#putInForce(index, address) }
    })
  }

  /** Collects the manifests of an index: known ones, then the object store, then the peer. */
  async #putInForce (index: ConfigurationIndex, address: string | undefined): Promise<void> {
    const { store, log, metrics } = this.#options
    const manifests: Configuration['manifests'] = {}
    for (const [scope, { hash }] of Object.entries(index.scopes)) {
      const manifest = this.#findKnown(hash) ?? await this.#fetchManifest(hash, address)
      if (manifest === undefined) {
        metrics.count('config_fetch_failures', { reason: 'not-found' })
        log.warn({ scope, version: index.version }, 'manifest not available yet')
        return
      }
      manifests[scope] = manifest
    }
    if (store.replace({ index, manifests })) {
      metrics.set('config_version', index.version)
      log.info({ version: index.version }, 'configuration in force')
    }
  }

  async #fetchManifest (hash: string, address: string | undefined): Promise<Manifest | undefined> {
    const { platform, peers } = this.#options
    if (address !== undefined) {
      const answer = await peers.call(address, 'config.manifest', { hash })
      const manifest = answer.map((result) => result.manifest).orDefault(null)
      if (manifest !== null) return manifest
    }
    const stored = await getManifest(platform.objects, hash)
    return stored.toMaybe().extract()
  }

  #findKnown (hash: string): Manifest | undefined {
    const { current } = this.#options.store
    const scope = Object.entries(current?.index.scopes ?? {}).find(([, entry]) => entry.hash === hash)?.[0]
    return scope === undefined ? undefined : current?.manifests[scope]
  }

  /**
   * Version below which this process must not start, since an earlier incarnation of it may have served it: the highest
   * known to any member or worker that can be reached.
   */
  async #lowestSafeVersion (): Promise<number> {
    const versions = this.#options.members.members().map(({ configVersion }) => configVersion)
    return Math.max(await this.#highestWorkerLabel(), ...versions)
  }

  /** Highest configuration version that schedulers left with the workers of this domain; 0 when none can be read. */
  async #highestWorkerLabel (): Promise<number> {
    const { platform, failureDomain } = this.#options
    const machines = (await platform.inventory.list()).orDefault([])
    const workers = machines.filter((machine) => machine.kind === 'worker' && machine.failureDomain === failureDomain)
    const inspections = await Promise.all(workers.slice(0, MAX_INSPECTED_WORKERS)
      .map((worker) => platform.workers.connect(worker).inspect(failureDomain)))
    return Math.max(0, ...inspections.map((outcome) => Number(outcome.map(({ label }) => label).orDefault('0')) || 0))
  }
}
