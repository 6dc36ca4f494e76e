import type { Table } from '@gypsumspring/adapters'
import type { Logger } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'

/** Value of the row `shard/<id>`; changes only when the owner changes. */
export interface ShardRow {
  owner: string
  /** Incarnation of the owner's process; resolves writes whose answer was lost. */
  writer: string
  address: string
  epoch: number
}

/** Value of the row `shard-renewal/<id>`. */
export interface RenewalRow {
  epoch: number
  count: number
  /** The owner has given the shard up; nobody has to wait for its lease. */
  released?: boolean
}

/** What an owner needs to write under its ownership. */
export interface Ownership {
  shard: string
  epoch: number
  /** Version of `shard/<id>`, which every write of the owner checks. */
  rowVersion: number
  /** When this process learned that it owns the shard, in ms. */
  ownedSince: number
}

export interface LeaseOptions {
  shard: string
  /** Rows are `<prefix>/<shard>` and `<prefix>-renewal/<shard>`. Default: `shard`. */
  prefix?: string
  owner: string
  writer: string
  address: () => string
  table: Table
  terms: { shardLeaseMs: number, runHorizonMs: number }
  /** Number of candidates that go first; 0 when this process is the first. */
  rank: () => number
  onGained: (ownership: Ownership) => void
  onLost: () => void
  log: Logger
  metrics: Metrics
}
