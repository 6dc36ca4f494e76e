import { failureOf, notDone, unknownEffect, valueOf, type Outcome } from '@gypsumspring/protocol'
import type {
  Commit, CommitResult, MetricsRecorder, ReadOptions, RecordStore, RowChanges, StoredRow
} from '../ports.ts'
import { CONTROL_TABLE } from '../ownership/index.ts'
import { CELL_PARTITION } from '../records/index.ts'
import { readInstant } from '../instant/index.ts'
import { LatencyAverage } from '../latencyAverage/LatencyAverage.ts'
import { readHedged } from '../readHedged/index.ts'
import { StoreClock } from '../storeClock/StoreClock.ts'
import type { CellMethod, CellParams, CellResult } from './messages.ts'
import { decodeChanges, decodeRelayed, decodeRow, type RelayMethod, type RelayedValue } from './relayedCalls.ts'

/** RPC client for another node of the cell. */
export interface Peer {
  address: string
  call<Method extends CellMethod> (
    method: Method, params: CellParams<Method>, options?: { timeoutMs?: number }
  ): Promise<Outcome<CellResult<Method>>>
}

/**
 * A direct call of which no part of the answer has arrived is overdue after this time, in ms, or after `LATENCY_FACTOR`
 * times the average latency if that is longer.
 */
const MIN_DIRECT_TIMEOUT_MS = 250
const LATENCY_FACTOR = 4

/** Longest pause between two parts of the answer to a direct read, in ms; TCP resends a lost packet after 200 ms. */
const STALL_TIMEOUT_MS = 1_000

/** Longest wait for a peer's answer, in ms; `LATENCY_FACTOR` times the average latency is added. */
const RELAY_TIMEOUT_MS = 600

/** The store counts as unreachable when it has not answered any call for this time, in ms. */
const STORE_UNREACHABLE_AFTER_MS = 900

/** Time since the last answer after which the store is probed, in ms. */
const PROBE_AFTER_MS = 350

/** Longest wait for the answer to a probe, in ms; a slow store takes 200 ms. */
const PROBE_TIMEOUT_MS = 700

/** Most peers that are tried for one call. */
const MAX_PEERS_PER_CALL = 2

/** Time for which other peers are preferred to one that failed to relay a call, in ms. */
const PEER_PAUSE_MS = 3_000

/**
 * Calls the store over this node's own connection and, while that fails, through other nodes, since the store may be
 * unreachable for some nodes only.
 */
export class FailoverStore implements RecordStore {
  readonly #direct: RecordStore
  readonly #peers: () => Peer[]
  readonly #metrics: MetricsRecorder
  /** Whether this node's own connection works. Once false, only a successful probe sets it again. */
  #isDirectlyReachable = true
  readonly #averageLatency = new LatencyAverage()
  /** Direct calls without any part of an answer so far; aborting one abandons it. */
  readonly #pendingDirectCalls = new Set<AbortController>()
  /** Monotonic time at which a peer last failed to relay a call, in ms. */
  readonly #peerFailedAt = new WeakMap<Peer, number>()
  /** The store's clock, as its answers to commits and to reads of partitions have shown it. */
  readonly clock = new StoreClock()
  /** Monotonic time of the last answer of the store, in ms. */
  lastAnswerAt = 0
  /** Monotonic time of the last answer over this node's own connection, in ms. */
  #lastDirectAnswerAt = 0

  /** @param peers - Returns the nodes that may relay calls, in order of preference. */
  constructor (direct: RecordStore, peers: () => Peer[], metrics: MetricsRecorder) {
    this.#direct = direct
    this.#peers = peers
    this.#metrics = metrics
  }

  /** The store over this node's own connection; calls relayed for other nodes use it. */
  get direct (): RecordStore {
    return this.#direct
  }

  /** Whether the store has answered recently, directly or through a peer; if not, callers need not wait for it. */
  get isAnswering (): boolean {
    return this.silentMs < STORE_UNREACHABLE_AFTER_MS
  }

  /** Time since the last answer of the store, in ms. */
  get silentMs (): number {
    return performance.now() - this.lastAnswerAt
  }

  /** Average latency of calls to the store, in ms. */
  get latencyMs (): number {
    return this.#averageLatency.ms
  }

  /** Whether this node reaches the store over its own connection. */
  get isDirectlyReachable (): boolean {
    return this.#isDirectlyReachable
  }

  /** Checks whether the store answers over this node's own connection, unless a call was answered recently. */
  async probe (): Promise<void> {
    const now = performance.now()
    if (now - this.lastAnswerAt < PROBE_AFTER_MS && this.#isDirectlyReachable) return
    const outcome = await this.#direct.readRow(CONTROL_TABLE, CELL_PARTITION, '', { timeoutMs: PROBE_TIMEOUT_MS })
    if (!isUnreachable(outcome)) {
      this.#isDirectlyReachable = true
      this.#recordDirectAnswer()
    } else if (this.#lastDirectAnswerAt < now) this.#isDirectlyReachable = false
  }

  async commit (commit: Commit): Promise<Outcome<CommitResult>> {
    return await this.#recordTime(() => this.#commitOrRelay(commit))
  }

  /** Records the time on the store's clock from the answer to a call. */
  async #recordTime<Value extends { nowMs?: number }> (call: () => Promise<Outcome<Value>>): Promise<Outcome<Value>> {
    const sentAt = readInstant()
    const outcome = await call()
    this.clock.record(valueOf(outcome)?.nowMs, sentAt)
    return outcome
  }

  async #commitOrRelay (commit: Commit): Promise<Outcome<CommitResult>> {
    if (this.#mayCallDirectly) {
      const outcome = await this.#commitDirectly(commit)
      if (!isUnreachable(outcome)) {
        this.#recordDirectAnswer()
        return outcome
      }
      // The commit may have been applied, so only the caller can decide whether to repeat it.
      if (failureOf(outcome)?.certainty === 'unknown') return outcome
      this.#isDirectlyReachable = false
    }
    const puts = commit.puts.map(({ value, ...row }) => ({ ...row, value: Buffer.from(value).toString('base64') }))
    return await this.#relay('cell.store.commit', { ...commit, puts }, (result) =>
      result.kind === 'conflict' ? { ...result, rows: result.rows.map(decodeRow) } : result)
  }

  async read (table: string, partition: string): Promise<Outcome<RowChanges>> {
    return await this.#recordTime(() => this.#read((options) => this.#direct.read(table, partition, options),
      'cell.store.read', { table, partition }, decodeChanges))
  }

  async readRow (table: string, partition: string, key: string): Promise<Outcome<StoredRow | undefined>> {
    return await this.#read((options) => this.#direct.readRow(table, partition, key, options), 'cell.store.readRow',
      { table, partition, key }, (row) => row === null ? undefined : decodeRow(row))
  }

  async changes (table: string, after: number, waitMs: number): Promise<Outcome<RowChanges>> {
    return await this.#read((options) => this.#direct.changes(table, after, waitMs, options), 'cell.store.changes',
      { table, after, waitMs }, decodeChanges, waitMs)
  }

  /** Whether calls are made directly. Without peers there is no other way. */
  get #mayCallDirectly (): boolean {
    return this.#isDirectlyReachable || this.#peers().length === 0
  }

  /** Time after which a direct call of whose answer nothing has arrived is overdue, in ms. */
  get #overdueAfterMs (): number {
    return Math.max(MIN_DIRECT_TIMEOUT_MS, LATENCY_FACTOR * this.#averageLatency.ms)
  }

  /** Reads directly, or through a peer if the direct connection fails or is known to be down. */
  async #read<Method extends RelayMethod, Value> (
    read: (options: ReadOptions) => Promise<Outcome<Value>>, method: Method, params: CellParams<Method>,
    decode: (ok: RelayedValue<Method>) => Value, longPollMs = 0
  ): Promise<Outcome<Value>> {
    if (this.#mayCallDirectly) {
      const outcome = await this.#readDirectly(read, method, longPollMs)
      if (outcome !== undefined && !isUnreachable(outcome)) {
        this.#recordDirectAnswer()
        return outcome
      }
      if (outcome !== undefined) this.#isDirectlyReachable = false
    }
    return await this.#relay(method, params, decode, longPollMs)
  }

  async #readDirectly<Value> (
    read: (options: ReadOptions) => Promise<Outcome<Value>>, method: RelayMethod, longPollMs: number
  ): Promise<Outcome<Value> | undefined> {
    const abandonment = new AbortController()
    this.#pendingDirectCalls.add(abandonment)
    const outcome = await readHedged(read, {
      overdueAfterMs: this.#overdueAfterMs + longPollMs,
      stallTimeoutMs: STALL_TIMEOUT_MS,
      signal: abandonment.signal,
      onOverdue: (sentAt) => {
        this.#metrics.count('store_calls_overdue', { method })
        this.#recordOverdue(sentAt)
        return this.#isDirectlyReachable
      },
      onProgress: (latencyMs) => {
        this.#pendingDirectCalls.delete(abandonment)
        // Late answers count too: they show that the store is slow but reachable.
        this.#recordDirectAnswer()
        if (latencyMs !== undefined && longPollMs === 0) this.#averageLatency.record(latencyMs)
      }
    })
    this.#pendingDirectCalls.delete(abandonment)
    return outcome
  }

  async #commitDirectly (commit: Commit): Promise<Outcome<CommitResult>> {
    const sentAt = performance.now()
    const timer = setTimeout(() => this.#recordOverdue(sentAt), this.#overdueAfterMs)
    const abandonment = new AbortController()
    const abandoned = new Promise<Outcome<CommitResult>>((resolve) => {
      abandonment.signal.addEventListener('abort', () => resolve(NO_ANSWER))
    })
    this.#pendingDirectCalls.add(abandonment)
    const answered = this.#direct.commit(commit).then((outcome) => {
      this.#pendingDirectCalls.delete(abandonment)
      if (outcome.isRight()) {
        this.#recordDirectAnswer()
        this.#averageLatency.record(performance.now() - sentAt)
      }
      return outcome
    })
    const outcome = await Promise.race([answered, abandoned])
    clearTimeout(timer)
    this.#pendingDirectCalls.delete(abandonment)
    return outcome
  }

  /** Later calls, including further copies of this one, are relayed unless only this answer was lost. */
  #recordOverdue (sentAt: number): void {
    if (this.#lastDirectAnswerAt < sentAt) this.#isDirectlyReachable = false
  }

  #recordDirectAnswer (): void {
    this.#lastDirectAnswerAt = performance.now()
    this.#recordAnswer()
  }

  /**
   * Records that the store has answered. The first answer after an outage, to any call, abandons the direct calls that
   * were sent during the outage: their connections take seconds to recover, while new ones work at once.
   */
  #recordAnswer (): void {
    const wasUnreachable = !this.isAnswering
    this.lastAnswerAt = performance.now()
    if (wasUnreachable) for (const call of [...this.#pendingDirectCalls]) call.abort()
  }

  /** Makes a call through one peer after the other. */
  async #relay<Method extends RelayMethod, Value> (
    method: Method, params: CellParams<Method>, decode: (ok: RelayedValue<Method>) => Value, longPollMs = 0
  ): Promise<Outcome<Value>> {
    const timeoutMs = RELAY_TIMEOUT_MS + LATENCY_FACTOR * this.#averageLatency.ms + longPollMs
    let last: Outcome<Value> = notDone('unavailable', 'the store is unreachable and no node can relay the call')
    for (const peer of this.#chooseRelays()) {
      this.#metrics.count('store_calls_relayed', { method })
      const answer = await peer.call(method, params, { timeoutMs })
      last = answer
        .chain((result) => decodeRelayed(result as { ok: RelayedValue<Method> } | { failure: unknown }))
        .map(decode)
      if (!isUnreachable(last)) {
        this.#recordAnswer()
        return last
      }
      this.#peerFailedAt.set(peer, performance.now())
      if (failureOf(last)?.certainty === 'unknown' && method === 'cell.store.commit') return last
    }
    return last
  }

  /** Chooses the peers to try for one call, in the order of the list, but those that have failed recently last. */
  #chooseRelays (): Peer[] {
    const hasFailed = (peer: Peer) =>
      performance.now() - (this.#peerFailedAt.get(peer) ?? -Infinity) < PEER_PAUSE_MS
    const peers = this.#peers()
    return [...peers.filter((peer) => !hasFailed(peer)), ...peers.filter(hasFailed)].slice(0, MAX_PEERS_PER_CALL)
  }
}

const NO_ANSWER: Outcome<never> = unknownEffect('timeout', 'no answer from the store')

/** Failure reasons after which the call may be made through another node. */
const UNREACHABLE_REASONS: ReadonlySet<string> = new Set(['unavailable', 'overloaded', 'timeout', 'closed'])

/** Whether the store gave no answer or refused the call. */
function isUnreachable (outcome: Outcome<unknown>): boolean {
  return UNREACHABLE_REASONS.has(failureOf(outcome)?.reason ?? '')
}
