/** How nodes make calls to the store and the policy service for each other: encoding, decoding and handlers. */
import { done, notDone, type Failure, type Outcome } from '@gypsumspring/protocol'
import type { RecordStore, RowChanges, StoredRow } from '../ports.ts'
import type { CellMethod, CellParams, CellResult } from './messages.ts'

export type RelayMethod = Extract<CellMethod, `cell.store.${string}`>

/** Decoded type of a successful relayed call. */
export type RelayedValue<Method extends RelayMethod> =
  Extract<CellResult<Method>, { ok: unknown }>['ok'] & RelayedValues[Method]

/** A row as it is sent between nodes, with its value in base64. */
interface WireRow { table: string, partition: string, key: string, version: number, value: string | null }
interface WireChanges { rows: WireRow[], version: number, nowMs?: number }
interface RelayedValues {
  'cell.store.commit':
    { kind: 'committed', version: number, nowMs?: number } | { kind: 'conflict', rows: WireRow[], nowMs?: number }
  'cell.store.read': WireChanges
  'cell.store.readRow': WireRow | null
  'cell.store.changes': WireChanges
}

/** Handlers of the calls that a node relays to the store. */
export type RelayHandlers = { [Method in RelayMethod]: (params: CellParams<Method>) => Promise<CellResult<Method>> }

/**
 * Creates the handlers with which a node makes store calls for others.
 *
 * @param store - The store over this node's own connection, so that a call is relayed once at most.
 */
export function createRelayHandlers (store: RecordStore): RelayHandlers {
  return {
    'cell.store.commit': async ({ puts, ...commit }) => {
      const decoded = puts.map(({ value, ...row }) => ({ ...row, value: Buffer.from(value, 'base64') }))
      const outcome = await store.commit({ ...commit, puts: decoded })
      return encodeRelayed(outcome, (result) => result.kind === 'conflict'
        ? { ...result, rows: result.rows.map(encodeRow) }
        : result)
    },
    'cell.store.read': async ({ table, partition }) =>
      encodeRelayed(await store.read(table, partition), encodeChanges),
    'cell.store.readRow': async ({ table, partition, key }) =>
      encodeRelayed(await store.readRow(table, partition, key), (row) => row === undefined ? null : encodeRow(row)),
    'cell.store.changes': async ({ table, after, waitMs }) =>
      encodeRelayed(await store.changes(table, after, waitMs), encodeChanges)
  }
}

/** Encodes an outcome for the answer to a relayed call. */
export function encodeRelayed<Value, Encoded> (outcome: Outcome<Value>, encode: (value: Value) => Encoded) {
  return outcome.caseOf<{ ok: Encoded } | { failure: { certainty: string, reason: string, message: string } }>({
    Left: ({ certainty, reason, message }) => ({ failure: { certainty, reason, message } }),
    Right: (value) => ({ ok: encode(value) })
  })
}

/** Decodes the outcome of a relayed call. */
export function decodeRelayed<Value> (result: { ok: Value } | { failure: unknown }): Outcome<Value> {
  if ('ok' in result) return done(result.ok)
  const { certainty, reason, message } = result.failure as Failure
  return notDone(reason, message).mapLeft((failure) => ({ ...failure, certainty }))
}

export function decodeRow ({ value, ...row }: WireRow): StoredRow {
  return { ...row, value: value === null ? undefined : Buffer.from(value, 'base64') }
}

export function decodeChanges ({ rows, ...answer }: WireChanges): RowChanges {
  return { ...answer, rows: rows.map(decodeRow) }
}

function encodeRow ({ value, ...row }: StoredRow): WireRow {
  return { ...row, value: value === undefined ? null : Buffer.from(value).toString('base64') }
}

function encodeChanges ({ rows, ...answer }: RowChanges): WireChanges {
  return { ...answer, rows: rows.map(encodeRow) }
}
