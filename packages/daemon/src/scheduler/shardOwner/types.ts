import type { GroupDefinition, AttemptResult, GroupOutcome, TaskState } from '@gypsumspring/core'
import type { Resources, WorkloadKind } from '@gypsumspring/protocol'

/** A task of a group, with its current or last attempt. */
export interface Task {
  readonly id: string
  readonly group: Group
  state: TaskState
  /** Number of the current or last attempt; 0 before the first. */
  attempt: number
  /** Worker of the current or last attempt. */
  worker: string | null
  resources: Resources
  /** Revision of the definition that the attempt runs. */
  revision: string
  failures: number
  /** Failures since the last healthy run; determines the delay before the next attempt. */
  consecutiveFailures: number
  /** The worker has reported the attempt as running to this owner. */
  confirmed: boolean
  /** The worker has or may have received a start of the attempt. */
  startMayHaveArrived: boolean
  /** Latest time at which a start with an unknown outcome may have been sent, in ms. */
  lastStartAt: number
  /** Why the attempt is being stopped; undefined unless it is. */
  stopReason: string | undefined
  result: AttemptResult | undefined
  endedAt: number
  /** When the task began to wait for its current attempt, in ms. */
  queuedAt: number
  startedAt: number
  /** Explanation of the last result, shown to operators. */
  detail: string
  submission: Submission | undefined
}

/** A group of tasks that this shard holds or tries to claim. */
export interface Group {
  readonly id: string
  readonly team: string
  readonly kind: WorkloadKind
  /** Whether this shard holds the group. Only `held` groups are recorded here; another shard holds `foreign` ones. */
  claimState: 'unclaimed' | 'claiming' | 'held' | 'foreign'
  /** Undefined when the group is no longer in the configuration. */
  definition: GroupDefinition | undefined
  generation: string
  outcome: GroupOutcome | undefined
  readonly tasks: Map<string, Task>
  /** Ids of the tasks in the definition. */
  desiredTasks: Set<string>
  /** A record about the whole group (finish, restart or release) is being written. */
  recordPending: boolean
  /** Why the group can't be placed; undefined when it can or was not tried. Retried at `retryAt`. */
  unplaceableReason: string | undefined
  /** Earliest time to claim or place the group again, in ms. */
  retryAt: number
  submittedAt: number
}

/** A set of tasks that was submitted to the placer as one placement group. */
export interface Submission {
  readonly id: string
  readonly group: Group
  /** Serialized fields of the definition that placement depends on. */
  readonly placementKey: string
  readonly resources: Resources
  readonly revision: string
  /** False after the submission was withdrawn; its placed tasks keep their capacity until they end. */
  open: boolean
}
