import type { Resources } from '@gypsumspring/protocol'
import type { EquivalenceClass } from './indexed/GroupIndex.ts'
import type { TaskGroup } from '../types.ts'

/** Why a group did not start at its last turn. */
export type WaitReason = 'quota' | 'capacity' | 'packing-delay' | 'no-workers'

/** A group with the state of its tasks. */
export interface GroupRecord {
  spec: TaskGroup
  /** Position of its class in `PRIORITY_CLASSES`. */
  rank: number
  /** Order of submission; breaks ties. */
  sequence: number
  /** In order of queueing. Only the task book changes it. */
  waiting: ReadonlySet<TaskRecord>
  tasks: TaskRecord[]
  cancelled: boolean
  waitReason: WaitReason | undefined
  /** What it shares with groups alike, and its tasks in each spread domain; kept by the indexed placer. */
  equivalenceClass: EquivalenceClass | undefined
  spreadCounts: Map<string, number> | undefined
}

/** A task; `worker` is set from placement to release. */
export interface TaskRecord {
  id: string
  group: GroupRecord
  queuedAt: number
  worker: string | undefined
  startedAt: number
  /** Estimate at the time of placement; absent when unknown. */
  expectedRunMs: number | undefined
  /** When it was chosen as a victim; absent unless it is being stopped. */
  stoppingSince: number | undefined
  /** Time of a requeue that waits for the release. */
  requeuedAt: number | undefined
  usage: Resources | undefined
  /** Worker of its last attempt, if that failed. */
  failedOn: string | undefined
}

/** Capacity held for a group that could not start. It binds groups of the same and lower classes. */
export interface Reservation {
  group: GroupRecord
  /** Tasks for which each worker is reserved. */
  tasks: Map<string, number>
  madeAt: number
  /** Expected start; a task that ends before it may use the capacity. Minus infinity for preemption. */
  startsAt: number
  kind: 'preemption' | 'backfill'
}

export interface Victim {
  task: TaskRecord
  resources: Resources
  /** Lower is stopped first; see `computeVictimCost`. */
  cost: number
}

/** Workers of equal capacity in one failure domain. */
export interface CapacityShape {
  failureDomain: string
  capacity: Resources
  count: number
}
