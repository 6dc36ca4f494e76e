import { Right, type Either } from 'purify-ts/Either'
import { RecordedState } from '../recordedState/index.ts'
import type { JournalRow, ShardSnapshot } from '../recordTypes.ts'

/**
 * Applies the rows of a journal to a snapshot.
 *
 * @param snapshot - The latest snapshot; undefined when none was written.
 * @param rows - Rows in sequence order; those that the snapshot covers are ignored.
 * @returns The recorded state, or why a row can't be applied (a gap or a violated invariant).
 *
 * @example
 * replayJournal(undefined, []).map((state) => state.sequence) // => Right(0)
 */
export function replayJournal (
  snapshot: ShardSnapshot | undefined, rows: JournalRow[]
): Either<string, RecordedState> {
  const state = new RecordedState(snapshot)
  return rows.reduce<Either<string, void>>((result, row) => result.chain(() => state.apply(row)), Right(undefined))
    .map(() => state)
}
