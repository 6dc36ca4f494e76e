import type { Resources } from '@gypsumspring/protocol'
import type { WorkerNode } from '../../types.ts'
import type { Reservation, TaskRecord } from '../types.ts'

/** A worker that may start tasks, with its capacity as available to one group. */
export interface WorkerView {
  node: WorkerNode
  tasks: TaskRecord[]
  isProbing: boolean
  free: Resources
  /** Reserved for other groups and not available to this one. */
  reserved: Resources
  /** Measured use of its tasks; the declared amounts for tasks without a usage report. */
  measured: Resources
}

/** The cell as available to one group. */
export interface CellView {
  workers: WorkerView[]
  /** All known workers, including those that may not start tasks. */
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
