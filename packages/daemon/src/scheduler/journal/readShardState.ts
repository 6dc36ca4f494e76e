import type { ObjectStore, Table } from '@gypsumspring/adapters'
import { replayJournal, type JournalRow, type ShardSnapshot } from '@gypsumspring/core'
import { done, notDone, type Outcome } from '@gypsumspring/protocol'
import { journalPrefix, snapshotRowKey } from './_lib/keys.ts'
import type { RecoveredShard, SnapshotRow } from './types.ts'

/**
 * Reads the recorded state of a shard from its snapshot and journal. Only the shard's owner may call it, because the
 * two reads are consistent only while nobody else writes.
 *
 * @param shard - Shard id.
 * @param table - Holds the journal rows and the key of the snapshot.
 * @param objects - Holds the snapshot.
 * @returns The recorded state and the sequence that the snapshot covers;
 * `invalid` when the journal has a gap or the snapshot is missing.
 *
 * @example
 * const state = await readShardState('hall-a', table, objects)
 */
export async function readShardState (
  shard: string, table: Table, objects: ObjectStore
): Promise<Outcome<RecoveredShard>> {
  const row = await table.read(snapshotRowKey(shard))
  if (row.isLeft()) return row as Outcome<never>
  const reference = row.unsafeCoerce()?.value as SnapshotRow | undefined
  let snapshot: ShardSnapshot | undefined
  if (reference !== undefined) {
    const object = await objects.get(reference.key)
    if (object.isLeft()) return object as Outcome<never>
    const bytes = object.unsafeCoerce()
    if (bytes === undefined) return notDone('invalid', `snapshot ${reference.key} is missing`)
    snapshot = JSON.parse(Buffer.from(bytes).toString()) as ShardSnapshot
  }
  const rows = await table.scan(journalPrefix(shard))
  return rows.chain((found) => replayJournal(snapshot, found.map(({ value }) => value as JournalRow)).caseOf({
    Left: (message): Outcome<RecoveredShard> => notDone('invalid', message),
    Right: (state) => done({ state, snapshotSequence: reference?.sequence ?? 0 })
  }))
}
