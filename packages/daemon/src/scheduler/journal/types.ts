import type { ObjectStore, Table } from '@gypsumspring/adapters'
import type { RecordedState } from '@gypsumspring/core'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { Ownership } from '../../lease/index.ts'

/** `refused`: the records claim a group that another shard holds, and none of them was recorded. */
export type AppendResult = 'recorded' | 'refused'

export interface JournalOptions {
  ownership: Ownership
  /** Unique for each ownership; identifies this owner's rows when the response to a write was lost. */
  writer: string
  state: RecordedState
  /** Sequence that the last snapshot covers; 0 without a snapshot. */
  snapshotSequence: number
  table: Table
  objects: ObjectStore
  /** Minimum time between two writes, in ms. */
  flushMs: number
  configVersion: () => number
  /** Tells whether the owner's lease permits a write; checked before each one. */
  mayWrite: () => boolean
  /** Called when another owner has written to the journal or replaced this one. */
  onLost: (reason: string) => void
  log: Logger
  metrics: Metrics
}

/** Value of the row `shard-snapshot/<id>`. */
export interface SnapshotRow {
  /** Key of the snapshot in the object store. */
  key: string
  /** Last journal row that the snapshot covers. */
  sequence: number
  /** Journal rows up to this sequence were deleted before this row was written. */
  deletedUpTo: number
}

/** State of a shard as a new owner reads it from the store. */
export interface RecoveredShard {
  state: RecordedState
  snapshotSequence: number
}
