/** Records of a shard's journal and its snapshots. */
import type { Resources, WorkloadKind } from '@gypsumspring/protocol'

/**
 * How an attempt ended. `refused`: it never ran; `lost`: it ended together with its worker; `stopped`: on request or
 * because its lease expired.
 */
export type AttemptResult = 'succeeded' | 'failed' | 'stopped' | 'checkpointed' | 'lost' | 'refused'

export type GroupOutcome = 'succeeded' | 'failed' | 'cancelled'

export type JournalRecord =
  /** The shard claims a group. Written in one transaction with the row `assignment/<group>`, which must be absent. */
  | { kind: 'claim', group: string, generation: string, team: string, workload: WorkloadKind }
  /** The group starts over under a new generation. */
  | { kind: 'restart', group: string, generation: string }
  /**
   * Written before each start. Attempt numbers increase over the whole shard, so that a worker never takes a new
   * attempt for a repeated request.
   */
  | {
    kind: 'intent', task: string, group: string, attempt: number, worker: string, resources: Resources, revision: string
  }
  /** The attempt certainly no longer runs. `failure` increments the task's failure count. */
  | { kind: 'end', task: string, attempt: number, result: AttemptResult, failure: boolean }
  /** A batch run or gang has finished and never runs again under this generation. */
  | { kind: 'finish', group: string, outcome: GroupOutcome }
  /** The group was removed from the configuration. The row `assignment/<group>` is deleted in the same transaction. */
  | { kind: 'release', group: string }

export interface JournalRow {
  sequence: number
  /** Incarnation of the process that wrote the row. */
  writer: string
  epoch: number
  /** Configuration version that the records are based on; an owner with an older version must not act on them. */
  configVersion: number
  records: JournalRecord[]
}

export interface RecordedGroup {
  generation: string
  team: string
  kind: WorkloadKind
  outcome?: GroupOutcome
}

export interface RecordedTask {
  group: string
  attempt: number
  worker: string
  resources: Resources
  /** Digest of the resources and payload of the attempt; see `GroupDefinition`. */
  revision: string
  failures: number
  /** Absent while the attempt may run. */
  result?: AttemptResult
}

/** Stored snapshot of a `RecordedState`. */
export interface ShardSnapshot {
  sequence: number
  lastAttempt: number
  configVersion: number
  groups: Array<[string, RecordedGroup]>
  tasks: Array<[string, RecordedTask]>
}
