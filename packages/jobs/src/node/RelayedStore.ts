import { done, failureOf, notDone, unknownEffect, type Failure, type Outcome } from '@gypsumspring/protocol'
import type { Commit, CommitResult, MetricsRecorder, RecordStore, RowChanges, StoredRow } from '../ports.ts'
import { CONTROL_TABLE } from '../ownership/index.ts'
import { CELL_PARTITION } from '../records/index.ts'
import { LatencyAverage } from '../latencyAverage/LatencyAverage.ts'
import type { CellMethod, CellParams, CellResult } from './messages.ts'

/** Calls methods of another node. */
export interface Peer {
  address: string
  call<Method extends CellMethod> (
    method: Method, params: CellParams<Method>, options?: { timeoutMs?: number }
  ): Promise<Outcome<CellResult<Method>>>
}

/** Least time without an answer after which other ways are tried, in ms; and that as a multiple of the usual time. */
const PATIENCE_MS = 250
const PATIENCE_FACTOR = 4

/** Longest wait for a peer's answer, in ms. */
const RELAY_TIMEOUT_MS = 600

/** The store counts as out of reach when it has not answered any call for this time, in ms. */
const STORE_SILENCE_MS = 900

/** Time without an answer after which the store is probed, in ms. */
const PROBE_AFTER_MS = 350

/** Longest wait for the answer to a probe, in ms; a slow store answers in 200 ms. */
const PROBE_TIMEOUT_MS = 700

/** Peers that are tried for one call. */
const PEERS_PER_CALL = 2

type RelayMethod = 'cell.store.commit' | 'cell.store.read' | 'cell.store.readRow' | 'cell.store.changes'

/**
 * The store over this node's own connection or, while that fails, over other nodes: the store may be out of reach for
 * some nodes only.
 */
export class RelayedStore implements RecordStore {
  readonly #direct: RecordStore
  readonly #peers: () => Peer[]
  readonly #counters: MetricsRecorder
  /** Whether this node's own connection works; only a probe makes it so again. */
  #isDirect = true
  readonly #usual = new LatencyAverage()
  /** Ends each direct call that is under way. */
  readonly #hanging = new Set<() => void>()
  #turn = 0
  /** Steady time of the last answer of the store, in ms. */
  lastAnswerAt = 0

  constructor (direct: RecordStore, peers: () => Peer[], counters: MetricsRecorder) {
    this.#direct = direct
    this.#peers = peers
    this.#counters = counters
  }

  /** The store as this node reaches it without help; what other nodes are served with. */
  get direct (): RecordStore {
    return this.#direct
  }

  /** Whether the store has answered a short while ago; without an answer there is no use in waiting for one. */
  get isAnswering (): boolean {
    return performance.now() - this.lastAnswerAt < STORE_SILENCE_MS
  }

  /** Whether this node reaches the store without help. */
  get isDirect (): boolean {
    return this.#isDirect
  }

  /** Finds out whether the store answers this node, unless another call has just told. */
  async probe (): Promise<void> {
    const now = performance.now()
    if (now - this.lastAnswerAt < PROBE_AFTER_MS && this.#isDirect) return
    const outcome = await this.#direct.readRow(CONTROL_TABLE, CELL_PARTITION, '', { timeoutMs: PROBE_TIMEOUT_MS })
    if (isUnreachable(outcome)) {
      this.#isDirect = false
      return
    }
    this.#isDirect = true
    this.#noteAnswer()
  }

  async commit (commit: Commit): Promise<Outcome<CommitResult>> {
    const params = {
      ...commit, puts: commit.puts.map(({ value, ...row }) => ({ ...row, value: Buffer.from(value).toString('base64') }))
    }
    return await this.#either(() => this.#direct.commit(commit), 'cell.store.commit', params, (result) =>
      result.kind === 'conflict' ? { kind: 'conflict', rows: result.rows.map(fromRow) } : result)
  }

  async read (table: string, partition: string): Promise<Outcome<RowChanges>> {
    return await this.#either(() => this.#direct.read(table, partition), 'cell.store.read', { table, partition }, fromChanges)
  }

  async readRow (table: string, partition: string, key: string): Promise<Outcome<StoredRow | undefined>> {
    return await this.#either(() => this.#direct.readRow(table, partition, key), 'cell.store.readRow',
      { table, partition, key }, (row) => row === null ? undefined : fromRow(row))
  }

  async changes (table: string, after: number, waitMs: number): Promise<Outcome<RowChanges>> {
    return await this.#either(() => this.#direct.changes(table, after, waitMs), 'cell.store.changes',
      { table, after, waitMs }, fromChanges, waitMs)
  }

  async #either<Method extends RelayMethod, Value> (
    direct: () => Promise<Outcome<Value>>, method: Method, params: CellParams<Method>,
    decode: (ok: OkOf<Method>) => Value, ownWaitMs = 0
  ): Promise<Outcome<Value>> {
    if (this.#isDirect || this.#peers().length === 0) {
      const outcome = await this.#callDirect(direct, method !== 'cell.store.commit', ownWaitMs)
      if (outcome !== undefined && !isUnreachable(outcome)) {
        this.#noteAnswer()
        return outcome
      }
      this.#isDirect = false
      // The call may have been carried out; the caller knows whether it may be repeated.
      if (failureOf(outcome ?? NO_ANSWER)?.certainty === 'unknown' && method === 'cell.store.commit') return outcome ?? NO_ANSWER
    }
    return await this.#relay(method, params, decode, ownWaitMs)
  }

  /** Makes a call that is given up when its answer is overdue, if another way may be tried beside it. */
  async #callDirect<Value> (
    direct: () => Promise<Outcome<Value>>, mayGiveUp: boolean, ownWaitMs: number
  ): Promise<Outcome<Value> | undefined> {
    const sentAt = performance.now()
    const patienceMs = Math.max(PATIENCE_MS, PATIENCE_FACTOR * this.#usual.ms)
    let timer: ReturnType<typeof setTimeout> | undefined
    const overdue = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => {
        // Later calls, and further copies of this one, take another way.
        this.#isDirect = false
        if (mayGiveUp) resolve(undefined)
      }, patienceMs + ownWaitMs)
    })
    let giveUp = () => {}
    const hanging = new Promise<Outcome<Value>>((resolve) => { giveUp = () => resolve(NO_ANSWER) })
    this.#hanging.add(giveUp)
    const answered = direct().then((outcome) => {
      this.#hanging.delete(giveUp)
      // Late answers count too: they tell that the store is slow and not out of reach.
      if (outcome.isRight() && ownWaitMs === 0) {
        this.#noteAnswer()
        this.#usual.record(performance.now() - sentAt)
      }
      return outcome
    })
    const outcome = await Promise.race([answered, overdue, hanging])
    clearTimeout(timer)
    this.#hanging.delete(giveUp)
    return outcome
  }

  /**
   * Notes that the store answers. With the first answer after an outage, of whichever call, those that were sent into
   * it are given up: their connections take seconds to recover, new ones work at once.
   */
  #noteAnswer (): void {
    const wasSilent = !this.isAnswering
    this.lastAnswerAt = performance.now()
    if (wasSilent) for (const giveUp of [...this.#hanging]) giveUp()
  }

  async #relay<Method extends RelayMethod, Value> (
    method: Method, params: CellParams<Method>, decode: (ok: OkOf<Method>) => Value, ownWaitMs: number
  ): Promise<Outcome<Value>> {
    const peers = this.#peers()
    const timeoutMs = RELAY_TIMEOUT_MS + PATIENCE_FACTOR * this.#usual.ms + ownWaitMs
    let last: Outcome<Value> = notDone('unavailable', 'the store is out of reach, and no other node is known')
    for (let attempt = 0; attempt < Math.min(PEERS_PER_CALL, peers.length); attempt++) {
      // A peer that has helped is asked again.
      const peer = peers[this.#turn % peers.length]!
      this.#counters.count('store_calls_relayed')
      const answer = await peer.call(method, params, { timeoutMs })
      last = answer.chain((result) => fromRelayed(result as { ok: OkOf<Method> } | { failure: unknown })).map(decode)
      if (!isUnreachable(last)) {
        this.#noteAnswer()
        return last
      }
      this.#turn++
      if (failureOf(last)?.certainty === 'unknown' && method === 'cell.store.commit') return last
    }
    return last
  }
}

type OkOf<Method extends RelayMethod> = Extract<CellResult<Method>, { ok: unknown }>['ok'] & OkTypes[Method]

interface WireRow { table: string, partition: string, key: string, version: number, value: string | null }
interface OkTypes {
  'cell.store.commit': { kind: 'committed', version: number } | { kind: 'conflict', rows: WireRow[] }
  'cell.store.read': { rows: WireRow[], version: number }
  'cell.store.readRow': WireRow | null
  'cell.store.changes': { rows: WireRow[], version: number }
}

/** Turns a relayed answer into an outcome again. */
export function fromRelayed<Value> (result: { ok: Value } | { failure: unknown }): Outcome<Value> {
  if ('ok' in result) return done(result.ok)
  const { certainty, reason, message } = result.failure as Failure
  return notDone(reason, message).mapLeft((failure) => ({ ...failure, certainty }))
}

const NO_ANSWER: Outcome<never> = unknownEffect('timeout', 'no answer from the store')

/** Reasons of failures for which another way to the store is tried. */
const UNREACHABLE: ReadonlySet<string> = new Set(['unavailable', 'overloaded', 'timeout', 'closed'])

/** Whether the store didn't answer, or turned this node away. */
function isUnreachable (outcome: Outcome<unknown>): boolean {
  return UNREACHABLE.has(failureOf(outcome)?.reason ?? '')
}

function fromRow ({ value, ...row }: WireRow): StoredRow {
  return { ...row, value: value === null ? undefined : Buffer.from(value, 'base64') }
}

function fromChanges ({ rows, version }: { rows: WireRow[], version: number }): RowChanges {
  return { rows: rows.map(fromRow), version }
}

/** Encodes a row for a relayed answer. */
export function toWireRow ({ value, ...row }: StoredRow): WireRow {
  return { ...row, value: value === undefined ? null : Buffer.from(value).toString('base64') }
}

/** Encodes an outcome for a relayed answer. */
export function toRelayed<Value, Encoded> (outcome: Outcome<Value>, encode: (value: Value) => Encoded) {
  return outcome.caseOf<{ ok: Encoded } | { failure: { certainty: string, reason: string, message: string } }>({
    Left: ({ certainty, reason, message }) => ({ failure: { certainty, reason, message } }),
    Right: (value) => ({ ok: encode(value) })
  })
}
