import type { CellParams } from './messages.ts'
import type { Peer } from './RelayedStore.ts'

/** A follower that was silent for this time is no longer used for advice or as a relay, in ms. */
const FOLLOWER_TIMEOUT_MS = 1_500

export interface Follower extends Pick<CellParams<'cell.follow'>, 'weakness' | 'uptimeMs' | 'hasStore' | 'resigned'> {
  node: string
  peer: Peer
  /** Steady time of its last message, in ms. */
  lastHeartbeatAt: number
}

/** The nodes that follow the owner of a cell, as the owner knows them. */
export class Followers {
  readonly #byNode = new Map<string, Follower>()

  get size (): number {
    return this.#byNode.size
  }

  /** Takes in a message of a follower. Tells whether it is a new one, or an old one at a new address. */
  recordHeartbeat (heartbeat: CellParams<'cell.follow'>, peer: Peer): boolean {
    const { node, weakness, uptimeMs, hasStore, resigned } = heartbeat
    const previous = this.#byNode.get(node)
    this.#byNode.set(node, { node, peer, weakness, uptimeMs, hasStore, resigned, lastHeartbeatAt: performance.now() })
    return previous?.peer !== peer
  }

  /** Removes the followers that are silent and returns their names. */
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

  /** Followers that reach the store without help. */
  listWithStoreAccess (): Follower[] {
    return this.list().filter(({ hasStore }) => hasStore)
  }

  /**
   * Chooses who owns the cell next: a strong machine and, among these, the node that was started last. Where nodes are
   * restarted in turn, that one is not restarted again soon.
   */
  chooseSuccessor (): Follower | undefined {
    const candidates = this.listWithStoreAccess().filter(({ resigned }) => !resigned)
    return candidates.sort((a, b) => a.weakness - b.weakness || a.uptimeMs - b.uptimeMs)[0]
  }
}
