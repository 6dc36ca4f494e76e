import type { Static, TSchema } from '@sinclair/typebox'
import { notDone, type Outcome } from '@gypsumspring/protocol'
import { requestValidatedJson } from '../_lib/requestValidatedJson.ts'
import type { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { encodeKey } from '../_lib/encodeKey.ts'
import type { Row, Table, Transaction } from '../types.ts'
import { ReadResponse, ScanResponse, TransactResponse } from '../wire/index.ts'

/** Client of the table service over HTTP. */
export class HttpTable implements Table {
  readonly #pool: ConnectionPool
  readonly #timeoutMs: number

  /**
   * @param pool - Connections to the platform.
   * @param timeoutMs - Timeout of a call, in ms; for reads, the longest wait for the next part of the answer.
   */
  constructor (pool: ConnectionPool, timeoutMs: number) {
    this.#pool = pool
    this.#timeoutMs = timeoutMs
  }

  transact (transaction: Transaction): Promise<Outcome<{ versions: number[] }>> {
    return requestValidatedJson(this.#pool, TransactResponse, {
      method: 'POST', path: '/v1/table/transact', body: transaction, timeoutMs: this.#timeoutMs
    })
  }

  async read (key: string): Promise<Outcome<Row | undefined>> {
    const outcome = await this.#get(ReadResponse, '/v1/table/row?key=', key)
    return outcome.map(({ row }) => row ?? undefined)
  }

  async scan (prefix: string): Promise<Outcome<Row[]>> {
    const outcome = await this.#get(ScanResponse, '/v1/table/rows?prefix=', prefix)
    return outcome.map(({ rows }) => rows)
  }

  async #get<Schema extends TSchema> (schema: Schema, path: string, key: string): Promise<Outcome<Static<Schema>>> {
    const encoded = encodeKey(key)
    if (encoded === undefined) return notDone('invalid', 'the key contains a lone surrogate')
    return await requestValidatedJson(this.#pool, schema, {
      method: 'GET', path: path + encoded, timeoutMs: this.#timeoutMs, stallTimeoutMs: this.#timeoutMs
    })
  }
}
