import type { CellParams } from './messages.ts'
import type { Peer } from './FailoverStore.ts'

/** A follower without a heartbeat for this time, in ms, is no longer used for advice or as a relay. */
const FOLLOWER_TIMEOUT_MS = 1_500

/**
 * Most followers that relay store calls. The list is part of each answer to a heartbeat: with all followers an owner
 * would sort and send the square of their number.
 */
export const MAX_RELAYS = 16

/** Age after which the list of relays is made again, in ms; a quarter of a second is the interval of heartbeats. */
const RELAYS_VALID_MS = 250

/** A node that follows the owner, with the state from its last heartbeat. */
export interface Follower extends Pick<CellParams<'cell.follow'>, 'weakness' | 'uptimeMs' | 'hasStore' | 'resigned'> {
  node: string
  peer: Peer
  /** Monotonic time of its last heartbeat, in ms. */
  lastHeartbeatAt: number
}

/** The owner's list of the nodes that follow it. */
export class Followers {
  readonly #byNode = new Map<string, Follower>()
  #relays: { followers: Follower[], madeAt: number } | undefined

  get size (): number {
    return this.#byNode.size
  }

  /** Records a heartbeat. Returns whether the follower is new or has a new address. */
  recordHeartbeat (heartbeat: CellParams<'cell.follow'>, peer: Peer): boolean {
    const { node, weakness, uptimeMs, hasStore, resigned } = heartbeat
    const previous = this.#byNode.get(node)
    this.#byNode.set(node, { node, peer, weakness, uptimeMs, hasStore, resigned, lastHeartbeatAt: performance.now() })
    return previous?.peer !== peer
  }

  /** Removes the followers whose heartbeats have stopped and returns their names. */
  removeSilent (): string[] {
    const silent = [...this.#byNode.values()].filter(({ lastHeartbeatAt }) =>
      performance.now() - lastHeartbeatAt >= FOLLOWER_TIMEOUT_MS)
    for (const { node } of silent) this.#byNode.delete(node)
    return silent.map(({ node }) => node)
  }

  clear (): void {
    this.#byNode.clear()
    this.#relays = undefined
  }

  list (): Follower[] {
    return [...this.#byNode.values()]
  }

  /** Lists followers that can relay store calls, those on the strongest machines first. */
  listRelays (): readonly Follower[] {
    const now = performance.now()
    if (this.#relays === undefined || now - this.#relays.madeAt >= RELAYS_VALID_MS) {
      this.#relays = { followers: this.listWithStoreAccess().slice(0, MAX_RELAYS), madeAt: now }
    }
    return this.#relays.followers
  }

  /** Lists the followers that reach the store over their own connection, those on the strongest machines first. */
  listWithStoreAccess (): Follower[] {
    return this.list().filter(({ hasStore }) => hasStore).sort((a, b) => a.weakness - b.weakness)
  }

  /**
   * Chooses the next owner: the follower on the strongest machine or, among equals, the one started last. In a rolling
   * restart, that one will not be restarted again soon.
   */
  chooseSuccessor (): Follower | undefined {
    const candidates = this.listWithStoreAccess().filter(({ resigned }) => !resigned)
    return candidates.sort((a, b) => a.weakness - b.weakness || a.uptimeMs - b.uptimeMs)[0]
  }
}
