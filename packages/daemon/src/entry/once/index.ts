import { throwUncaught } from '@gypsumspring/protocol'
import { randomUUID } from 'node:crypto'
import type { ObjectStore, Row, Table } from '@gypsumspring/adapters'
import type { AtMostOnceState, RpcParams } from '@gypsumspring/protocol'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { Peers } from '../../types.ts'
import { MAX_STORED_ANSWER_BYTES, REPEAT_RETRY_MS, STORE_RETRY_MS } from '../constants/index.ts'
import { fingerprintRequest } from '../fingerprintRequest/index.ts'
import type { Call, CallerCall, CallResult, RouteResult, StreamedAnswer, WholeAnswer } from '../types.ts'
import { Backlog } from './_lib/Backlog.ts'
import { BoundedMap } from './_lib/BoundedMap.ts'
import { OnceStore } from './_lib/OnceStore.ts'
import { parseRecord, recordKey, toMinute, type OnceRecord } from './_lib/record.ts'
import { BACKLOG_INTERVAL_MS, LOOKS_AT_RECORD, REMEMBERED, STATUS_TIMEOUT_MS, STORE_PROBE_MS } from './constants/index.ts'

export interface OnceTaskParts {
  table: Table
  objects: ObjectStore
  peers: Peers
  /** Id, incarnation and RPC address of this process. */
  self: () => { id: string, incarnation: string, address: string }
  /** Sends a claimed request on its way. */
  send: (call: CallerCall, options: { wholeBytes: number, streamAfterMs: number }) => Call<RouteResult>
  metrics: Metrics
  logger: Logger
}

/** What this process knows of a request until its record is final. */
interface Attempt {
  key: string
  record: OnceRecord
  /** The answer, while it could not be stored. */
  answer?: WholeAnswer
  callerGone: boolean
  inner?: Call<RouteResult>
}

const CALLER_GONE: CallResult = { kind: 'not-run', reason: 'caller-gone', retryAfterMs: REPEAT_RETRY_MS }

/**
 * Runs not-repeatable requests at most once across all entries. A request is sent only after its claim is certainly in
 * the table under this attempt's nonce; a claim given up before sending is never used for sending later.
 */
export class OnceTask {
  readonly #parts: OnceTaskParts
  readonly #store: OnceStore
  readonly #backlog = new Backlog(BACKLOG_INTERVAL_MS)
  readonly #attempts = new Map<string, Attempt>()
  /** Nonces given up before sending. Kept after the row is cleared: a delayed claim write can still appear. */
  readonly #abandoned = new BoundedMap<string, true>(REMEMBERED)
  /** Requests sent from here by key, so that a store outage is not taken for proof that a repeat was never run. */
  readonly #ended = new BoundedMap<string, true>(REMEMBERED)
  #storeDownUntil = -Infinity

  constructor (parts: OnceTaskParts) {
    this.#parts = parts
    this.#store = new OnceStore(parts.table, parts.objects)
  }

  serve (call: CallerCall): Call<CallResult> {
    const key = recordKey(call)
    const fingerprint = fingerprintRequest(call.forwarded)
    const known = this.#attempts.get(key)
    if (known !== undefined) return settled(this.#answerRepeat(known, fingerprint))
    const { id, incarnation, address } = this.#parts.self()
    const record: OnceRecord = {
      entry: id,
      address,
      incarnation,
      nonce: randomUUID(),
      state: 'claimed',
      fingerprint,
      minute: toMinute(Date.now())
    }
    const attempt: Attempt = { key, record, callerGone: false }
    this.#attempts.set(key, attempt)
    return {
      result: this.#run(call, attempt),
      abandon: () => {
        attempt.callerGone = true
        attempt.inner?.abandon()
      }
    }
  }

  /** Answers another entry's question about a claim of this one. */
  status ({ key, nonce }: Pick<RpcParams<'once.status'>, 'key' | 'nonce'>): { state: AtMostOnceState } {
    if (this.#attempts.get(key)?.record.nonce === nonce) return { state: 'in-flight' }
    return { state: this.#abandoned.get(nonce) === true ? 'abandoned' : 'unknown' }
  }

  /** Number of answers and claims that still have to be written. */
  get backlog (): number {
    return this.#backlog.size
  }

  /** Tries once more to write what is outstanding, then stops. */
  async close (): Promise<void> {
    await this.#backlog.flush()
    if (this.#backlog.size > 0) this.#parts.logger.warn({ records: this.#backlog.size }, 'records left unfinished')
    this.#backlog.close()
  }

  #answerRepeat ({ record, answer }: Attempt, fingerprint: string): CallResult {
    this.#parts.metrics.count('once_repeats', { found: answer === undefined ? 'in-flight' : 'unstored' })
    if (record.fingerprint !== fingerprint) return { kind: 'mismatch' }
    return answer === undefined ? { kind: 'in-flight', retryAfterMs: REPEAT_RETRY_MS } : { kind: 'answered', answer }
  }

  async #run (call: CallerCall, attempt: Attempt): Promise<CallResult> {
    const claim = await this.#claim(call, attempt)
    if (claim.kind !== 'claimed') {
      this.#attempts.delete(attempt.key)
      return claim.result
    }
    if (attempt.callerGone || performance.now() >= call.deadline) {
      this.#giveUp(attempt)
      // The claim proves that no other copy has run.
      return attempt.callerGone ? CALLER_GONE : { kind: 'not-run', reason: 'deadline-passed', retryAfterMs: REPEAT_RETRY_MS }
    }
    attempt.inner = this.#parts.send(call, { wholeBytes: MAX_STORED_ANSWER_BYTES, streamAfterMs: Infinity })
    const result = await attempt.inner.result
    if (result.kind === 'not-run') {
      this.#giveUp(attempt)
      return result
    }
    this.#ended.set(attempt.key, true)
    if (result.kind === 'answered') await this.#complete(attempt, claim.version, result.answer)
    else if (result.kind === 'streaming') return this.#completeAfter(attempt, claim.version, result.answer)
    else this.#attempts.delete(attempt.key)
    return result
  }

  /** Claims the request, or finds out what became of it before. */
  async #claim (
    call: CallerCall, attempt: Attempt
  ): Promise<{ kind: 'claimed', version: number } | { kind: 'known', result: CallResult }> {
    const { key, record } = attempt
    if (performance.now() < this.#storeDownUntil) return { kind: 'known', result: this.#refuse(call, key, 'store-unavailable') }
    let over: Row | undefined
    for (let look = 0; look < LOOKS_AT_RECORD; look++) {
      const claim = await this.#store.claim(key, record, over, call.deadline)
      if (claim.kind === 'claimed') return claim
      if (claim.kind === 'refused') {
        if (claim.maybeWritten) this.#giveUp(attempt)
        if (performance.now() >= call.deadline) {
          return { kind: 'known', result: this.#refuse(call, key, 'deadline-passed') }
        }
        this.#storeDownUntil = performance.now() + STORE_PROBE_MS
        return { kind: 'known', result: this.#refuse(call, key, 'store-unavailable') }
      }
      if (claim.kind === 'unclear') {
        this.#giveUp(attempt)
        return { kind: 'known', result: { kind: 'unknown', retryAfterMs: REPEAT_RETRY_MS } }
      }
      const found = await this.#judge(key, claim.row, record.fingerprint)
      if (found.kind !== 'free') return { kind: 'known', result: found }
      over = found.row
    }
    this.#giveUp(attempt)
    return { kind: 'known', result: { kind: 'in-flight', retryAfterMs: REPEAT_RETRY_MS } }
  }

  /** Without the record only the caller knows whether an earlier copy may have run at another entry. */
  #refuse ({ firstAttempt }: CallerCall, key: string, reason: string): CallResult {
    const isUnsent = firstAttempt && this.#ended.get(key) !== true
    return { kind: isUnsent ? 'not-run' : 'unknown', reason, retryAfterMs: STORE_RETRY_MS }
  }

  /** What a record of another attempt means for a repeat; `free` when its claim was given up before sending. */
  async #judge (key: string, row: Row, fingerprint: string): Promise<CallResult | { kind: 'free', row?: Row }> {
    const unknown: CallResult = { kind: 'unknown', retryAfterMs: REPEAT_RETRY_MS }
    let current = row
    for (let look = 0; look < LOOKS_AT_RECORD; look++) {
      const record = parseRecord(current.value)
      if (record === undefined) return unknown
      if (record.fingerprint !== fingerprint) return { kind: 'mismatch' }
      if (record.state === 'done') {
        const answer = await this.#store.loadAnswer(record)
        this.#parts.metrics.count('once_repeats', { found: answer === undefined ? 'answer-unavailable' : 'done' })
        return answer === undefined ? unknown : { kind: 'answered', answer }
      }
      const state = await this.#askClaimant(key, record)
      this.#parts.metrics.count('once_repeats', { found: state })
      if (state === 'in-flight') return { kind: 'in-flight', retryAfterMs: REPEAT_RETRY_MS }
      if (state === 'abandoned') return { kind: 'free', row: current }
      // The claimant forgets a request when its record is done, which may have happened since the row was read.
      const outcome = await this.#store.read(key)
      if (outcome.isLeft()) return unknown
      const next = outcome.unsafeCoerce()
      if (next === undefined) return { kind: 'free' }
      if (next.version === current.version) return unknown
      current = next
    }
    return unknown
  }

  async #askClaimant (key: string, { entry, address, incarnation, nonce }: OnceRecord): Promise<AtMostOnceState> {
    const self = this.#parts.self()
    if (entry === self.id) return incarnation === self.incarnation ? this.status({ key, nonce }).state : 'unknown'
    const outcome = await this.#parts.peers.call(address, 'once.status', { key, nonce }, { timeoutMs: STATUS_TIMEOUT_MS })
    return outcome.caseOf({ Left: () => 'unknown', Right: ({ state }) => state })
  }

  /** Gives a claim up before anything was sent; from here on other entries may take it over. */
  #giveUp ({ key, record: { nonce } }: Attempt): void {
    this.#abandoned.set(nonce, true)
    this.#attempts.delete(key)
    this.#parts.metrics.count('once_abandoned')
    this.#startJob(async () => await this.#store.clear(key, nonce))
  }

  async #complete (attempt: Attempt, version: number, answer: WholeAnswer | undefined): Promise<void> {
    const { key, record } = attempt
    const finish = async () => {
      if (!await this.#store.complete(key, record, version, answer)) return false
      this.#attempts.delete(key)
      return true
    }
    if (await finish()) return
    if (answer !== undefined) attempt.answer = answer
    this.#parts.metrics.count('once_unstored')
    this.#parts.logger.warn({ key }, 'answer could not be stored; kept in memory')
    this.#backlog.add(finish)
  }

  /** An answer too long to keep: repeats are told `unknown` once its record is done. */
  #completeAfter (attempt: Attempt, version: number, answer: StreamedAnswer): CallResult {
    const finish = async (whole: boolean) => {
      if (whole) await this.#complete(attempt, version, undefined)
      else this.#attempts.delete(attempt.key)
    }
    async function * watch (): AsyncGenerator<Uint8Array> {
      let whole = false
      try {
        yield * answer.body
        whole = true
      } finally {
        await finish(whole)
      }
    }
    return { kind: 'streaming', answer: { ...answer, body: watch() } }
  }

  #startJob (job: () => Promise<boolean>): void {
    const run = async () => { if (!await job()) this.#backlog.add(job) }
    run().catch(throwUncaught)
  }
}

function settled (result: CallResult): Call<CallResult> {
  return { result: Promise.resolve(result), abandon: () => {} }
}
