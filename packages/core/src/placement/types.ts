import type { Resources } from '@gypsumspring/protocol'
import type { EquivalenceClass } from './indexed/GroupIndex.ts'
import type { TaskGroup } from '../types.ts'

/** Why a group was not started when it was last considered. */
export type WaitReason = 'quota' | 'capacity' | 'packing-delay' | 'no-workers'

/** A submitted group and the state of its tasks. */
export interface GroupRecord {
  spec: TaskGroup
  /** Index of its priority class in `PRIORITY_CLASSES`; 0 is the most urgent. */
  rank: number
  /** Position in the order of submission, as a tie-breaker. */
  sequence: number
  /** Waiting tasks in the order in which they were queued. Modified only by `TaskRegistry`. */
  waiting: ReadonlySet<TaskRecord>
  tasks: TaskRecord[]
  cancelled: boolean
  waitReason: WaitReason | undefined
  /** Maintained by the indexed placer; undefined in the naive one. */
  equivalenceClass: EquivalenceClass | undefined
  /** Placed tasks in each spread domain; maintained by the indexed placer for groups that spread. */
  spreadCounts: Map<string, number> | undefined
}

/** State of a task. */
export interface TaskRecord {
  id: string
  group: GroupRecord
  queuedAt: number
  /** Set from placement until release. */
  worker: string | undefined
  startedAt: number
  /** Estimate at the time of placement; undefined when unknown. */
  expectedRunMs: number | undefined
  /** When it was chosen as a preemption victim; undefined unless it is being stopped. */
  stoppingSince: number | undefined
  /** When it was requeued while still placed; it waits again only after its release. */
  requeuedAt: number | undefined
  /** Last reported use. */
  usage: Resources | undefined
  /** Worker of its last recorded outcome, if that was a failure. */
  failedOn: string | undefined
}

/** Capacity reserved for a group that could not start. Only groups of the same or a lower class have to respect it. */
export interface Reservation {
  group: GroupRecord
  /** Number of tasks for which each worker is reserved, by worker. */
  tasks: Map<string, number>
  madeAt: number
  /** Expected start. Tasks expected to end earlier may use the capacity. Minus infinity for a preemption. */
  startsAt: number
  kind: 'preemption' | 'backfill'
}

/** A running task that may be preempted. */
export interface Victim {
  task: TaskRecord
  resources: Resources
  /** Cheaper tasks are stopped first; see `computeVictimCost`. */
  cost: number
}

/** Workers of equal capacity in one failure domain. */
export interface CapacityShape {
  /** Empty when workers of all domains are counted together. */
  failureDomain: string
  capacity: Resources
  count: number
}
