import { done, notDone, type Outcome } from '@gypsumspring/protocol'
import { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { exchange, type Exchange } from '../_lib/exchange.ts'
import { readRetryAfter } from '../_lib/readFailure.ts'
import { MAX_DISCARDED_BYTES, RUNNER_CONNECTIONS } from '../constants/index.ts'
import type { RunnerClient, RunnerRequest, RunnerResponse } from '../types.ts'

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the client sets itself. */
const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])
const REQUEST_ONLY_HEADERS = new Set(['content-length', 'host'])

/** HTTP exchanges with runners. Keeps one pool of connections per runner address and never pipelines. */
export class HttpRunnerClient implements RunnerClient {
  readonly #pools = new Map<string, ConnectionPool>()
  readonly #limits = new Map<string, number>()
  #closed = false

  /**
   * Sends one request. `timeoutMs` covers the whole exchange: iterating the body of the answer throws once it has
   * passed. The caller must read the body to its end or leave the iteration, else the connection stays in use.
   */
  async send (address: string, request: RunnerRequest): Promise<Outcome<RunnerResponse>> {
    if (this.#closed) return notDone('closed', 'the client was closed')
    const pool = this.#pool(address)
    if (pool === undefined) return notDone('invalid', `${address} is not an address`)
    const headers = dropHeaders(request.headers, CONNECTION_HEADERS, REQUEST_ONLY_HEADERS)
    const outcome = await exchange(pool, { ...request, headers })
    if (outcome.isLeft()) return outcome as Outcome<never>
    const answer = outcome.unsafeCoerce()
    if (answer.status === 503 && answer.headers['gs-outcome'] === 'not-run') return discardNotRun(answer)
    return done({
      status: answer.status, headers: dropHeaders(answer.headers, CONNECTION_HEADERS), body: answer.body
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

  #pool (address: string): ConnectionPool | undefined {
    let pool = this.#pools.get(address)
    if (pool !== undefined) return pool
    const origin = `http://${address}`
    if (!URL.canParse(origin) || new URL(origin).origin === 'null' || /[/@?#]/.test(address)) return undefined
    pool = new ConnectionPool(origin, this.#limits.get(address) ?? RUNNER_CONNECTIONS)
    this.#pools.set(address, pool)
    return pool
  }
}

/** Reads the rest of a refusal, so that the connection can be used again. */
async function discardNotRun (answer: Exchange): Promise<Outcome<never>> {
  await answer.body.dump({ limit: MAX_DISCARDED_BYTES }).catch(() => {})
  const retryAfterMs = readRetryAfter(answer.headers['retry-after'])
  const options = retryAfterMs === undefined ? {} : { retryAfterMs }
  return notDone('overloaded', 'the runner did not run the request', options)
}

function dropHeaders (
  headers: Record<string, string | string[] | undefined>, ...dropped: Array<Set<string>>
): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {}
  // Headers named by the connection header concern that connection only, too.
  const named = new Set(String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim()))
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase()
    if (value !== undefined && ![...dropped, named].some((set) => set.has(lower))) kept[lower] = value
  }
  return kept
}
