import { isDeepStrictEqual } from 'node:util'
import type { RowCheck, RowWrite } from '@gypsumspring/adapters'
import type { JournalRecord, JournalRow } from '@gypsumspring/core'
import type { Failure } from '@gypsumspring/protocol'
import { FIRST_STORE_RETRY_MS, LONGEST_STORE_RETRY_MS, RECORDS_PER_FLUSH } from '../constants/index.ts'
import { assignmentKey, journalKey } from './_lib/keys.ts'
import { Snapshots } from './Snapshots.ts'
import type { AppendResult, JournalOptions } from './types.ts'
import { throwUncaught, sleep } from '@gypsumspring/protocol'

export { readShardState } from './readShardState.ts'
export type * from './types.ts'

interface Unit {
  records: JournalRecord[]
  settle: (result: AppendResult) => void
  appendedAt: number
}

type Attempted = 'recorded' | 'retry' | 'lost'

/**
 * Records transitions of one shard in group commits: at most one write is in flight, and at most one starts each
 * `flushMs`. A write without an answer is repeated under the same key until its fate is known.
 */
export class Journal {
  readonly #options: JournalOptions
  readonly #snapshots: Snapshots
  readonly #versionsOfClaims = new Map<string, number>()
  #waiting: Unit[] = []
  #inFlight: Unit[] = []
  #inFlightConfigVersion = 0
  #timer: NodeJS.Timeout | undefined
  #lastFlushAt = -Infinity
  #flushing = false
  #failing = false
  #closed = false

  constructor (options: JournalOptions) {
    this.#options = options
    this.#snapshots = new Snapshots(options)
  }

  /** The last write failed and is not resolved yet. */
  get failing (): boolean {
    return this.#failing
  }

  /**
   * Records transitions; those of one call are in one row.
   *
   * @param records - Transitions in order.
   * @returns When they are recorded, or refused because of a claim. Never settles when the shard is lost first.
   */
  append (records: JournalRecord[]): Promise<AppendResult> {
    return new Promise((resolve) => {
      this.#waiting.push({ records, settle: resolve, appendedAt: performance.now() })
      this.#schedule()
    })
  }

  /** Writes nothing more. */
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
    this.#takeUnits()
    let retryMs = FIRST_STORE_RETRY_MS
    while (this.#inFlight.length > 0) {
      const attempted = this.#options.mayWrite() ? await this.#write() : 'retry'
      if (attempted === 'lost') this.#options.onLost('journal-conflict')
      if (attempted === 'lost' || this.#closed) return
      if (attempted === 'recorded') this.#finish()
      else {
        this.#failing = true
        const delayMs = retryMs
        await sleep(delayMs)
        retryMs = Math.min(retryMs * 2, LONGEST_STORE_RETRY_MS)
        if (this.#closed) return
      }
    }
    this.#failing = false
    this.#flushing = false
    this.#schedule()
    await this.#snapshots.considerSnapshot()
  }

  #takeUnits (): void {
    let count = 0
    let units = 0
    for (const { records } of this.#waiting) {
      if (units > 0 && count + records.length > RECORDS_PER_FLUSH) break
      count += records.length
      units++
    }
    this.#inFlight = this.#waiting.splice(0, units)
    this.#inFlightConfigVersion = this.#options.configVersion()
  }

  #finish (): void {
    const { state, metrics } = this.#options
    const records = this.#inFlight.flatMap((unit) => unit.records)
    const configVersion = this.#inFlightConfigVersion
    const applied = state.apply({ sequence: state.sequence + 1, configVersion, records })
    applied.ifLeft((violation) => { throw new Error(`journal: ${violation}`) })
    metrics.count('journal_records', {}, records.length)
    for (const unit of this.#inFlight) {
      metrics.recordDuration('journal_append', performance.now() - unit.appendedAt)
      unit.settle('recorded')
    }
    this.#inFlight = []
  }

  /** Writes the units in flight under the next key. */
  async #write (): Promise<Attempted> {
    const { ownership, writer, state, table, metrics, log } = this.#options
    const records = this.#inFlight.flatMap((unit) => unit.records)
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
        checks.push({ key: assignment, version: this.#versionsOfClaims.get(record.group) ?? 0 })
        writes.push({ kind: 'put', key: assignment, value: { shard: ownership.shard } })
      } else if (record.kind === 'release') writes.push({ kind: 'delete', key: assignmentKey(record.group) })
    }
    const sentAt = performance.now()
    const outcome = await table.transact({ checks, writes })
    metrics.recordDuration('store_write', performance.now() - sentAt)
    return await outcome.caseOf<Promise<Attempted> | Attempted>({
      Right: () => 'recorded',
      Left: (failure) => {
        metrics.count('journal_write_failed', { reason: failure.reason, certainty: failure.certainty })
        log.warn({ shard: ownership.shard, sequence, reason: failure.reason }, 'journal write failed')
        return this.#resolve(key, failure)
      }
    })
  }

  /** Finds out what became of a write that did not succeed. */
  async #resolve (key: string, failure: Failure): Promise<Attempted> {
    if (failure.reason !== 'conflict' && failure.certainty === 'not-done') return 'retry'
    const { ownership, writer, table } = this.#options
    const row = await table.read(key)
    if (row.isLeft()) return 'retry'
    const written = row.unsafeCoerce()?.value as JournalRow | undefined
    if (written !== undefined) return written.writer === writer && this.#isInFlight(written) ? 'recorded' : 'lost'
    if (failure.reason !== 'conflict') return 'retry'
    const shardRow = await table.read(`shard/${ownership.shard}`)
    if (shardRow.isLeft()) return 'retry'
    if (shardRow.unsafeCoerce()?.version !== ownership.rowVersion) return 'lost'
    await this.#refuseTakenClaims()
    return 'retry'
  }

  /** False when an earlier write with an unknown outcome took effect after a claim had been dropped from it. */
  #isInFlight ({ records }: JournalRow): boolean {
    return isDeepStrictEqual(records, this.#inFlight.flatMap((unit) => unit.records))
  }

  /** Drops the units from the write that claim a group which another shard holds. */
  async #refuseTakenClaims (): Promise<void> {
    const { ownership: { shard }, table, metrics } = this.#options
    const kept: Unit[] = []
    for (const unit of this.#inFlight) {
      let taken = false
      for (const record of unit.records) {
        if (record.kind !== 'claim') continue
        const row = (await table.read(assignmentKey(record.group))).orDefault(undefined)
        if (row === undefined) this.#versionsOfClaims.delete(record.group)
        else if ((row.value as { shard: string }).shard === shard) this.#versionsOfClaims.set(record.group, row.version)
        else taken = true
      }
      if (taken) {
        metrics.count('claim_refused')
        unit.settle('refused')
      } else kept.push(unit)
    }
    this.#inFlight = kept
  }
}
