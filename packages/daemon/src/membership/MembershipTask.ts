import { throwUncaught } from '@gypsumspring/protocol'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Inventory, Machine } from '@gypsumspring/adapters'
import type { Member, RpcParams, RpcResult } from '@gypsumspring/protocol'
import type { Logger } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Membership, Peers } from '../types.ts'
import { MemberTable } from './MemberTable.ts'
import { pickRandom } from './_lib/pickRandom.ts'

/** Peers asked in each round; two spread a version over 1,000 processes in about four rounds. */
const PEERS_PER_ROUND = 2

/** Members passed on in one exchange; bounds the message whatever the size of the cell. */
const MEMBERS_PER_EXCHANGE = 16

interface MembershipOptions {
  id: string
  /** How this process describes itself, as of now. */
  self: () => Member
  inventory: Inventory
  peers: Peers
  metrics: Metrics
  log: Logger
  peerPorts: string
  exchangeMs: number
  inventoryMs: number
  memberTimeoutMs: number
  /** Called with each peer's configuration version, so that a newer one is fetched. */
  onVersion: (version: number, address: string) => void
}

/** Finds the other processes of the cell and exchanges configuration versions with random ones of them. */
export class MembershipTask implements Membership {
  readonly #options: MembershipOptions
  readonly #table: MemberTable
  readonly #generator
  #machines: Machine[] = []
  #timers: Array<ReturnType<typeof setTimeout>> = []
  #stopped = false

  constructor (options: MembershipOptions) {
    this.#options = options
    this.#table = new MemberTable(options.id, options.memberTimeoutMs)
    // Peers only have to differ between processes, so the seed is the process id.
    this.#generator = xoroshiro128plus(hashSeed(options.id))
  }

  members (): Member[] {
    return this.#table.live(performance.now()).map((member) => this.#markLeaving(member))
  }

  find (id: string): Member | undefined {
    return this.#table.find(id)
  }

  /** Reads the list of VMs once and asks every address; resolves when all have answered or failed. */
  async discover (): Promise<void> {
    await this.#readInventory()
    await Promise.all(this.#addresses().map((address) => this.#exchange(address)))
  }

  start (): void {
    this.#repeat(this.#options.inventoryMs, () => this.#readInventory())
    this.#repeat(this.#options.exchangeMs, () => this.exchangeRound())
  }

  stop (): void {
    this.#stopped = true
    for (const timer of this.#timers) clearTimeout(timer)
  }

  /** Exchanges with a few random peers. */
  async exchangeRound (): Promise<void> {
    const addresses = pickRandom(this.#addresses(), PEERS_PER_ROUND, this.#generator)
    await Promise.all(addresses.map((address) => this.#exchange(address)))
  }

  /** Announces a change of this process, such as leaving, to all members. */
  async announce (): Promise<void> {
    await Promise.all(this.members().map(({ address }) => this.#exchange(address)))
  }

  /** Serves `peer.exchange`. */
  receive (params: RpcParams<'peer.exchange'>): RpcResult<'peer.exchange'> {
    this.#table.merge(params.members, performance.now())
    return { configVersion: this.#options.self().configVersion, members: this.#sample() }
  }

  async #exchange (address: string): Promise<void> {
    const { peers, metrics, onVersion, exchangeMs } = this.#options
    const outcome = await peers.call(address, 'peer.exchange', { members: this.#sample() }, { timeoutMs: exchangeMs })
    outcome.caseOf({
      Left: ({ reason }) => metrics.count('peer_exchange_failures', { reason }),
      Right: ({ configVersion, members }) => {
        this.#table.merge(members, performance.now())
        onVersion(configVersion, address)
      }
    })
  }

  async #readInventory (): Promise<void> {
    const { inventory, log } = this.#options
    const outcome = await inventory.list()
    outcome.caseOf({
      // The last list stays in use: peers are also found through each other.
      Left: ({ reason }) => log.warn({ reason }, 'list of VMs not read'),
      Right: (machines) => { this.#machines = machines }
    })
  }

  #sample (): Member[] {
    return [this.#options.self(), ...pickRandom(this.members(), MEMBERS_PER_EXCHANGE, this.#generator)]
  }

  #addresses (): string[] {
    const own = this.#options.self().address
    const ports = this.#options.peerPorts.split(',')
    const listed = this.#machines.filter(({ kind }) => kind === 'entry')
      .flatMap(({ address }) => ports.map((port) => `${hostOf(address)}:${port}`))
    const known = this.members().map(({ address }) => address)
    return [...new Set([...listed, ...known])].filter((address) => address !== own)
  }

  /** A process on a VM that the platform lists as leaving is leaving, whatever it says itself. */
  #markLeaving (member: Member): Member {
    const host = hostOf(member.address)
    const isListed = this.#machines.some((machine) =>
      machine.kind === 'entry' && machine.state === 'leaving' && hostOf(machine.address) === host)
    return isListed ? { ...member, leaving: true } : member
  }

  #repeat (intervalMs: number, action: () => Promise<void>): void {
    const index = this.#timers.length
    const next = () => {
      this.#timers[index] = setTimeout(() => {
        action().then(() => { if (!this.#stopped) next() }, throwUncaught)
      }, intervalMs)
    }
    next()
  }
}

function hostOf (address: string): string {
  const separator = address.lastIndexOf(':')
  return separator < 0 ? address : address.slice(0, separator)
}

function hashSeed (text: string): number {
  let seed = 0
  for (const character of text) seed = (seed * 31 + character.charCodeAt(0)) | 0
  return seed
}
