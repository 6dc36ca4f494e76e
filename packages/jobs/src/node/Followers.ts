import type { CellParams } from './messages.ts'
import type { Peer } from './FailoverStore.ts'

/** A follower without a heartbeat for this time, in ms, is no longer used for advice or as a relay. */
const FOLLOWER_TIMEOUT_MS = 1_500

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
  }

  list (): Follower[] {
    return [...this.#byNode.values()]
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
