import { LATE_WRITE_MS } from '../constants/index.ts'
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

/** Age of the last heartbeat from which a follower may have sent writes that it could not tell the owner of, in ms. */
const LATE_HEARTBEAT_MS = 600

/** Time for which a node that follows no longer may send writes that the owner is not told of, in ms. */
const LOST_FOLLOWER_MS = 60_000

/** A node that follows the owner, with the state from its last heartbeat. */
export interface Follower extends Pick<CellParams<'cell.follow'>, 'weakness' | 'uptimeMs' | 'hasStore' | 'resigned'> {
  node: string
  peer: Peer
  /** Monotonic time of its last heartbeat, in ms. */
  lastHeartbeatAt: number
  /** Monotonic time until which the store may carry out writes of jobs that it has sent, in ms. */
  unsettledUntil: number
}

/** The owner's list of the nodes that follow it. */
export class Followers {
  readonly #byNode = new Map<string, Follower>()
  /** Monotonic time of the last heartbeat of nodes that may have sent writes of jobs since, in ms. */
  readonly #lostAt = new Map<string, number>()
  #relays: { followers: Follower[], madeAt: number } | undefined

  get size (): number {
    return this.#byNode.size
  }

  /** Records a heartbeat. Returns whether the follower is new or has a new address. */
  recordHeartbeat (heartbeat: CellParams<'cell.follow'>, peer: Peer): boolean {
    const { node, weakness, uptimeMs, hasStore, resigned, unsettledMs } = heartbeat
    const previous = this.#byNode.get(node)
    const now = performance.now()
    // A process that has started again does not know what the one before has sent.
    const isRestarted = previous !== undefined && uptimeMs < previous.uptimeMs
    const lostAt = this.#lostAt.get(node) ?? (isRestarted ? previous.lastHeartbeatAt : -Infinity)
    const unsettledUntil = Math.max(now + unsettledMs, lostAt + LATE_WRITE_MS)
    this.#lostAt.delete(node)
    this.#byNode.set(node, {
      node, peer, weakness, uptimeMs, hasStore, resigned, lastHeartbeatAt: now, unsettledUntil
    })
    return previous?.peer !== peer
  }

  /** Removes the followers whose heartbeats have stopped and returns their names. */
  removeSilent (): string[] {
    const silent = [...this.#byNode.values()].filter(({ lastHeartbeatAt }) =>
      performance.now() - lastHeartbeatAt >= FOLLOWER_TIMEOUT_MS)
    for (const { node, resigned, lastHeartbeatAt, unsettledUntil } of silent) {
      this.#byNode.delete(node)
      if (!resigned || unsettledUntil > lastHeartbeatAt) this.#lostAt.set(node, lastHeartbeatAt)
    }
    return silent.map(({ node }) => node)
  }

  /** Whether the store may still carry out writes of jobs that followers, or nodes that were, have sent. */
  get hasUnsettledWrites (): boolean {
    const now = performance.now()
    for (const [node, at] of this.#lostAt) if (now - at > LOST_FOLLOWER_MS) this.#lostAt.delete(node)
    if (this.#lostAt.size > 0) return true
    for (const { unsettledUntil, lastHeartbeatAt, resigned } of this.#byNode.values()) {
      if (unsettledUntil > now || (!resigned && now - lastHeartbeatAt > LATE_HEARTBEAT_MS)) return true
    }
    return false
  }

  clear (): void {
    this.#byNode.clear()
    this.#lostAt.clear()
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
