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

/** Maximum number of workers whose label is read. A sample suffices, since a shard owner labels all of its workers. */
const MAX_INSPECTED_WORKERS = 64

type Message =
  /** Read the configuration row of the table. */
  | { kind: 'poll' }
  /** A peer reported a newer version. */
  | { kind: 'peerVersion', version: number, address: string }

interface UpdaterOptions {
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
 * Learns of newer configuration versions from the table and from peers, and puts them in force. After a start, no
 * configuration is in force until the table has been read, or a peer has supplied a version that is at least as new as
 * those of all known members and all worker labels that can be read.
 */
export class ConfigurationUpdater {
  readonly #options: UpdaterOptions
  readonly #mailbox = new Mailbox<Message>((message) => this.#handle(message))
  #timer: ReturnType<typeof setTimeout> | undefined
  #isPollQueued = false

  constructor (options: UpdaterOptions) {
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

  /** Queues a fetch from a peer if the version in force there is newer, or if no configuration is in force here. */
  handlePeerVersion (version: number, address: string): void {
    const { store } = this.#options
    if (version > store.version || store.current === undefined) this.#post({ kind: 'peerVersion', version, address })
  }

  /** Reads the table immediately, for instance after this process has written a configuration change. */
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
    return { manifest: this.#findCachedManifest(hash) ?? null }
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
      if (this.#shouldPoll()) this.#post({ kind: 'poll' })
      this.#schedulePoll()
    }, this.#options.configPollMs)
  }

  /**
   * Returns whether this process reads the table. Only two processes per failure domain do, so that the load on the
   * table does not grow with the number of processes; a process without a configuration always does.
   */
  #shouldPoll (): boolean {
    const { id, failureDomain, members, store } = this.#options
    return store.current === undefined || isPoller(id, failureDomain, members.members())
  }

  async #handle (message: Message): Promise<void> {
    if (message.kind === 'peerVersion') return await this.#fetchFromPeer(message.version, message.address)
    this.#isPollQueued = false
    await this.#readTable()
  }

  async #readTable (): Promise<void> {
    const { platform, log, metrics, store } = this.#options
    const outcome = await platform.table.read(CONFIGURATION_KEY)
    await outcome.caseOf({
      Left: async ({ reason }) => {
        metrics.count('config_read_failures', { reason })
        log.warn({ reason }, 'reading the configuration row failed')
      },
      Right: async (row) => {
        const value = row?.value ?? EMPTY_CONFIGURATION_INDEX
        if (!Value.Check(ConfigurationIndex, value)) {
          metrics.count('config_read_failures', { reason: 'invalid' })
          log.error({ version: row?.version }, 'configuration row violates its schema')
        } else if (value.version > store.version || store.current === undefined) {
          await this.#activate(value, undefined)
        }
      }
    })
  }

  async #fetchFromPeer (version: number, address: string): Promise<void> {
    const { peers, store, log, metrics } = this.#options
    if (version <= store.version && store.current !== undefined) return
    if (store.current === undefined && version < await this.#minSafeVersion()) {
      log.warn({ version, address }, 'peer is older than another member or a worker label; waiting for a newer one')
      return
    }
    const outcome = await peers.call(address, 'config.fetch', { atLeast: version })
    await outcome.caseOf({
      Left: async ({ reason }) => { metrics.count('config_fetch_failures', { reason }) },
      Right: async ({ index }) => { if (index !== null) await this.#activate(index, address) }
    })
  }

  /**
   * Puts an index in force once all of its manifests are available. Takes each manifest from the current configuration,
   * else from the peer if there is one, else from the object store.
   */
  async #activate (index: ConfigurationIndex, address: string | undefined): Promise<void> {
    const { store, log, metrics } = this.#options
    const manifests: Configuration['manifests'] = {}
    for (const [scope, { hash }] of Object.entries(index.scopes)) {
      const manifest = this.#findCachedManifest(hash) ?? await this.#fetchManifest(hash, address)
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
      const response = await peers.call(address, 'config.manifest', { hash })
      const manifest = response.map((result) => result.manifest).orDefault(null)
      if (manifest !== null) return manifest
    }
    const stored = await getManifest(platform.objects, hash)
    return stored.toMaybe().extract()
  }

  #findCachedManifest (hash: string): Manifest | undefined {
    const { current } = this.#options.store
    const scope = Object.entries(current?.index.scopes ?? {}).find(([, entry]) => entry.hash === hash)?.[0]
    return scope === undefined ? undefined : current?.manifests[scope]
  }

  /**
   * Lowest version that may be the first in force in this process: the highest known to any reachable member or worker.
   * An earlier incarnation of this process may have served that version, and versions must never decrease.
   */
  async #minSafeVersion (): Promise<number> {
    const versions = this.#options.members.members().map(({ configVersion }) => configVersion)
    return Math.max(await this.#maxWorkerLabel(), ...versions)
  }

  /** Highest version in the labels that schedulers set on the workers of this domain; 0 if none can be read. */
  async #maxWorkerLabel (): Promise<number> {
    const { platform, failureDomain } = this.#options
    const machines = (await platform.inventory.list()).orDefault([])
    const workers = machines.filter((machine) => machine.kind === 'worker' && machine.failureDomain === failureDomain)
    const inspections = await Promise.all(workers.slice(0, MAX_INSPECTED_WORKERS)
      .map((worker) => platform.workers.connect(worker).inspect(failureDomain)))
    return Math.max(0, ...inspections.map((outcome) => Number(outcome.map(({ label }) => label).orDefault('0')) || 0))
  }
}
