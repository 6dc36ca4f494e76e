import type { Resources } from '@gypsumspring/protocol'
import type { WorkerNode } from '../../types.ts'
import type { Reservation, TaskRecord } from '../types.ts'

/** A worker that may start tasks, as one group sees it. */
export interface WorkerView {
  node: WorkerNode
  tasks: TaskRecord[]
  isProbing: boolean
  free: Resources
  /** Reserved for others and binding the group. */
  reserved: Resources
  measured: Resources
}

export interface CellView {
  workers: WorkerView[]
  /** Every known worker, also those that may not start tasks. */
  nodes: ReadonlyMap<string, WorkerNode>
  packingWeight: number
}

export interface Assignment {
  worker: string
}

export interface PreemptionPlan {
  reservation: Reservation
  victims: TaskRecord[]
}
