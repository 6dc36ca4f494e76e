/** Types shared by the decisions. Times are ms on a monotonic clock that the caller reads and passes in. */
import type { PriorityClass, Resources, Spread, WorkloadKind } from '@gypsumspring/protocol'

/** A worker as placement sees it. */
export interface WorkerNode {
  id: string
  failureDomain: string
  rack: string
  capacity: Resources
}

/** Tasks that are decided on together: a batch run, a gang, or the share of a service in one failure domain. */
export interface TaskGroup {
  id: string
  team: string
  kind: WorkloadKind
  priority: PriorityClass
  spread: Spread
  preemptible: boolean
  /** Needs of each task. */
  resources: Resources
  tasks: string[]
  /** Failure domains allowed; absent means all. */
  failureDomains?: string[]
  estimatedRunMs?: number
  submittedAt: number
}

export interface Placement {
  task: string
  worker: string
}

/**
 * `place` takes the capacity at once. `preempt` asks the caller to checkpoint and stop the victims and to release them;
 * the capacity they free is reserved for the group, which is placed by a later decision. `impossible` is final until
 * workers or quotas change; the group leaves the queue.
 */
export type PlacementDecision =
  | { kind: 'place', group: string, placements: Placement[] }
  | { kind: 'preempt', group: string, victims: string[] }
  | { kind: 'impossible', group: string, reason: string }

/** Decides where tasks run. Owns the view of capacity, quotas and the queue of one shard; does no I/O. */
export interface Placer {
  addWorker (worker: WorkerNode): void
  /** Forgets a worker; tasks there must be released first. */
  removeWorker (worker: string): void
  /** An unavailable worker keeps its tasks and gets no new ones (unreachable, leaving, or excluded). */
  setWorkerAvailable (worker: string, available: boolean): void
  /** A team without quota is not limited. */
  setQuotas (quotas: Map<string, Resources>): void
  /** 0 minimises waiting time, 1 maximises packing. */
  setPackingWeight (weight: number): void
  /**
   * Queues a group; all its tasks wait. Throws when the group is known, or one of its tasks is known under another
   * group or held by a cancelled one: the task could run twice.
   */
  submit (group: TaskGroup): void
  /** Queues a task of a known group again, after a failed or lost attempt; while it is held, as of its release. */
  requeue (task: string, now: number): void
  /** Marks a task of a submitted group as already running on a worker (takeover); takes capacity without deciding. */
  restore (task: string, worker: string): void
  /** Frees the capacity of a task that has ended for certain. */
  release (task: string): void
  /**
   * Drops a group, also one that has ended: until then its tasks can be queued again and are remembered. Returns its
   * placed tasks, whose capacity stays taken until each is released.
   */
  cancel (group: string): string[]
  /** Measured use, for the choice of later placements only; never frees declared capacity. */
  recordUsage (task: string, usage: Resources): void
  /** Outcome of an attempt, for run-time learning and the detection of workers that fail everything. */
  recordOutcome (task: string, worker: string, outcome: { succeeded: boolean, runMs: number }): void
  /** Makes at most `limit` decisions in queue order. */
  decide (now: number, limit: number): PlacementDecision[]
  /** Why a task is where it is, or why it waits; one sentence a line. */
  explain (task: string, now: number): string[]
}

export type RequestClass = 'interactive' | 'normal' | 'bulk'

/** A caller's request as admission and routing see it. */
export interface CallerRequest {
  /** Unique within this entry; not the caller's own request id. */
  id: string
  team: string
  class: RequestClass
  arrivedAt: number
  deadline: number
  repeatable: boolean
}

export type RefusalReason =
  | 'queue-full'
  | 'deadline-too-short'
  | 'deadline-passed'
  | 'no-runner'
  | 'team-limit'
  | 'retries-exhausted'
  | 'leaving'

export interface RunnerNode {
  id: string
  failureDomain: string
  slots: number
  /** Drained, or its VM is leaving: gets no new request. */
  leaving: boolean
}

/** How one exchange with a runner ended. */
export type ExchangeResult =
  /** A whole answer, whatever its status below 500. */
  | 'answered'
  /** A whole answer with a status of 500 or above. */
  | 'server-error'
  /** The request certainly did not run. */
  | 'not-run'
  /** The request may have run, and no whole answer arrived. */
  | 'unknown'

/**
 * What the caller of the router has to do. `answer` ends the request: forward what the exchange brought (`answered`),
 * or say `not-run` or `unknown`. `abort` ends an exchange whose answer is no longer wanted; its slot is free only when
 * `finish` is called for it.
 */
export type RouteAction =
  | { kind: 'send', request: string, runner: string, hedge: boolean }
  | { kind: 'abort', request: string, runner: string }
  | { kind: 'answer', request: string, outcome: 'answered', runner: string }
  | { kind: 'answer', request: string, outcome: 'not-run', reason: RefusalReason, retryAfterMs: number }
  | { kind: 'answer', request: string, outcome: 'unknown', retryAfterMs: number }

export interface SlotUse {
  runner: string
  held: number
  inUse: number
}

/** Admission, queueing, choice of runner, retries and hedging for one endpoint in one entry. Does no I/O. */
export interface EndpointRouter {
  setRunners (runners: RunnerNode[], now: number): RouteAction[]
  setQueueLimit (limit: number): void
  setTeamShares (shares: Map<string, number>): void
  /** Slot tokens received for a runner. */
  grantSlots (runner: string, slots: number, now: number): RouteAction[]
  /** Gives up to `slots` free tokens of a runner back; returns how many. */
  releaseSlots (runner: string, slots: number): number
  submit (request: CallerRequest, now: number): RouteAction[]
  /** The exchange has ended and no longer uses its slot. */
  finish (request: string, runner: string, result: ExchangeResult, now: number): RouteAction[]
  /** The caller has gone away. */
  abandon (request: string, now: number): RouteAction[]
  /** Deadlines and hedges that are due. */
  tick (now: number): RouteAction[]
  /** When `tick` has to be called next; undefined when nothing is due. */
  nextTickAt (): number | undefined
  use (): SlotUse[]
  waiting (): number
}
