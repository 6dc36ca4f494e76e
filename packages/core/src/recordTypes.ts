/** What a shard's journal and snapshot hold. */
import type { Resources, WorkloadKind } from '@gypsumspring/protocol'

/** How an attempt ended. `refused` never ran; `lost` ended with its worker; `stopped` includes a lapsed lease. */
export type AttemptEnd = 'succeeded' | 'failed' | 'stopped' | 'checkpointed' | 'lost' | 'refused'

export type GroupOutcome = 'succeeded' | 'failed' | 'cancelled'

export type JournalRecord =
  /** The shard takes a group; written together with the row `assignment/<group>`, which must be absent. */
  | { kind: 'claim', group: string, generation: string, team: string, workload: WorkloadKind }
  /** The group starts again from nothing under a new generation. */
  | { kind: 'restart', group: string, generation: string }
  /** Precedes each start. Attempt numbers rise over the whole shard, lest a worker take a new run for a repeat. */
  | {
    kind: 'intent', task: string, group: string, attempt: number, worker: string, resources: Resources, revision: string
  }
  /** The attempt certainly does not run any more. `failure` raises the task's count of failures. */
  | { kind: 'end', task: string, attempt: number, result: AttemptEnd, failure: boolean }
  /** A batch run or gang is over and never runs again under this generation. */
  | { kind: 'finish', group: string, outcome: GroupOutcome }
  /** The group has left the configuration; its row `assignment/<group>` is deleted in the same transaction. */
  | { kind: 'release', group: string }

export interface JournalRow {
  sequence: number
  /** Incarnation of the process that wrote the row. */
  writer: string
  epoch: number
  /** Configuration that the records follow from; an owner with an older one must not act on it. */
  configVersion: number
  records: JournalRecord[]
}

export interface GroupRecord {
  generation: string
  team: string
  kind: WorkloadKind
  outcome?: GroupOutcome
}

export interface TaskRecord {
  group: string
  attempt: number
  worker: string
  resources: Resources
  /** Digest of what the attempt runs; see `GroupDefinition`. */
  revision: string
  failures: number
  /** Absent while the attempt may run. */
  result?: AttemptEnd
}

/** A snapshot as it is stored. */
export interface ShardSnapshot {
  sequence: number
  lastAttempt: number
  configVersion: number
  groups: Array<[string, GroupRecord]>
  tasks: Array<[string, TaskRecord]>
}
