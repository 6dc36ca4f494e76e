import type { Static, TSchema } from '@sinclair/typebox'
import { CONTROL_TABLE } from '../ownership/index.ts'
import type { Commit, LogWriter, StoredRow } from '../ports.ts'
import { decodeRow } from '../records/index.ts'

/** A row of `CONTROL_TABLE` in which an owner tells later ones something that would begin anew with each of them. */
export class ControlRow<Schema extends TSchema> {
  readonly #key: string
  readonly #schema: Schema
  readonly #subject: string
  readonly #log: LogWriter

  /** @param subject - What the row is about, for the log. */
  constructor (key: string, schema: Schema, subject: string, log: LogWriter) {
    this.#key = key
    this.#schema = schema
    this.#subject = subject
    this.#log = log
  }

  /** Returns the value among the rows of `CONTROL_TABLE`; undefined if it is missing, or malformed, which is logged. */
  read (rows: readonly StoredRow[]): Static<Schema> | undefined {
    const bytes = rows.find(({ key }) => key === this.#key)?.value
    if (bytes === undefined) return undefined
    const value = decodeRow(this.#schema, bytes)
    if (value === undefined) this.#log.warn({}, `record of ${this.#subject} is malformed`)
    return value
  }

  /** Returns what a commit has to write to store a value. */
  toWrites (value: Static<Schema>): Commit['puts'] {
    return [{ table: CONTROL_TABLE, key: this.#key, value: Buffer.from(JSON.stringify(value)) }]
  }
}
