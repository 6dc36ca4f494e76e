import type { Table } from '@gypsumspring/adapters'
import type { Logger } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'

/** Value of the row `shard/<id>`; changes only when the owner changes. */
export interface ShardRow {
  owner: string
  /** Incarnation of the owner's process, by which it recognizes its own write after a lost response. */
  writer: string
  address: string
  epoch: number
}

/** Value of the row `shard-renewal/<id>`. */
export interface RenewalRow {
  epoch: number
  count: number
  /** True after the owner released the shard, so that candidates need not wait for the lease to expire. */
  released?: boolean
}

/** One term of ownership of a shard; every write of the owner is conditional on it. */
export interface Ownership {
  shard: string
  epoch: number
  /** Version of the row `shard/<id>`, which every write of the owner checks. */
  rowVersion: number
  /** When this process learned that it owns the shard, in ms. */
  ownedSince: number
}

export interface LeaseOptions {
  shard: string
  /** Rows are `<prefix>/<shard>` and `<prefix>-renewal/<shard>`. Default: `shard`. */
  prefix?: string
  owner: string
  /** Incarnation of this process. */
  writer: string
  address: () => string
  table: Table
  durations: { shardLeaseMs: number, runHorizonMs: number }
  /** Number of candidates that take precedence over this process in a takeover. */
  rank: () => number
  onGained: (ownership: Ownership) => void
  onLost: () => void
  log: Logger
  metrics: Metrics
}
