import type { ObjectStore, Row, Table } from '@gypsumspring/adapters'
import type { Outcome } from '@gypsumspring/protocol'
import type { BufferedResponse } from '../../types.ts'
import { CLAIM_BACKOFF_MS, MAX_CLAIM_ATTEMPTS } from '../constants/index.ts'
import { decodeResponse, encodeResponse } from './responseCodec.ts'
import { responseKey, expiryKey, parseRecord, type AtMostOnceRecord } from './record.ts'
import { sleep } from '@gypsumspring/protocol'

/**
 * Result of an attempt to claim a request. `refused`: the claim was not written, unless `maybeWritten` is true.
 * `unclear`: a row exists but could not be read.
 */
export type ClaimResult =
  | { kind: 'claimed', version: number }
  | { kind: 'found', row: Row }
  | { kind: 'refused', maybeWritten: boolean }
  | { kind: 'unclear' }

/** Reads and writes at-most-once records. If the response to a write is lost, the row is read to find its effect. */
export class AtMostOnceStore {
  readonly #table: Table
  readonly #objects: ObjectStore

  constructor (table: Table, objects: ObjectStore) {
    this.#table = table
    this.#objects = objects
  }

  /** Writes a claim, replacing an abandoned one if given; retries with the same nonce while the effect is unknown. */
  async claim (
    key: string, record: AtMostOnceRecord, abandonedRow: Row | undefined, deadline: number
  ): Promise<ClaimResult> {
    let maybeWritten = false
    for (let attempt = 1; attempt <= MAX_CLAIM_ATTEMPTS && performance.now() < deadline; attempt++) {
      if (attempt > 1) await sleep(CLAIM_BACKOFF_MS * (0.5 + Math.random()))
      const replaced = parseRecord(abandonedRow?.value)
      const outcome = await this.#table.transact({
        checks: [{ key, version: abandonedRow?.version ?? 0 }],
        writes: [
          { kind: 'put', key, value: record },
          ...(replaced === undefined ? [] : [{ kind: 'delete' as const, key: expiryKey(key, replaced.minute) }]),
          { kind: 'put', key: expiryKey(key, record.minute), value: { nonce: record.nonce } }
        ]
      })
      if (outcome.isRight()) return { kind: 'claimed', version: outcome.extract().versions[0] ?? 0 }
      const failure = outcome.swap().unsafeCoerce()
      if (failure.certainty === 'unknown') maybeWritten = true
      else if (failure.reason !== 'conflict') return { kind: 'refused', maybeWritten }
      else {
        const row = await this.#table.read(key)
        if (row.isLeft()) return { kind: 'unclear' }
        const found = row.unsafeCoerce()
        if (found === undefined) abandonedRow = undefined
        else if (parseRecord(found.value)?.nonce === record.nonce) return { kind: 'claimed', version: found.version }
        else return { kind: 'found', row: found }
      }
    }
    return { kind: 'refused', maybeWritten }
  }

  async read (key: string): Promise<Outcome<Row | undefined>> {
    return await this.#table.read(key)
  }

  /** Deletes the row if it holds this nonce; true if it is certain that it no longer does. */
  async clear (key: string, nonce: string): Promise<boolean> {
    const outcome = await this.#table.read(key)
    if (outcome.isLeft()) return false
    const row = outcome.unsafeCoerce()
    const record = parseRecord(row?.value)
    if (row === undefined || record?.nonce !== nonce) return true
    const deleted = await this.#table.transact({
      checks: [{ key, version: row.version }],
      writes: [{ kind: 'delete', key }, { kind: 'delete', key: expiryKey(key, record.minute) }]
    })
    return deleted.caseOf({ Left: ({ reason }) => reason === 'conflict', Right: () => true })
  }

  /** Stores the response and marks the claim as done; true if the record is final. */
  async complete (
    key: string, claim: AtMostOnceRecord, version: number, response: BufferedResponse | undefined
  ): Promise<boolean> {
    const object = responseKey(key, claim.nonce)
    if (response !== undefined && (await this.#objects.put(object, encodeResponse(response))).isLeft()) return false
    const record: AtMostOnceRecord = { ...claim, state: 'done', ...(response === undefined ? {} : { answer: object }) }
    const outcome = await this.#table.transact({
      checks: [{ key, version }], writes: [{ kind: 'put', key, value: record }]
    })
    if (outcome.isRight()) return true
    if (outcome.swap().unsafeCoerce().reason !== 'conflict') return false
    // A conflict means that an earlier write, whose response was lost, has marked the row as done.
    return (await this.#table.read(key)).caseOf({ Left: () => false, Right: () => true })
  }

  async loadResponse (record: AtMostOnceRecord): Promise<BufferedResponse | undefined> {
    if (record.answer === undefined) return undefined
    const bytes = (await this.#objects.get(record.answer)).orDefault(undefined)
    return bytes && decodeResponse(bytes)
  }
}
