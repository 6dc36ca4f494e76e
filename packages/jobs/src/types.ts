import { Type, type Static } from '@sinclair/typebox'
import type { AccountDirectory } from './accounts/AccountDirectory/index.ts'
import { MAX_PAYLOAD_CHARACTERS, MAX_STEPS, MAX_TASKS_PER_STEP } from './constants/index.ts'

/** Resources that a task needs on its worker. */
export const Demand = Type.Object({
  cpuMillis: Type.Number({ minimum: 0 }),
  memoryMb: Type.Number({ minimum: 0 }),
  accelerators: Type.Number({ minimum: 0 })
})
export type Demand = Static<typeof Demand>

/** A set of identical tasks of a job. */
export const Step = Type.Object({
  count: Type.Integer({ minimum: 1, maximum: MAX_TASKS_PER_STEP }),
  demand: Demand,
  /** Estimated run time of one task, in ms. */
  estimatedRunMs: Type.Number({ minimum: 0 }),
  /** Indices of the earlier steps that must be done before this one starts. */
  after: Type.Array(Type.Integer({ minimum: 0 })),
  /** All tasks start together, share a run number and end together. */
  gang: Type.Boolean(),
  /** The gang runs more slowly when its tasks are spread over several racks. */
  sameRack: Type.Boolean(),
  /** Label that the worker must have; empty for any worker. */
  requiredLabel: Type.String(),
  /** Rack that holds the input data; empty for no preference. */
  preferredRack: Type.String(),
  /** Maximum number of the step's tasks on one worker; 0 for no limit. */
  maxPerWorker: Type.Integer({ minimum: 0 }),
  /** A task may have several runs at the same time. Stored, but not used by the scheduler yet. */
  speculative: Type.Boolean(),
  /** The tasks write checkpoints. Stored, but not used by the scheduler yet. */
  savesProgress: Type.Boolean(),
  /** The tasks run until the job is cancelled. */
  longRunning: Type.Boolean(),
  /** Tasks with the same image behave alike; empty when unknown. Stored, but not used by the scheduler yet. */
  image: Type.String(),
  /** Target for the tail latency of a task that serves requests (a serving task), in ms; 0 for other tasks. */
  targetLatencyMs: Type.Number({ minimum: 0 }),
  /**
   * The tasks are filler tasks: they run at best effort on capacity that other tasks leave unused, and their CPU demand
   * does not count against the capacity of the worker.
   */
  fills: Type.Boolean(),
  /** Maximum number of tasks of a long-running step that may be stopped at the same time. */
  maxUnavailable: Type.Integer({ minimum: 0 })
})
export type Step = Static<typeof Step>

export const JobSpec = Type.Object({
  /** Opaque text that is passed to each task. */
  payload: Type.String({ maxLength: MAX_PAYLOAD_CHARACTERS }),
  steps: Type.Array(Step, { minItems: 1, maxItems: MAX_STEPS }),
  /** How many times the steps run at intervals; 0 for a single immediate execution. */
  occurrences: Type.Integer({ minimum: 0 }),
  /** Unix time at which the first occurrence is due, in ms. */
  firstRunAt: Type.Number({ minimum: 0 }),
  /** Time between occurrences, in ms. */
  intervalMs: Type.Number({ minimum: 0 })
})
export type JobSpec = Static<typeof JobSpec>

/**
 * Timing of the policy service for a queue. A queue with this setting may run its tasks only on workers that the policy
 * service allows.
 */
export const AdviceTiming = Type.Object({
  /** Expected base duration of a call, in ms. */
  decisionMs: Type.Number({ minimum: 0 }),
  /** Expected additional duration for each worker named in the call, in ms. */
  perWorkerMs: Type.Number({ minimum: 0 }),
  /** Validity of a ticket, in ms. */
  validMs: Type.Number({ minimum: 0 })
})
export type AdviceTiming = Static<typeof AdviceTiming>

/** A queue as the operator configures it. */
export const Queue = Type.Object({
  name: Type.String(),
  /** Pool whose workers run the queue's tasks. */
  pool: Type.String(),
  /** Lower values are served first; 0 is the most urgent. */
  priority: Type.Integer(),
  /** Number of failed runs of a task (or gang) after which its job fails. */
  maxAttempts: Type.Integer({ minimum: 1 }),
  /**
   * A job is due (its objective) within `stretch` times the duration of its critical path, plus `targetLatencyMs`.
   */
  stretch: Type.Number({ minimum: 0 }),
  targetLatencyMs: Type.Number({ minimum: 0 }),
  advice: Type.Optional(AdviceTiming)
})
export type Queue = Static<typeof Queue>

/** A customer whose calls carry one of its keys. */
export interface ClientAccount {
  name: string
  keys: readonly string[]
  /** Share of the account when there is too little room for all, in jobs per second. */
  weight: number
  /** The most that the account may have running at a time; 0 of a resource means no limit. */
  cap: Demand
}

/** A job as stored on acceptance; immutable. */
export const Job = Type.Object({
  id: Type.String(),
  queue: Queue,
  /** Name of the client account that submitted the job; undefined where none is needed. */
  account: Type.Optional(Type.String()),
  /** Unix time, in ms. */
  acceptedAt: Type.Number(),
  spec: JobSpec
})
export type Job = Static<typeof Job>

export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** Configuration of the queues of one cell. */
export interface QueueConfiguration {
  version: number
  queues: readonly Queue[]
  /** Client accounts; undefined when the deployment has none, and no call needs a key. */
  accounts?: AccountDirectory
}

/** Registry entry of a worker. */
export interface WorkerEntry {
  /** Identifies the worker. A restarted worker may keep its id; `startedAt` tells its incarnations apart. */
  id: string
  /**
   * Unix time at which this incarnation started by the worker's own clock, in ms; undefined when the platform doesn't
   * tell. Clocks step, so that a later incarnation may have the earlier time.
   */
  startedAt?: number
  pool: string
  address: string
  failureDomain: string
  draining: boolean
  /** Minimum time until a draining worker leaves, in ms; undefined when unknown. */
  leavesInMs: number | undefined
  capacity: Demand
  labels: readonly string[]
}

/**
 * Why a run ended:
 * - `done`: it succeeded.
 * - `failed`: it failed.
 * - `stopped`: a stop order ended it.
 * - `lapsed`: its lease expired.
 * - `broken`: another member of its gang ended.
 * - `alone`: the other members of its gang did not start in time.
 */
export type RunEndReason = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** Identifies one task by its job, occurrence, step, and index within the step. */
export interface TaskKey {
  job: string
  occurrence: number
  step: number
  index: number
}

/** A run that a worker reports as running. */
export interface RunningTask {
  key: TaskKey
  run: number
  checkpoint: string
  /** Pace of a filler task in percent of full speed, or progress of a task that ends in percent of its work. */
  percent: number
  /** Tail latency of a serving task, in ms; for other tasks the CPU in use, in thousandths of a processor. */
  usage: number
}

/** A run that a worker reports as ended. */
export interface EndedRun {
  /** Sequence number of the end on this worker; the owner acknowledges ends up to a sequence number. */
  sequence: number
  key: TaskKey
  run: number
  reason: RunEndReason
  checkpoint: string
}

/** Answer of a worker to a poll: its runs, and the ended runs that the owner has not acknowledged. */
export interface WorkerReport {
  /** Start of the incarnation that answers, as in its `WorkerEntry`. */
  startedAt?: number
  /** Reading of the worker's monotonic clock, in ms. */
  clockMs: number
  running: RunningTask[]
  ended: EndedRun[]
  /**
   * The worker may have more ends than it lists. They follow once the listed ones are acknowledged; until then a run
   * that is not in the report may have ended.
   */
  hasMoreEnds: boolean
}

/** Order to a worker that concerns one run of a task. */
export interface RunOrder {
  key: TaskKey
  run: number
}

export interface StartOrder extends RunOrder {
  payload: string
  checkpoint: string
  /** Ticket of the policy service for the worker; empty when the queue has no policy. */
  ticket: string
}

/** Why a worker refused a start order. A refused order has no effect. */
export type StartRefusal =
  'stale-token' | 'old-run' | 'too-late' | 'no-room' | 'no-ticket' | 'unhealthy' | 'invalid' | 'other-incarnation'
