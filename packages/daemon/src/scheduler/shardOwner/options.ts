import type { Machine, ObjectStore, Table, WorkerConnector } from '@gypsumspring/adapters'
import type { GroupDefinition, LeaseRight, Placer } from '@gypsumspring/core'
import type { Manifest, Resources } from '@gypsumspring/protocol'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { Settings } from '../../settings/index.ts'
import type { CallLimiter } from '../_lib/CallLimiter.ts'
import type { ShardRecord } from '../journal/index.ts'
import type { Ownership } from '../../lease/index.ts'

/** The part of the configuration that concerns one shard. */
export interface ShardConfiguration {
  version: number
  manifests: Manifest[]
  /** Cancelled workloads by scope. */
  cancelled: Map<string, Set<string>>
  /** All failure domains of the cell; the same array as long as neither they nor the shards change. */
  failureDomains: string[]
  /** Tells whether this shard is the home of a group. */
  isHome: (group: Pick<GroupDefinition, 'id' | 'failureDomains'>) => boolean
  quotas: Map<string, Resources>
  packingWeight: number
}

export interface ShardOwnerOptions {
  ownership: Ownership
  process: string
  writer: string
  record: ShardRecord
  placer: Placer
  table: Table
  objects: ObjectStore
  connector: WorkerConnector
  settings: Settings
  right: () => LeaseRight
  /** Another owner was noticed. */
  onLost: (reason: string) => void
  startLimiter: CallLimiter
  callLimiter: CallLimiter
  log: Logger
  metrics: Metrics
}

/** A worker of the shard as the list of VMs shows it. */
export type WorkerMachine = Machine
