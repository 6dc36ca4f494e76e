import { FLUSHES_PER_SNAPSHOT, ROWS_PER_DELETION } from '../constants/index.ts'
import { journalKey, snapshotRowKey } from './_lib/keys.ts'
import type { JournalOptions, SnapshotRow } from './types.ts'

/** Replaces old journal rows of a shard by snapshots. At most one snapshot is under way. */
export class Snapshots {
  readonly #options: JournalOptions
  #taken: number
  #busy = false

  constructor (options: JournalOptions) {
    this.#options = options
    this.#taken = options.snapshotSequence
  }

  /** Called after each journal write. A failed snapshot is tried again after the next write. */
  async considerSnapshot (): Promise<void> {
    const { state, mayWrite, metrics, log } = this.#options
    if (this.#busy || state.sequence - this.#taken < FLUSHES_PER_SNAPSHOT || !mayWrite()) return
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
    const named = await table.transact({ checks, writes: [{ kind: 'put', key: snapshotRowKey(shard), value }] })
    // With an unknown outcome both snapshots may be named, so neither may be deleted, nor any row.
    if (named.isLeft()) return false
    this.#taken = sequence
    if (previous !== undefined && previous.key !== key) await objects.remove(previous.key)
    while (deletedUpTo < sequence) {
      const last = Math.min(sequence, deletedUpTo + ROWS_PER_DELETION)
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
