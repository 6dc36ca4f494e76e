import { done, notDone, type Outcome } from '@gypsumspring/protocol'
import { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { parseOrigin } from '../_lib/parseOrigin.ts'
import { sendRequest, type HttpResponse } from '../_lib/sendRequest.ts'
import { parseRetryAfter } from '../_lib/parseFailureResponse.ts'
import { MAX_DISCARDED_BYTES, DEFAULT_CONNECTIONS_PER_RUNNER } from '../constants/index.ts'
import type { RunnerClient, RunnerRequest, RunnerResponse } from '../types.ts'

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and `expect`, which are not forwarded. */
const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])
/** Request headers that undici sets itself. */
const CLIENT_SET_HEADERS = new Set(['content-length', 'host'])

/** HTTP client of the runners. Keeps one connection pool per runner address and never pipelines requests. */
export class HttpRunnerClient implements RunnerClient {
  readonly #pools = new Map<string, ConnectionPool>()
  readonly #limits = new Map<string, number>()
  #closed = false

  /**
   * Sends one request. `timeoutMs` covers the whole exchange: once it has passed, iterating the response body throws.
   * The caller must read the body to its end or break out of the iteration, otherwise the connection stays in use.
   */
  async send (address: string, request: RunnerRequest): Promise<Outcome<RunnerResponse>> {
    if (this.#closed) return notDone('closed', 'the client was closed')
    const pool = this.#getOrCreatePool(address)
    if (pool === undefined) return notDone('invalid', `invalid runner address: ${address}`)
    const headers = filterHeaders(request.headers, CONNECTION_HEADERS, CLIENT_SET_HEADERS)
    const outcome = await sendRequest(pool, { ...request, headers })
    if (outcome.isLeft()) return outcome as Outcome<never>
    const response = outcome.unsafeCoerce()
    if (response.status === 503 && response.headers['gs-outcome'] === 'not-run') return discardRejection(response)
    return done({
      status: response.status, headers: filterHeaders(response.headers, CONNECTION_HEADERS), body: response.body
    })
  }

  limitConnections (address: string, connections: number): void {
    this.#limits.set(address, connections)
    this.#pools.get(address)?.setLimit(connections)
  }

  async close (): Promise<void> {
    this.#closed = true
    await Promise.all([...this.#pools.values()].map((pool) => pool.close()))
    this.#pools.clear()
  }

  #getOrCreatePool (address: string): ConnectionPool | undefined {
    let pool = this.#pools.get(address)
    if (pool !== undefined) return pool
    const origin = parseOrigin(address)
    if (origin === undefined) return undefined
    pool = new ConnectionPool(origin, this.#limits.get(address) ?? DEFAULT_CONNECTIONS_PER_RUNNER)
    this.#pools.set(address, pool)
    return pool
  }
}

/** Reads the body of a rejection, so that the connection can be reused. */
async function discardRejection (response: HttpResponse): Promise<Outcome<never>> {
  await response.body.dump({ limit: MAX_DISCARDED_BYTES }).catch(() => {})
  const retryAfterMs = parseRetryAfter(response.headers['retry-after'])
  const options = retryAfterMs === undefined ? {} : { retryAfterMs }
  return notDone('overloaded', 'the runner rejected the request without running it', options)
}

function filterHeaders (
  headers: Record<string, string | string[] | undefined>, ...excluded: Array<Set<string>>
): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {}
  // Headers listed in the `connection` header are hop-by-hop, too.
  const connectionOptions = new Set(String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim()))
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase()
    if (value !== undefined && ![...excluded, connectionOptions].some((set) => set.has(lower))) forwarded[lower] = value
  }
  return forwarded
}
