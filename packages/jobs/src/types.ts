import { Type, type Static } from '@sinclair/typebox'
import { MAX_SPEC_CHARACTERS, MAX_STEPS, MAX_TASKS_PER_STEP } from './constants/index.ts'

/** What a task needs on its worker. */
export const Demand = Type.Object({
  cpuMillis: Type.Number({ minimum: 0 }),
  memoryMb: Type.Number({ minimum: 0 }),
  accelerators: Type.Number({ minimum: 0 })
})
export type Demand = Static<typeof Demand>

/** A set of alike tasks of a job. */
export const Step = Type.Object({
  count: Type.Integer({ minimum: 1, maximum: MAX_TASKS_PER_STEP }),
  demand: Demand,
  /** Rough estimate of one task's run time, in ms. */
  estimatedRunMs: Type.Number({ minimum: 0 }),
  /** Positions of earlier steps that must be done first. */
  after: Type.Array(Type.Integer({ minimum: 0 })),
  /** All tasks start together, share a run number and end together. */
  gang: Type.Boolean(),
  /** The gang is slower when its tasks are on more than one rack. */
  sameRack: Type.Boolean(),
  /** Label that the worker must have; empty when any will do. */
  requiredLabel: Type.String(),
  /** Rack that holds the data; empty when any will do. */
  preferredRack: Type.String(),
  /** Most tasks of the step on one worker; 0 for no limit. */
  maxPerWorker: Type.Integer({ minimum: 0 }),
  speculative: Type.Boolean(),
  savesProgress: Type.Boolean(),
  /** The tasks run until the job is cancelled. */
  longRunning: Type.Boolean(),
  /** Tasks of one image behave alike; empty when unknown. */
  image: Type.String(),
  /** Limit for the tail of the response times of a task that serves, in ms; 0 for none. */
  targetLatencyMs: Type.Number({ minimum: 0 }),
  /** The tasks use capacity that others leave unused; their processors don't count against the worker. */
  fills: Type.Boolean(),
  /** Tasks of a long-running step that may be stopped at the same time. */
  maxUnavailable: Type.Integer({ minimum: 0 })
})
export type Step = Static<typeof Step>

export const JobSpec = Type.Object({
  /** Passed to each task. */
  payload: Type.String({ maxLength: MAX_SPEC_CHARACTERS }),
  steps: Type.Array(Step, { minItems: 1, maxItems: MAX_STEPS }),
  /** Times that the steps run; 0 for once, at once. */
  occurrences: Type.Integer({ minimum: 0 }),
  /** When the first occurrence is due, in ms since 1970. */
  firstRunAt: Type.Number({ minimum: 0 }),
  /** Time between occurrences, in ms. */
  intervalMs: Type.Number({ minimum: 0 })
})
export type JobSpec = Static<typeof JobSpec>

/** How a policy limits the workers of a queue's steps: an adviser has to be asked. */
export const AdviceTerms = Type.Object({
  /** Time of a decision, in ms, and the time added for each worker that is named. */
  decisionMs: Type.Number({ minimum: 0 }),
  perWorkerMs: Type.Number({ minimum: 0 }),
  /** How long a ticket can be used, in ms. */
  validMs: Type.Number({ minimum: 0 })
})
export type AdviceTerms = Static<typeof AdviceTerms>

/** A queue as the operator configures it. */
export const Queue = Type.Object({
  name: Type.String(),
  /** Pool of workers that runs the queue's tasks. */
  pool: Type.String(),
  /** 0 is served first. */
  priority: Type.Integer(),
  /** Failed runs of a task (or gang) after which its job has failed. */
  maxAttempts: Type.Integer({ minimum: 1 }),
  /** The objective of a job is `stretch` times its longest chain of work, plus `targetLatencyMs`. */
  stretch: Type.Number({ minimum: 0 }),
  targetLatencyMs: Type.Number({ minimum: 0 }),
  advice: Type.Optional(AdviceTerms)
})
export type Queue = Static<typeof Queue>

/** A job as it is stored when it is accepted. It never changes. */
export const Job = Type.Object({
  id: Type.String(),
  queue: Queue,
  /** In ms since 1970. */
  acceptedAt: Type.Number(),
  spec: JobSpec
})
export type Job = Static<typeof Job>

export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** Configuration of the queues of one cell. */
export interface QueueConfiguration {
  version: number
  queues: readonly Queue[]
}

/** A worker as it is registered. */
export interface WorkerEntry {
  /** Changes with each incarnation of the worker. */
  id: string
  pool: string
  address: string
  failureDomain: string
  draining: boolean
  /** Least time until a draining worker leaves, in ms; undefined when unknown. */
  leavesInMs: number | undefined
  capacity: Demand
  labels: readonly string[]
}

export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** Names one task: occurrence, step and position in the step. */
export interface TaskKey {
  job: string
  occurrence: number
  step: number
  index: number
}

export interface RunningTask {
  key: TaskKey
  run: number
  checkpoint: string
  /** Share of its pace at which the task works, 0 to 100. */
  percent: number
  /** Tail of the response times in ms for a task that serves, else processors in use (thousandths). */
  usage: number
}

export interface EndedRun {
  /** Position in the worker's list of ends. */
  sequence: number
  key: TaskKey
  run: number
  how: RunEnd
  checkpoint: string
}

export interface WorkerView {
  /** The worker's steady clock, in ms. */
  clockMs: number
  running: RunningTask[]
  ended: EndedRun[]
}

export interface RunOrder {
  key: TaskKey
  run: number
}

export interface StartOrder extends RunOrder {
  payload: string
  checkpoint: string
  ticket: string
}

/** Why a worker refused a start; it has done nothing then. */
export type StartRefusal = 'stale-token' | 'old-run' | 'too-late' | 'no-room' | 'no-ticket' | 'unhealthy' | 'invalid' | 'other-incarnation'
