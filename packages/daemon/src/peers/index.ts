import { RpcClient, type Outcome, type RpcMethod, type RpcParams, type RpcResult } from '@gypsumspring/protocol'
import { LRUCache } from 'lru-cache'
import type { Peers } from '../types.ts'

/** Maximum number of open connections. A process calls two random peers per second and a few fixed ones. */
const MAX_CONNECTIONS = 64

/** Idle time after which a connection to a peer is closed, in ms. */
const IDLE_TIMEOUT_MS = 30_000

interface PeerOptions {
  /** Id of this process. */
  from: string
  /** Configuration version in force in this process. */
  version: () => number
}

/** Calls the other processes of the cell over pooled RPC connections. */
export class PeerConnections implements Peers {
  readonly #options: PeerOptions
  readonly #clients = new LRUCache<string, RpcClient>({
    max: MAX_CONNECTIONS,
    ttl: IDLE_TIMEOUT_MS,
    updateAgeOnGet: true,
    ttlAutopurge: true,
    dispose: (client) => client.close()
  })

  constructor (options: PeerOptions) {
    this.#options = options
  }

  call<Method extends RpcMethod> (
    address: string,
    method: Method,
    params: Omit<RpcParams<Method>, 'from' | 'configVersion'>,
    options: { timeoutMs?: number } = {}
  ): Promise<Outcome<RpcResult<Method>>> {
    const { from, version } = this.#options
    const complete = { ...params, from, configVersion: version() } as unknown as RpcParams<Method>
    return this.#client(address).call(method, complete, options)
  }

  close (): void {
    this.#clients.clear()
  }

  #client (address: string): RpcClient {
    let client = this.#clients.get(address)
    if (client === undefined) {
      client = new RpcClient(address)
      this.#clients.set(address, client)
    }
    return client
  }
}
