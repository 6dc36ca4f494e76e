import type { Advice, Adviser } from '../ports.ts'
import { decodeRelayed, type Peer } from './RelayedStore.ts'

/** Time beyond that of the call itself for the way to the other node, in ms. */
const RPC_OVERHEAD_MS = 200

/** Asks for advice through another node. */
export class RemoteAdviser implements Adviser {
  readonly #peer: Peer

  constructor (peer: Peer) {
    this.#peer = peer
  }

  async advise (step: Parameters<Adviser['advise']>[0], workers: string[],
    timeoutMs: number): ReturnType<Adviser['advise']> {
    const answer = await this.#peer.call('cell.advise', { ...step, workers, timeoutMs }, { timeoutMs: timeoutMs + RPC_OVERHEAD_MS })
    return answer.chain((result) => decodeRelayed(result as { ok: Advice } | { failure: unknown }))
  }
}
