import type { Advice, Adviser } from '../ports.ts'
import type { Peer } from './FailoverStore.ts'
import { decodeRelayed } from './relayedCalls.ts'

/** Time allowed for the RPC to the other node, on top of that for the advice, in ms. */
export const RPC_OVERHEAD_MS = 200

/** Asks the policy service for advice through another node. */
export class RemoteAdviser implements Adviser {
  readonly #peer: Peer

  constructor (peer: Peer) {
    this.#peer = peer
  }

  async advise (step: Parameters<Adviser['advise']>[0], workers: string[],
    timeoutMs: number): ReturnType<Adviser['advise']> {
    const params = { ...step, workers, timeoutMs }
    const answer = await this.#peer.call('cell.advise', params, { timeoutMs: timeoutMs + RPC_OVERHEAD_MS })
    return answer.chain((result) => decodeRelayed(result as { ok: Advice } | { failure: unknown }))
  }
}
