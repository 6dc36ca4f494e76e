import type { ObjectStore, Table } from '@gypsumspring/adapters'
import type { RecordedState } from '@gypsumspring/core'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { Ownership } from '../../lease/index.ts'

/** `refused`: another shard holds a group that the records claim; nothing was recorded. */
export type AppendResult = 'recorded' | 'refused'

export interface JournalOptions {
  ownership: Ownership
  /** Unique for each ownership; resolves writes whose answer was lost. */
  writer: string
  state: RecordedState
  /** Sequence that the last snapshot covers; 0 for none. */
  snapshotSequence: number
  table: Table
  objects: ObjectStore
  flushMs: number
  configVersion: () => number
  /** The owner's lease; checked before each write. */
  mayWrite: () => boolean
  onLost: (reason: string) => void
  log: Logger
  metrics: Metrics
}

/** Value of the row `shard-snapshot/<id>`. */
export interface SnapshotRow {
  key: string
  sequence: number
  /** Rows up to this one were deleted before the snapshot was named. */
  deletedUpTo: number
}

/** What a new owner reads. */
export interface ShardRecord {
  state: RecordedState
  snapshotSequence: number
}
