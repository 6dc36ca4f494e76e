import type { Static, TSchema } from '@sinclair/typebox'
import { notDone, type Outcome } from '@gypsumspring/protocol'
import { callJson } from '../_lib/callJson.ts'
import { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { encodeKey } from '../_lib/encodeKey.ts'
import { WORKER_CONNECTIONS, WORKER_TIMEOUT_MS } from '../constants/index.ts'
import type { Machine, WorkerClient, WorkerConnector } from '../types.ts'
import { EmptyAnswer, HeartbeatAnswer, InspectAnswer, OpenSessionAnswer, StartAnswer } from '../wire/index.ts'

interface ConnectorOptions {
  timeoutMs?: number
}

interface Connected {
  address: string
  pool: ConnectionPool
  client: WorkerClient
}

/** Makes clients of the workers' HTTP API. Each worker has its own connections, so that a dead one delays no other. */
export class HttpWorkerConnector implements WorkerConnector {
  readonly #workers = new Map<string, Connected>()
  readonly #timeoutMs: number

  /** @param options.timeoutMs - Longest wait for an answer in ms. Default: 2,000. */
  constructor (options: ConnectorOptions = {}) {
    this.#timeoutMs = options.timeoutMs ?? WORKER_TIMEOUT_MS
  }

  /** Returns the client of a worker; the same one while the address stays the same. */
  connect ({ id, address }: Pick<Machine, 'id' | 'address'>): WorkerClient {
    const known = this.#workers.get(id)
    if (known?.address === address) return known.client
    known?.pool.close().catch((error) => { throw error })
    const pool = new ConnectionPool(`http://${address}`, WORKER_CONNECTIONS)
    const client = new HttpWorkerClient(pool, `/workers/${encodeURIComponent(id)}`, this.#timeoutMs)
    this.#workers.set(id, { address, pool, client })
    return client
  }

  async close (): Promise<void> {
    await Promise.all([...this.#workers.values()].map(({ pool }) => pool.close()))
    this.#workers.clear()
  }
}

class HttpWorkerClient implements WorkerClient {
  readonly #pool: ConnectionPool
  readonly #path: string
  readonly #timeoutMs: number

  constructor (pool: ConnectionPool, path: string, timeoutMs: number) {
    this.#pool = pool
    this.#path = path
    this.#timeoutMs = timeoutMs
  }

  openSession (request: Parameters<WorkerClient['openSession']>[0]): ReturnType<WorkerClient['openSession']> {
    return this.#post(OpenSessionAnswer, 'session', request)
  }

  heartbeat (...[session, request]: Parameters<WorkerClient['heartbeat']>): ReturnType<WorkerClient['heartbeat']> {
    return this.#post(HeartbeatAnswer, 'heartbeat', { session, ...request })
  }

  start (...[session, starts]: Parameters<WorkerClient['start']>): ReturnType<WorkerClient['start']> {
    return this.#post(StartAnswer, 'start', { session, starts })
  }

  async stop (...[session, request]: Parameters<WorkerClient['stop']>): Promise<Outcome<void>> {
    return (await this.#post(EmptyAnswer, 'stop', { session, ...request })).map(() => undefined)
  }

  async checkpoint (...[session, request]: Parameters<WorkerClient['checkpoint']>): Promise<Outcome<void>> {
    return (await this.#post(EmptyAnswer, 'checkpoint', { session, ...request })).map(() => undefined)
  }

  async throttle (...[session, request]: Parameters<WorkerClient['throttle']>): Promise<Outcome<void>> {
    return (await this.#post(EmptyAnswer, 'throttle', { session, ...request })).map(() => undefined)
  }

  inspect (shard: string): ReturnType<WorkerClient['inspect']> {
    const name = encodeKey(shard)
    if (name === undefined) return Promise.resolve(notDone('invalid', 'the shard is not well-formed text'))
    const path = `${this.#path}/inspect?shard=${name}`
    return callJson(this.#pool, InspectAnswer, { method: 'GET', path, timeoutMs: this.#timeoutMs })
  }

  #post<Schema extends TSchema> (schema: Schema, call: string, body: unknown): Promise<Outcome<Static<Schema>>> {
    const path = `${this.#path}/${call}`
    return callJson(this.#pool, schema, { method: 'POST', path, body, timeoutMs: this.#timeoutMs })
  }
}
