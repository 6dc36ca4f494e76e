import { throwUncaught } from '@gypsumspring/protocol'
import { randomUUID } from 'node:crypto'
import type { ObjectStore, Row, Table } from '@gypsumspring/adapters'
import type { AtMostOnceState, RpcParams } from '@gypsumspring/protocol'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { Peers } from '../../types.ts'
import { DUPLICATE_RETRY_AFTER_MS, MAX_STORED_RESPONSE_BYTES, STORE_RETRY_AFTER_MS } from '../constants/index.ts'
import { fingerprintRequest } from '../fingerprintRequest/index.ts'
import type {
  BufferedResponse, DispatchResult, IncomingRequest, PendingRequest, RequestResult, StreamedResponse
} from '../types.ts'
import { AtMostOnceStore } from './_lib/AtMostOnceStore.ts'
import { BoundedMap } from './_lib/BoundedMap.ts'
import { parseRecord, recordKey, toMinute, type AtMostOnceRecord } from './_lib/record.ts'
import { RetryQueue } from './_lib/RetryQueue.ts'
import {
  MAX_RECORD_READS, MAX_REMEMBERED_REQUESTS, RETRY_INTERVAL_MS, STATUS_TIMEOUT_MS, STORE_PROBE_INTERVAL_MS
} from './constants/index.ts'

export interface AtMostOnceOptions {
  table: Table
  objects: ObjectStore
  peers: Peers
  /** Id, incarnation and RPC address of this process. */
  self: () => { id: string, incarnation: string, address: string }
  /** Dispatches a claimed request. */
  send: (
    request: IncomingRequest, options: { maxBufferedBytes: number, streamAfterMs: number }
  ) => PendingRequest<DispatchResult>
  metrics: Metrics
  log: Logger
}

/** State of a request in this process until its record is final. */
interface ActiveRequest {
  key: string
  record: AtMostOnceRecord
  /** The response, if it could not be stored yet. */
  unstoredResponse?: BufferedResponse
  callerGone: boolean
  dispatched?: PendingRequest<DispatchResult>
}

const CALLER_GONE: RequestResult = { kind: 'not-run', reason: 'caller-gone', retryAfterMs: DUPLICATE_RETRY_AFTER_MS }

/**
 * Runs each non-repeatable request at most once across all entries. A request is sent only after its claim is confirmed
 * to be in the table with the nonce of this attempt. A claim that is abandoned before sending is never used again.
 */
export class AtMostOnceHandler {
  readonly #options: AtMostOnceOptions
  readonly #store: AtMostOnceStore
  readonly #retryQueue = new RetryQueue(RETRY_INTERVAL_MS)
  readonly #activeRequests = new Map<string, ActiveRequest>()
  /** Nonces of claims abandoned before sending. Kept after the row is deleted, as a delayed claim write may follow. */
  readonly #abandonedNonces = new BoundedMap<string, true>(MAX_REMEMBERED_REQUESTS)
  /** Keys of requests sent by this process; during a store outage they show that a retry may have run before. */
  readonly #sentKeys = new BoundedMap<string, true>(MAX_REMEMBERED_REQUESTS)
  #storeSkippedUntil = -Infinity

  constructor (options: AtMostOnceOptions) {
    this.#options = options
    this.#store = new AtMostOnceStore(options.table, options.objects)
  }

  serve (request: IncomingRequest): PendingRequest<RequestResult> {
    const key = recordKey(request)
    const fingerprint = fingerprintRequest(request.forwarded)
    const existing = this.#activeRequests.get(key)
    if (existing !== undefined) return resolvedRequest(this.#answerDuplicate(existing, fingerprint))
    const { id, incarnation, address } = this.#options.self()
    const record: AtMostOnceRecord = {
      entry: id,
      address,
      incarnation,
      nonce: randomUUID(),
      state: 'claimed',
      fingerprint,
      minute: toMinute(Date.now())
    }
    const active: ActiveRequest = { key, record, callerGone: false }
    this.#activeRequests.set(key, active)
    return {
      result: this.#run(request, active),
      abandon: () => {
        active.callerGone = true
        active.dispatched?.abandon()
      }
    }
  }

  /** Reports the state of one of this entry's claims to another entry. */
  status ({ key, nonce }: Pick<RpcParams<'once.status'>, 'key' | 'nonce'>): { state: AtMostOnceState } {
    if (this.#activeRequests.get(key)?.record.nonce === nonce) return { state: 'in-flight' }
    return { state: this.#abandonedNonces.get(nonce) === true ? 'abandoned' : 'unknown' }
  }

  /** Number of responses that are not stored yet and abandoned claims that are not deleted yet. */
  get unfinishedWrites (): number {
    return this.#retryQueue.size
  }

  /** Retries all outstanding writes once, then stops. */
  async close (): Promise<void> {
    await this.#retryQueue.flush()
    if (this.#retryQueue.size > 0) this.#options.log.warn({ records: this.#retryQueue.size }, 'closed with unfinished at-most-once records')
    this.#retryQueue.close()
  }

  #answerDuplicate ({ record, unstoredResponse }: ActiveRequest, fingerprint: string): RequestResult {
    this.#options.metrics.count('once_repeats', { found: unstoredResponse === undefined ? 'in-flight' : 'unstored' })
    if (record.fingerprint !== fingerprint) return { kind: 'mismatch' }
    return unstoredResponse === undefined
      ? { kind: 'in-flight', retryAfterMs: DUPLICATE_RETRY_AFTER_MS }
      : { kind: 'answered', response: unstoredResponse }
  }

  async #run (request: IncomingRequest, active: ActiveRequest): Promise<RequestResult> {
    const claim = await this.#claim(request, active)
    if (claim.kind !== 'claimed') {
      this.#activeRequests.delete(active.key)
      return claim.result
    }
    if (active.callerGone || performance.now() >= request.deadline) {
      this.#abandonClaim(active)
      // The claim proves that no other copy of the request has run.
      return active.callerGone
        ? CALLER_GONE
        : { kind: 'not-run', reason: 'deadline-passed', retryAfterMs: DUPLICATE_RETRY_AFTER_MS }
    }
    active.dispatched = this.#options.send(
      request, { maxBufferedBytes: MAX_STORED_RESPONSE_BYTES, streamAfterMs: Infinity })
    const result = await active.dispatched.result
    if (result.kind === 'not-run') {
      this.#abandonClaim(active)
      return result
    }
    this.#sentKeys.set(active.key, true)
    if (result.kind === 'answered') await this.#complete(active, claim.version, result.response)
    else if (result.kind === 'streaming') return this.#completeAfterStream(active, claim.version, result.response)
    else this.#activeRequests.delete(active.key)
    return result
  }

  /** Claims the request, or determines the result of an earlier copy of it. */
  async #claim (
    request: IncomingRequest, active: ActiveRequest
  ): Promise<{ kind: 'claimed', version: number } | { kind: 'known', result: RequestResult }> {
    const { key, record } = active
    if (performance.now() < this.#storeSkippedUntil) {
      return { kind: 'known', result: this.#refuse(request, key, 'store-unavailable') }
    }
    let abandonedRow: Row | undefined
    for (let round = 0; round < MAX_RECORD_READS; round++) {
      const claim = await this.#store.claim(key, record, abandonedRow, request.deadline)
      if (claim.kind === 'claimed') return claim
      if (claim.kind === 'refused') {
        if (claim.maybeWritten) this.#abandonClaim(active)
        if (performance.now() >= request.deadline) {
          return { kind: 'known', result: this.#refuse(request, key, 'deadline-passed') }
        }
        this.#storeSkippedUntil = performance.now() + STORE_PROBE_INTERVAL_MS
        return { kind: 'known', result: this.#refuse(request, key, 'store-unavailable') }
      }
      if (claim.kind === 'unclear') {
        this.#abandonClaim(active)
        return { kind: 'known', result: { kind: 'unknown', retryAfterMs: DUPLICATE_RETRY_AFTER_MS } }
      }
      const existing = await this.#resolveExistingRecord(key, claim.row, record.fingerprint)
      if (existing.kind !== 'free') return { kind: 'known', result: existing }
      abandonedRow = existing.row
    }
    this.#abandonClaim(active)
    return { kind: 'known', result: { kind: 'in-flight', retryAfterMs: DUPLICATE_RETRY_AFTER_MS } }
  }

  /** Refuses a request without its record. Only the caller knows whether another entry may have run it before. */
  #refuse ({ firstAttempt }: IncomingRequest, key: string, reason: string): RequestResult {
    const isUnsent = firstAttempt && this.#sentKeys.get(key) !== true
    return { kind: isUnsent ? 'not-run' : 'unknown', reason, retryAfterMs: STORE_RETRY_AFTER_MS }
  }

  /** Determines the result of a retry from an earlier record; `free` if that claim was abandoned before sending. */
  async #resolveExistingRecord (
    key: string, row: Row, fingerprint: string
  ): Promise<RequestResult | { kind: 'free', row?: Row }> {
    const unknown: RequestResult = { kind: 'unknown', retryAfterMs: DUPLICATE_RETRY_AFTER_MS }
    let current = row
    for (let round = 0; round < MAX_RECORD_READS; round++) {
      const record = parseRecord(current.value)
      if (record === undefined) return unknown
      if (record.fingerprint !== fingerprint) return { kind: 'mismatch' }
      if (record.state === 'done') {
        const response = await this.#store.loadResponse(record)
        this.#options.metrics.count('once_repeats', { found: response === undefined ? 'answer-unavailable' : 'done' })
        return response === undefined ? unknown : { kind: 'answered', response }
      }
      const state = await this.#askClaimant(key, record)
      this.#options.metrics.count('once_repeats', { found: state })
      if (state === 'in-flight') return { kind: 'in-flight', retryAfterMs: DUPLICATE_RETRY_AFTER_MS }
      if (state === 'abandoned') return { kind: 'free', row: current }
      // The claiming entry forgets a request once its record is done, which may have happened since the row was read.
      const outcome = await this.#store.read(key)
      if (outcome.isLeft()) return unknown
      const next = outcome.unsafeCoerce()
      if (next === undefined) return { kind: 'free' }
      if (next.version === current.version) return unknown
      current = next
    }
    return unknown
  }

  async #askClaimant (key: string, { entry, address, incarnation, nonce }: AtMostOnceRecord): Promise<AtMostOnceState> {
    const self = this.#options.self()
    if (entry === self.id) return incarnation === self.incarnation ? this.status({ key, nonce }).state : 'unknown'
    const outcome = await this.#options.peers
      .call(address, 'once.status', { key, nonce }, { timeoutMs: STATUS_TIMEOUT_MS })
    return outcome.caseOf({ Left: () => 'unknown', Right: ({ state }) => state })
  }

  /** Abandons a claim before the request was sent, so that other entries may take the claim over. */
  #abandonClaim ({ key, record: { nonce } }: ActiveRequest): void {
    this.#abandonedNonces.set(nonce, true)
    this.#activeRequests.delete(key)
    this.#options.metrics.count('once_abandoned')
    this.#runWithRetries(async () => await this.#store.clear(key, nonce))
  }

  async #complete (active: ActiveRequest, version: number, response: BufferedResponse | undefined): Promise<void> {
    const { key, record } = active
    const finish = async () => {
      if (!await this.#store.complete(key, record, version, response)) return false
      this.#activeRequests.delete(key)
      return true
    }
    if (await finish()) return
    if (response !== undefined) active.unstoredResponse = response
    this.#options.metrics.count('once_unstored')
    this.#options.log.warn({ key }, 'response could not be stored; keeping it in memory')
    this.#retryQueue.add(finish)
  }

  /** Completes the record after a response that is too large to store; retries then get the outcome `unknown`. */
  #completeAfterStream (active: ActiveRequest, version: number, response: StreamedResponse): RequestResult {
    const finish = async (complete: boolean) => {
      if (complete) await this.#complete(active, version, undefined)
      else this.#activeRequests.delete(active.key)
    }
    async function * trackCompletion (): AsyncGenerator<Uint8Array> {
      let complete = false
      try {
        yield * response.body
        complete = true
      } finally {
        await finish(complete)
      }
    }
    return { kind: 'streaming', response: { ...response, body: trackCompletion() } }
  }

  #runWithRetries (operation: () => Promise<boolean>): void {
    const run = async () => { if (!await operation()) this.#retryQueue.add(operation) }
    run().catch(throwUncaught)
  }
}

function resolvedRequest (result: RequestResult): PendingRequest<RequestResult> {
  return { result: Promise.resolve(result), abandon: () => {} }
}
