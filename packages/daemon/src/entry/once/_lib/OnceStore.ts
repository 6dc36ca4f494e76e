import type { ObjectStore, Row, Table } from '@gypsumspring/adapters'
import type { Outcome } from '@gypsumspring/protocol'
import type { WholeAnswer } from '../../types.ts'
import { CLAIM_ATTEMPTS, CLAIM_BACKOFF_MS } from '../constants/index.ts'
import { decodeAnswer, encodeAnswer } from './answerCodec.ts'
import { answerKey, expiryKey, parseRecord, type OnceRecord } from './record.ts'
import { sleep } from '@gypsumspring/protocol'

/**
 * How an attempt to claim ended. `refused`: the row is certainly not ours unless `maybeWritten`. `unclear`: a row
 * exists, and could not be read.
 */
export type ClaimResult =
  | { kind: 'claimed', version: number }
  | { kind: 'found', row: Row }
  | { kind: 'refused', maybeWritten: boolean }
  | { kind: 'unclear' }

/** Reads and writes of at-most-once records; every lost answer is resolved by reading. */
export class OnceStore {
  readonly #table: Table
  readonly #objects: ObjectStore

  constructor (table: Table, objects: ObjectStore) {
    this.#table = table
    this.#objects = objects
  }

  /** Writes a claim over an abandoned one, or where there is none; repeats with the same nonce while unknown. */
  async claim (key: string, record: OnceRecord, over: Row | undefined, deadline: number): Promise<ClaimResult> {
    let maybeWritten = false
    for (let attempt = 1; attempt <= CLAIM_ATTEMPTS && performance.now() < deadline; attempt++) {
      if (attempt > 1) await sleep(CLAIM_BACKOFF_MS * (0.5 + Math.random()))
      const replaced = parseRecord(over?.value)
      const outcome = await this.#table.transact({
        checks: [{ key, version: over?.version ?? 0 }],
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
        if (found === undefined) over = undefined
        else if (parseRecord(found.value)?.nonce === record.nonce) return { kind: 'claimed', version: found.version }
        else return { kind: 'found', row: found }
      }
    }
    return { kind: 'refused', maybeWritten }
  }

  async read (key: string): Promise<Outcome<Row | undefined>> {
    return await this.#table.read(key)
  }

  /** Deletes the row if it holds this nonce; true when it certainly does not hold it any more. */
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

  /** Stores the answer and marks the claim done; true when the record is final. */
  async complete (
    key: string, claim: OnceRecord, version: number, answer: WholeAnswer | undefined
  ): Promise<boolean> {
    const object = answerKey(key, claim.nonce)
    if (answer !== undefined && (await this.#objects.put(object, encodeAnswer(answer))).isLeft()) return false
    const record: OnceRecord = { ...claim, state: 'done', ...(answer === undefined ? {} : { answer: object }) }
    const outcome = await this.#table.transact({
      checks: [{ key, version }], writes: [{ kind: 'put', key, value: record }]
    })
    if (outcome.isRight()) return true
    if (outcome.swap().unsafeCoerce().reason !== 'conflict') return false
    // The row is done when an earlier write took effect and its answer was lost.
    return (await this.#table.read(key)).caseOf({ Left: () => false, Right: () => true })
  }

  async loadAnswer (record: OnceRecord): Promise<WholeAnswer | undefined> {
    if (record.answer === undefined) return undefined
    const bytes = (await this.#objects.get(record.answer)).orDefault(undefined)
    return bytes && decodeAnswer(bytes)
  }
}
