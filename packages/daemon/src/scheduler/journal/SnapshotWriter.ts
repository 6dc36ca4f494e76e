import { FLUSHES_PER_SNAPSHOT, MAX_ROWS_PER_DELETION } from '../constants/index.ts'
import { journalKey, snapshotRowKey } from './_lib/keys.ts'
import type { JournalOptions, SnapshotRow } from './types.ts'

/** Replaces old journal rows of a shard with snapshots. At most one snapshot is in progress. */
export class SnapshotWriter {
  readonly #options: JournalOptions
  /** Sequence that the last snapshot covers. */
  #lastSequence: number
  #busy = false

  constructor (options: JournalOptions) {
    this.#options = options
    this.#lastSequence = options.snapshotSequence
  }

  /** To be called after each journal write. A failed snapshot is tried again after the next write. */
  async takeSnapshotIfDue (): Promise<void> {
    const { state, mayWrite, metrics, log } = this.#options
    if (this.#busy || state.sequence - this.#lastSequence < FLUSHES_PER_SNAPSHOT || !mayWrite()) return
    this.#busy = true
    try {
      if (!await this.#take()) {
        metrics.count('snapshot_failed')
        log.warn({ shard: this.#options.ownership.shard }, 'snapshot failed, trying again')
      }
    } finally {
      this.#busy = false
    }
  }

  async #take (): Promise<boolean> {
    const { ownership: { shard, epoch, rowVersion }, state, objects, table } = this.#options
    const sequence = state.sequence
    const key = `snapshot/${shard}/${epoch}-${sequence}`
    const row = await table.read(snapshotRowKey(shard))
    if (row.isLeft()) return false
    const previous = row.unsafeCoerce()?.value as SnapshotRow | undefined
    let deletedUpTo = previous?.deletedUpTo ?? 0
    const stored = await objects.put(key, Buffer.from(JSON.stringify(state.toSnapshot())))
    if (stored.isLeft()) return false
    const value: SnapshotRow = { key, sequence, deletedUpTo }
    const checks = [{ key: `shard/${shard}`, version: rowVersion }]
    const referenced = await table.transact({ checks, writes: [{ kind: 'put', key: snapshotRowKey(shard), value }] })
    // When the outcome is unknown, the row may refer to either snapshot, so neither they nor journal rows are deleted.
    if (referenced.isLeft()) return false
    this.#lastSequence = sequence
    if (previous !== undefined && previous.key !== key) await objects.remove(previous.key)
    while (deletedUpTo < sequence) {
      const last = Math.min(sequence, deletedUpTo + MAX_ROWS_PER_DELETION)
      const writes = []
      for (let row = deletedUpTo + 1; row <= last; row++) {
        writes.push({ kind: 'delete' as const, key: journalKey(shard, row) })
      }
      if ((await table.transact({ checks, writes })).isLeft()) return false
      deletedUpTo = last
    }
    return true
  }
}
