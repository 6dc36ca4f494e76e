import type { Machine, ObjectStore, Table, WorkerConnector } from '@gypsumspring/adapters'
import type { GroupDefinition, LeaseRight, Placer } from '@gypsumspring/core'
import type { Manifest, Resources } from '@gypsumspring/protocol'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { Settings } from '../../settings/index.ts'
import type { CallLimiter } from '../_lib/CallLimiter.ts'
import type { RecoveredShard } from '../journal/index.ts'
import type { Ownership } from '../../lease/index.ts'

/** The part of the configuration that concerns one shard. */
export interface ShardConfiguration {
  version: number
  manifests: Manifest[]
  /** Ids of the cancelled workloads by scope. */
  cancelled: Map<string, Set<string>>
  /** All failure domains of the cell. The same array object until a shard is added or removed. */
  failureDomains: string[]
  /** Tells whether this shard is the home of a group: the shard, chosen by rendezvous hashing, that is to claim it. */
  isHome: (group: Pick<GroupDefinition, 'id' | 'failureDomains'>) => boolean
  /** Quotas by team. */
  quotas: Map<string, Resources>
  packingWeight: number
}

export interface ShardOwnerOptions {
  ownership: Ownership
  /** Id of this process. */
  process: string
  /** Unique for each ownership; see `JournalOptions.writer`. */
  writer: string
  /** State read from the store at takeover; the journal keeps it up to date. */
  recovered: RecoveredShard
  placer: Placer
  table: Table
  objects: ObjectStore
  connector: WorkerConnector
  settings: Settings
  /** What the shard's lease permits at this moment. */
  right: () => LeaseRight
  /** Called when another owner of the shard was detected. */
  onLost: (reason: string) => void
  startLimiter: CallLimiter
  callLimiter: CallLimiter
  log: Logger
  metrics: Metrics
}

/** A worker of the shard as listed in the inventory of VMs. */
export type WorkerMachine = Machine
