import type { Static, TSchema } from '@sinclair/typebox'
import { notDone, type Outcome } from '@gypsumspring/protocol'
import { requestValidatedJson } from '../_lib/requestValidatedJson.ts'
import { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { encodeKey } from '../_lib/encodeKey.ts'
import { parseOrigin } from '../_lib/parseOrigin.ts'
import { MAX_CONNECTIONS_PER_WORKER, DEFAULT_WORKER_TIMEOUT_MS } from '../constants/index.ts'
import type { Machine, WorkerClient, WorkerConnector } from '../types.ts'
import { EmptyResponse, HeartbeatResponse, InspectResponse, OpenSessionResponse, StartResponse } from '../wire/index.ts'

interface ConnectorOptions {
  timeoutMs?: number
}

interface WorkerConnection {
  address: string
  /** Undefined if no connection can be opened to the address. */
  pool: ConnectionPool | undefined
  client: WorkerClient
}

/**
 * Creates clients for the workers' HTTP API. Each worker has its own connection pool, so that an unresponsive worker
 * does not delay calls to others.
 */
export class HttpWorkerConnector implements WorkerConnector {
  readonly #workers = new Map<string, WorkerConnection>()
  readonly #timeoutMs: number

  /** @param options.timeoutMs - Timeout of a call, in ms. Default: 2,000. */
  constructor (options: ConnectorOptions = {}) {
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_WORKER_TIMEOUT_MS
  }

  /** Returns the client of a worker. Repeated calls return the same client until the address changes. */
  connect ({ id, address }: Pick<Machine, 'id' | 'address'>): WorkerClient {
    const existing = this.#workers.get(id)
    if (existing?.address === address) return existing.client
    existing?.pool?.close().catch((error) => { throw error })
    const origin = parseOrigin(address)
    const pool = origin === undefined ? undefined : new ConnectionPool(origin, MAX_CONNECTIONS_PER_WORKER)
    const client = new HttpWorkerClient(pool, `/workers/${encodeURIComponent(id)}`, this.#timeoutMs)
    this.#workers.set(id, { address, pool, client })
    return client
  }

  async close (): Promise<void> {
    await Promise.all([...this.#workers.values()].map(({ pool }) => pool?.close()))
    this.#workers.clear()
  }
}

class HttpWorkerClient implements WorkerClient {
  readonly #pool: ConnectionPool | undefined
  readonly #path: string
  readonly #timeoutMs: number

  constructor (pool: ConnectionPool | undefined, path: string, timeoutMs: number) {
    this.#pool = pool
    this.#path = path
    this.#timeoutMs = timeoutMs
  }

  openSession (request: Parameters<WorkerClient['openSession']>[0]): ReturnType<WorkerClient['openSession']> {
    return this.#post(OpenSessionResponse, 'session', request)
  }

  heartbeat (...[session, request]: Parameters<WorkerClient['heartbeat']>): ReturnType<WorkerClient['heartbeat']> {
    return this.#post(HeartbeatResponse, 'heartbeat', { session, ...request })
  }

  start (...[session, starts]: Parameters<WorkerClient['start']>): ReturnType<WorkerClient['start']> {
    return this.#post(StartResponse, 'start', { session, starts })
  }

  async stop (...[session, request]: Parameters<WorkerClient['stop']>): Promise<Outcome<void>> {
    return (await this.#post(EmptyResponse, 'stop', { session, ...request })).map(() => undefined)
  }

  async checkpoint (...[session, request]: Parameters<WorkerClient['checkpoint']>): Promise<Outcome<void>> {
    return (await this.#post(EmptyResponse, 'checkpoint', { session, ...request })).map(() => undefined)
  }

  async throttle (...[session, request]: Parameters<WorkerClient['throttle']>): Promise<Outcome<void>> {
    return (await this.#post(EmptyResponse, 'throttle', { session, ...request })).map(() => undefined)
  }

  inspect (shard: string): ReturnType<WorkerClient['inspect']> {
    const encodedShard = encodeKey(shard)
    if (encodedShard === undefined) return Promise.resolve(notDone('invalid', 'the shard name contains a lone surrogate'))
    return this.#send(InspectResponse, { method: 'GET', path: `${this.#path}/inspect?shard=${encodedShard}` })
  }

  #post<Schema extends TSchema> (schema: Schema, operation: string, body: unknown): Promise<Outcome<Static<Schema>>> {
    return this.#send(schema, { method: 'POST', path: `${this.#path}/${operation}`, body })
  }

  async #send<Schema extends TSchema> (
    schema: Schema, request: { method: 'GET' | 'POST', path: string, body?: unknown }
  ): Promise<Outcome<Static<Schema>>> {
    if (this.#pool === undefined) return notDone('invalid', 'the address of the worker is malformed')
    return await requestValidatedJson(this.#pool, schema, { ...request, timeoutMs: this.#timeoutMs })
  }
}
