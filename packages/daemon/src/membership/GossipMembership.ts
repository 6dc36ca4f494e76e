import { throwUncaught } from '@gypsumspring/protocol'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Inventory, Machine } from '@gypsumspring/adapters'
import type { Member, RpcParams, RpcResult } from '@gypsumspring/protocol'
import type { Logger } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Membership, Peers } from '../types.ts'
import { MemberTable } from './MemberTable.ts'
import { pickRandom } from './_lib/pickRandom.ts'

/** Peers contacted in each round. With two, a version reaches 1,000 processes in about four rounds. */
const PEERS_PER_ROUND = 2

/** Members sent in one exchange; bounds the message size regardless of the size of the cell. */
const MEMBERS_PER_EXCHANGE = 16

interface GossipOptions {
  id: string
  /** Returns the current description of this process. */
  self: () => Member
  inventory: Inventory
  peers: Peers
  metrics: Metrics
  log: Logger
  peerPorts: string
  exchangeMs: number
  inventoryMs: number
  memberTimeoutMs: number
  /** Called with each peer's configuration version, so that a newer one can be fetched. */
  onPeerVersion: (version: number, address: string) => void
}

/** Discovers the other processes of the cell and gossips about members and configuration versions with random peers. */
export class GossipMembership implements Membership {
  readonly #options: GossipOptions
  readonly #table: MemberTable
  readonly #generator
  /** Peer addresses on the entry VMs of the last inventory. */
  #listedAddresses: string[] = []
  /** Hosts of the entry VMs that are leaving by the last inventory. */
  #leavingHosts: ReadonlySet<string> = new Set()
  #timers: Array<ReturnType<typeof setTimeout>> = []
  #stopped = false

  constructor (options: GossipOptions) {
    this.#options = options
    this.#table = new MemberTable(options.id, options.memberTimeoutMs)
    // The choice of peers only has to differ between processes, so the process id is a sufficient seed.
    this.#generator = xoroshiro128plus(hashSeed(options.id))
  }

  members (): Member[] {
    return this.#table.listLive(performance.now()).map((member) => this.#markLeaving(member))
  }

  find (id: string): Member | undefined {
    return this.#table.find(id)
  }

  /** Reads the inventory and contacts every peer address; resolves when all have responded or failed. */
  async discover (): Promise<void> {
    await this.#readInventory()
    await Promise.all(this.#listPeerAddresses().map((address) => this.#exchange(address)))
  }

  start (): void {
    this.#scheduleEvery(this.#options.inventoryMs, () => this.#readInventory())
    this.#scheduleEvery(this.#options.exchangeMs, () => this.exchangeRound())
  }

  stop (): void {
    this.#stopped = true
    for (const timer of this.#timers) clearTimeout(timer)
  }

  /** Runs one gossip round with a few random peers. */
  async exchangeRound (): Promise<void> {
    const addresses = pickRandom(this.#listPeerAddresses(), PEERS_PER_ROUND, this.#generator)
    await Promise.all(addresses.map((address) => this.#exchange(address)))
  }

  /** Announces a change of this process, such as leaving, to all members. */
  async announce (): Promise<void> {
    await Promise.all(this.members().map(({ address }) => this.#exchange(address)))
  }

  /** Serves `peer.exchange`. */
  receiveExchange (params: RpcParams<'peer.exchange'>): RpcResult<'peer.exchange'> {
    this.#table.merge(params.members, performance.now())
    return { configVersion: this.#options.self().configVersion, members: this.#sampleMembers() }
  }

  async #exchange (address: string): Promise<void> {
    const { peers, metrics, onPeerVersion, exchangeMs } = this.#options
    const outcome = await peers.call(address, 'peer.exchange', { members: this.#sampleMembers() }, { timeoutMs: exchangeMs })
    outcome.caseOf({
      Left: ({ reason }) => metrics.count('peer_exchange_failures', { reason }),
      Right: ({ configVersion, members }) => {
        this.#table.merge(members, performance.now())
        onPeerVersion(configVersion, address)
      }
    })
  }

  async #readInventory (): Promise<void> {
    const { inventory, log } = this.#options
    const outcome = await inventory.list()
    outcome.caseOf({
      // Keeps the previous inventory; peers are also discovered through gossip.
      Left: ({ reason }) => log.warn({ reason }, 'reading the inventory failed'),
      Right: (machines) => this.#applyInventory(machines)
    })
  }

  /** Extracts what is needed once per reading: members are listed far more often, and most machines are workers. */
  #applyInventory (machines: Machine[]): void {
    const ports = this.#options.peerPorts.split(',')
    const entryVms = machines.filter(({ kind }) => kind === 'entry')
    this.#listedAddresses = entryVms.flatMap(({ address }) => ports.map((port) => `${getHost(address)}:${port}`))
    this.#leavingHosts = new Set(entryVms.filter(({ state }) => state === 'leaving').map(({ address }) => getHost(address)))
  }

  #sampleMembers (): Member[] {
    return [this.#options.self(), ...pickRandom(this.members(), MEMBERS_PER_EXCHANGE, this.#generator)]
  }

  #listPeerAddresses (): string[] {
    const own = this.#options.self().address
    const known = this.members().map(({ address }) => address)
    return [...new Set([...this.#listedAddresses, ...known])].filter((address) => address !== own)
  }

  /** Marks a member as leaving if the platform lists its VM as leaving, even if the process has not announced it. */
  #markLeaving (member: Member): Member {
    return this.#leavingHosts.has(getHost(member.address)) ? { ...member, leaving: true } : member
  }

  /** Repeats an action; the interval runs from the end of one call to the start of the next. */
  #scheduleEvery (intervalMs: number, action: () => Promise<void>): void {
    const index = this.#timers.length
    const next = () => {
      this.#timers[index] = setTimeout(() => {
        action().then(() => { if (!this.#stopped) next() }, throwUncaught)
      }, intervalMs)
    }
    next()
  }
}

function getHost (address: string): string {
  const separator = address.lastIndexOf(':')
  return separator < 0 ? address : address.slice(0, separator)
}

function hashSeed (text: string): number {
  let seed = 0
  for (const character of text) seed = (seed * 31 + character.charCodeAt(0)) | 0
  return seed
}
