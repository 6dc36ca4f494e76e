import { isDeepStrictEqual } from 'node:util'
import type { RowCheck, RowWrite } from '@gypsumspring/adapters'
import type { JournalRecord, JournalRow } from '@gypsumspring/core'
import type { Failure } from '@gypsumspring/protocol'
import { MIN_STORE_RETRY_DELAY_MS, MAX_STORE_RETRY_DELAY_MS, MAX_RECORDS_PER_FLUSH } from '../constants/index.ts'
import { assignmentKey, journalKey } from './_lib/keys.ts'
import { SnapshotWriter } from './SnapshotWriter.ts'
import type { AppendResult, JournalOptions } from './types.ts'
import { throwUncaught, sleep } from '@gypsumspring/protocol'

export { readShardState } from './readShardState.ts'
export type * from './types.ts'

/** Records of one `append` call; they are written in one row. */
interface PendingAppend {
  records: JournalRecord[]
  resolve: (result: AppendResult) => void
  appendedAt: number
}

type WriteOutcome = 'recorded' | 'retry' | 'lost'

/**
 * Appends the transitions of one shard to its journal in group commits: at most one write is in flight, and at most one
 * batch starts in `flushMs`. A write without a response is repeated under the same key until its outcome is known.
 */
export class Journal {
  readonly #options: JournalOptions
  readonly #snapshots: SnapshotWriter
  /** Versions of the assignment rows that this shard already holds, by group. */
  readonly #assignmentVersions = new Map<string, number>()
  #waiting: PendingAppend[] = []
  #inFlight: PendingAppend[] = []
  #inFlightConfigVersion = 0
  #timer: NodeJS.Timeout | undefined
  #lastFlushAt = -Infinity
  #flushing = false
  #failing = false
  #closed = false

  constructor (options: JournalOptions) {
    this.#options = options
    this.#snapshots = new SnapshotWriter(options)
  }

  /** The last write failed, and its batch is not recorded yet. */
  get failing (): boolean {
    return this.#failing
  }

  /**
   * Records transitions; those of one call are written in one row.
   *
   * @param records - Transitions in order.
   * @returns Resolves when the records are written, or refused because of a claim; stays pending when the shard is
   * lost first.
   */
  append (records: JournalRecord[]): Promise<AppendResult> {
    return new Promise((resolve) => {
      this.#waiting.push({ records, resolve, appendedAt: performance.now() })
      this.#schedule()
    })
  }

  /** Stops writing and drops waiting records. */
  close (): void {
    this.#closed = true
    clearTimeout(this.#timer)
    this.#waiting = []
  }

  #schedule (): void {
    if (this.#closed || this.#flushing || this.#timer !== undefined || this.#waiting.length === 0) return
    const delayMs = Math.max(0, this.#lastFlushAt + this.#options.flushMs - performance.now())
    this.#timer = setTimeout(() => {
      this.#timer = undefined
      this.#flush().catch(throwUncaught)
    }, delayMs)
  }

  async #flush (): Promise<void> {
    this.#flushing = true
    this.#lastFlushAt = performance.now()
    this.#takeBatch()
    let retryMs = MIN_STORE_RETRY_DELAY_MS
    while (this.#inFlight.length > 0) {
      const outcome = this.#options.mayWrite() ? await this.#write() : 'retry'
      if (outcome === 'lost') this.#options.onLost('journal-conflict')
      if (outcome === 'lost' || this.#closed) return
      if (outcome === 'recorded') this.#applyBatch()
      else {
        this.#failing = true
        await sleep(retryMs)
        retryMs = Math.min(retryMs * 2, MAX_STORE_RETRY_DELAY_MS)
        if (this.#closed) return
      }
    }
    this.#failing = false
    this.#flushing = false
    this.#schedule()
    await this.#snapshots.takeSnapshotIfDue()
  }

  #takeBatch (): void {
    let count = 0
    let appends = 0
    for (const { records } of this.#waiting) {
      if (appends > 0 && count + records.length > MAX_RECORDS_PER_FLUSH) break
      count += records.length
      appends++
    }
    this.#inFlight = this.#waiting.splice(0, appends)
    this.#inFlightConfigVersion = this.#options.configVersion()
  }

  #applyBatch (): void {
    const { state, metrics } = this.#options
    const records = this.#inFlight.flatMap((append) => append.records)
    const configVersion = this.#inFlightConfigVersion
    const applied = state.apply({ sequence: state.sequence + 1, configVersion, records })
    applied.ifLeft((violation) => { throw new Error(`journal: recorded row does not fit the state: ${violation}`) })
    metrics.count('journal_records', {}, records.length)
    for (const append of this.#inFlight) {
      metrics.recordDuration('journal_append', performance.now() - append.appendedAt)
      append.resolve('recorded')
    }
    this.#inFlight = []
  }

  /** Writes the batch in flight as the next journal row. */
  async #write (): Promise<WriteOutcome> {
    const { ownership, writer, state, table, metrics, log } = this.#options
    const records = this.#inFlight.flatMap((append) => append.records)
    const sequence = state.sequence + 1
    const key = journalKey(ownership.shard, sequence)
    const configVersion = this.#inFlightConfigVersion
    const value: JournalRow = { sequence, writer, epoch: ownership.epoch, configVersion, records }
    const checks: RowCheck[] = [
      { key: `shard/${ownership.shard}`, version: ownership.rowVersion }, { key, version: 0 }
    ]
    const writes: RowWrite[] = [{ kind: 'put', key, value }]
    for (const record of records) {
      if (record.kind === 'claim') {
        const assignment = assignmentKey(record.group)
        checks.push({ key: assignment, version: this.#assignmentVersions.get(record.group) ?? 0 })
        writes.push({ kind: 'put', key: assignment, value: { shard: ownership.shard } })
      } else if (record.kind === 'release') writes.push({ kind: 'delete', key: assignmentKey(record.group) })
    }
    const sentAt = performance.now()
    const outcome = await table.transact({ checks, writes })
    metrics.recordDuration('store_write', performance.now() - sentAt)
    return await outcome.caseOf<Promise<WriteOutcome> | WriteOutcome>({
      Right: () => 'recorded',
      Left: (failure) => {
        metrics.count('journal_write_failed', { reason: failure.reason, certainty: failure.certainty })
        log.warn({ shard: ownership.shard, sequence, reason: failure.reason }, 'journal write failed')
        return this.#resolveFailedWrite(key, failure)
      }
    })
  }

  /** Determines whether a failed write was recorded, can be repeated, or shows that the shard is lost. */
  async #resolveFailedWrite (key: string, failure: Failure): Promise<WriteOutcome> {
    if (failure.reason !== 'conflict' && failure.certainty === 'not-done') return 'retry'
    const { ownership, writer, table } = this.#options
    const row = await table.read(key)
    if (row.isLeft()) return 'retry'
    const written = row.unsafeCoerce()?.value as JournalRow | undefined
    if (written !== undefined) return written.writer === writer && this.#matchesInFlight(written) ? 'recorded' : 'lost'
    if (failure.reason !== 'conflict') return 'retry'
    const shardRow = await table.read(`shard/${ownership.shard}`)
    if (shardRow.isLeft()) return 'retry'
    if (shardRow.unsafeCoerce()?.version !== ownership.rowVersion) return 'lost'
    await this.#refuseTakenClaims()
    return 'retry'
  }

  /**
   * Compares a stored row with the batch in flight. They differ when an earlier write with an unknown outcome took
   * effect after a refused claim had been removed from the batch.
   */
  #matchesInFlight ({ records }: JournalRow): boolean {
    return isDeepStrictEqual(records, this.#inFlight.flatMap((append) => append.records))
  }

  /** Removes appends that claim a group of another shard from the batch, and resolves them as refused. */
  async #refuseTakenClaims (): Promise<void> {
    const { ownership: { shard }, table, metrics } = this.#options
    const kept: PendingAppend[] = []
    for (const append of this.#inFlight) {
      let isTaken = false
      for (const record of append.records) {
        if (record.kind !== 'claim') continue
        const row = (await table.read(assignmentKey(record.group))).orDefault(undefined)
        if (row === undefined) this.#assignmentVersions.delete(record.group)
        else if ((row.value as { shard: string }).shard !== shard) isTaken = true
        else this.#assignmentVersions.set(record.group, row.version)
      }
      if (isTaken) {
        metrics.count('claim_refused')
        append.resolve('refused')
      } else kept.push(append)
    }
    this.#inFlight = kept
  }
}
