import type { GroupDefinition, AttemptResult, GroupOutcome, TaskState } from '@gypsumspring/core'
import type { Resources, WorkloadKind } from '@gypsumspring/protocol'

/** A task of a group that this shard holds. */
export interface Task {
  readonly id: string
  readonly group: Group
  state: TaskState
  /** Attempt number of the current or last attempt; 0 before the first. */
  attempt: number
  /** Worker of the current or last attempt. */
  worker: string | null
  resources: Resources
  revision: string
  failures: number
  /** Failures since the last healthy run; sets the delay before the next attempt. */
  failuresInRow: number
  /** The worker has confirmed the attempt to this owner. */
  confirmed: boolean
  /** A start of the attempt was sent and may have had an effect. */
  mayHaveReached: boolean
  /** When a start was last sent or may have been, in ms. */
  lastSentAt: number
  /** Why the attempt is to stop; undefined while it is wanted. */
  stopReason: string | undefined
  result: AttemptResult | undefined
  endedAt: number
  /** When the task began to wait for its present attempt, in ms. */
  queuedAt: number
  startedAt: number
  /** Shown to operators. */
  detail: string
  submission: Submission | undefined
}

export interface Group {
  readonly id: string
  readonly team: string
  readonly kind: WorkloadKind
  /** `claiming` and `foreign` groups are not recorded in this shard. */
  hold: 'unclaimed' | 'claiming' | 'held' | 'foreign'
  /** Absent when the group is no longer in the configuration. */
  definition: GroupDefinition | undefined
  generation: string
  outcome: GroupOutcome | undefined
  readonly tasks: Map<string, Task>
  /** Ids in the definition. */
  wanted: Set<string>
  /** A record about the whole group (finish, restart, release) is being written. */
  closing: boolean
  /** Why the group can't be placed; it is tried again at `retryAt`. */
  impossible: string | undefined
  retryAt: number
  submittedAt: number
}

/** A set of tasks that was given to the placer as one placement group. */
export interface Submission {
  readonly id: string
  readonly group: Group
  /** Digest of everything in the definition that placement depends on. */
  readonly shape: string
  readonly resources: Resources
  readonly revision: string
  /** False after the placer dropped it; its placed tasks keep their capacity until they end. */
  open: boolean
}
