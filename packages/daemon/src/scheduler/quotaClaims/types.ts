import type { Table } from '@gypsumspring/adapters'
import type { Placer } from '@gypsumspring/core'
import type { Resources } from '@gypsumspring/protocol'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { Ownership } from '../../lease/index.ts'

/** Value of the row `quota/<team>`. */
export interface QuotaRow {
  /** Part of the team's quota that each shard may use, by shard id. */
  claims: Record<string, Resources>
}

export interface QuotaClaimsOptions {
  ownership: Ownership
  table: Table
  placer: Placer
  /** Tells whether the owner holds its lease and the placer knows all tasks of the shard. */
  mayWrite: () => boolean
  /** Called after the claims that the placer may use have changed. */
  onChange: () => void
  log: Logger
  metrics: Metrics
}
