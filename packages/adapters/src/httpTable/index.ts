import type { Static, TSchema } from '@sinclair/typebox'
import { notDone, type Outcome } from '@gypsumspring/protocol'
import { callJson } from '../_lib/callJson.ts'
import type { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { encodeKey } from '../_lib/encodeKey.ts'
import type { Row, Table, Transaction } from '../types.ts'
import { ReadAnswer, ScanAnswer, TransactAnswer } from '../wire/index.ts'

/** The table service over HTTP. */
export class HttpTable implements Table {
  readonly #pool: ConnectionPool
  readonly #timeoutMs: number

  /**
   * @param pool - Connections to the platform.
   * @param timeoutMs - Longest wait for an answer in ms.
   */
  constructor (pool: ConnectionPool, timeoutMs: number) {
    this.#pool = pool
    this.#timeoutMs = timeoutMs
  }

  transact (transaction: Transaction): Promise<Outcome<{ versions: number[] }>> {
    return callJson(this.#pool, TransactAnswer, {
      method: 'POST', path: '/v1/table/transact', body: transaction, timeoutMs: this.#timeoutMs
    })
  }

  async read (key: string): Promise<Outcome<Row | undefined>> {
    const outcome = await this.#get(ReadAnswer, '/v1/table/row?key=', key)
    return outcome.map(({ row }) => row ?? undefined)
  }

  async scan (prefix: string): Promise<Outcome<Row[]>> {
    const outcome = await this.#get(ScanAnswer, '/v1/table/rows?prefix=', prefix)
    return outcome.map(({ rows }) => rows)
  }

  async #get<Schema extends TSchema> (schema: Schema, path: string, key: string): Promise<Outcome<Static<Schema>>> {
    const encoded = encodeKey(key)
    if (encoded === undefined) return notDone('invalid', 'the key is not well-formed text')
    return await callJson(this.#pool, schema, { method: 'GET', path: path + encoded, timeoutMs: this.#timeoutMs })
  }
}
