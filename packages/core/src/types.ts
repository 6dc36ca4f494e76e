/** Types of the decision functions. Times are in ms on a monotonic clock; callers pass the current time in. */
import type {
  PriorityClass, Resources, RpcParams, RpcResult, SlotDemand, SlotHolding, SlotMove, Spread, WorkloadKind
} from '@gypsumspring/protocol'

/** A worker and the properties that placement depends on. */
export interface WorkerNode {
  id: string
  failureDomain: string
  rack: string
  capacity: Resources
}

/** Tasks that are scheduled together: a batch run, a gang, or the part of a service in one failure domain. */
export interface TaskGroup {
  id: string
  team: string
  kind: WorkloadKind
  priority: PriorityClass
  spread: Spread
  preemptible: boolean
  /** Resources of each task. */
  resources: Resources
  tasks: string[]
  /** Allowed failure domains; all if absent. */
  failureDomains?: string[]
  estimatedRunMs?: number
  submittedAt: number
}

export interface Placement {
  task: string
  worker: string
}

/**
 * `place`: the capacity is taken immediately. `preempt`: the caller has to checkpoint, stop and release the victims;
 * their capacity is reserved for the group, which a later decision places. `impossible`: the group leaves the queue;
 * the decision holds until workers or quotas change.
 */
export type PlacementDecision =
  | { kind: 'place', group: string, placements: Placement[] }
  | { kind: 'preempt', group: string, victims: string[] }
  | { kind: 'impossible', group: string, reason: string }

/** Part of a team's quota that one shard may use. */
export interface QuotaClaim {
  /** Resources that the shard's tasks may use. */
  claimed: Resources
  /** The claim plus the quota that was unclaimed when last read. A group that needs more does not block others. */
  maxClaim: Resources
}

/** Tasks of a shard that wait for quota. */
export interface QuotaNeed {
  /** Resources of each task. */
  resources: Resources
  tasks: number
  /** The tasks can only start together. */
  allOrNothing: boolean
}

/** Quota of a team that a shard uses and needs. */
export interface QuotaDemand {
  /** Used by placed tasks. */
  used: Resources
  /** Needed by groups with reserved workers, which start without another quota check. */
  reserved: Resources
  /** In queue order; empty if no task waits for quota. */
  needs: QuotaNeed[]
}

/** Decides where the tasks of one shard run. Keeps track of its capacity, quotas and queue; does no I/O. */
export interface Placer {
  addWorker (worker: WorkerNode): void
  /** Removes a worker; its tasks must be released first. */
  removeWorker (worker: string): void
  /** An unavailable worker (unreachable, leaving or excluded) keeps its tasks and gets no new ones. */
  setWorkerAvailable (worker: string, available: boolean): void
  /** Sets the quotas by team; a team without quota is not limited. */
  setQuotas (quotas: Map<string, Resources>): void
  /**
   * Sets the parts of the quotas that this shard may use; tasks of a team with a quota but no claim do not start. If
   * never called, or called with undefined, the shard may use the full quotas.
   */
  setClaims (claims: Map<string, QuotaClaim> | undefined): void
  /** Quota used and needed by team, without teams that use and need nothing. */
  listQuotaDemands (): Map<string, QuotaDemand>
  /** Sets the weight of packing against waiting time: 0 minimises waiting time, 1 maximises packing. */
  setPackingWeight (weight: number): void
  /**
   * Queues all tasks of a group. Throws if the group is already known, or if one of its tasks belongs to another group
   * or is still placed for a cancelled one, since the task could run twice.
   */
  submit (group: TaskGroup): void
  /** Queues a task of a known group again, for instance after a failure. A placed task is queued on its release. */
  requeue (task: string, now: number): void
  /** After a takeover, records that a task of a submitted group already runs on a worker, and takes its capacity. */
  restore (task: string, worker: string): void
  /** Frees the capacity of a task that has certainly ended. */
  release (task: string): void
  /**
   * Removes a task that is not placed from its group, so that its id may be submitted again in another group. Unknown
   * tasks are ignored.
   */
  withdraw (task: string): void
  /**
   * Removes a group. Groups that have ended must be removed too, since their tasks are kept for requeueing until then.
   * Returns the placed tasks of the group, whose capacity stays taken until each is released.
   */
  cancel (group: string): string[]
  /** Records the measured usage of a task. It affects only the choice of later placements, not the capacity taken. */
  recordUsage (task: string, usage: Resources): void
  /** Records the outcome of an attempt, to estimate run times and to detect workers on which every attempt fails. */
  recordOutcome (task: string, worker: string, outcome: { succeeded: boolean, runMs: number }): void
  /** Makes at most `limit` decisions in queue order. */
  decide (now: number, limit: number): PlacementDecision[]
  /** Explains why a task runs where it does or why it waits, one sentence per line. */
  explain (task: string, now: number): string[]
}

export type RequestClass = 'interactive' | 'normal' | 'bulk'

/** A caller's request and the properties that admission and routing depend on. */
export interface CallerRequest {
  /** Unique within this entry; not the request id given by the caller. */
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
  /** Drained, or on a VM that is leaving; gets no new requests. */
  leaving: boolean
}

/** Result of one exchange with a runner. */
export type ExchangeResult =
  /** A complete response with a status below 500. */
  | 'answered'
  /** A complete response with a status of 500 or above. */
  | 'server-error'
  /** The request certainly did not run. */
  | 'not-run'
  /** The request may have run, but no complete response arrived. */
  | 'unknown'

/**
 * What the caller of the router has to do. `answer` ends the request: forward the runner's response (`answered`), or
 * report `not-run` or `unknown`. `abort` cancels an exchange whose response is no longer needed; its slot is freed only
 * when `finish` is called for it.
 */
export type RouteAction =
  | { kind: 'send', request: string, runner: string, hedge: boolean }
  | { kind: 'abort', request: string, runner: string }
  | { kind: 'answer', request: string, outcome: 'answered', runner: string }
  | { kind: 'answer', request: string, outcome: 'not-run', reason: RefusalReason, retryAfterMs: number }
  | { kind: 'answer', request: string, outcome: 'unknown', retryAfterMs: number }

export interface SlotUsage {
  runner: string
  failureDomain: string
  held: number
  inUse: number
  /** Excluded because of failures, or slow; the allocator must not count its tokens as spare. */
  avoided: boolean
}

/** Admission, queueing, choice of runner, retries and hedging for one endpoint in one entry. Does no I/O. */
export interface EndpointRouter {
  setRunners (runners: RunnerNode[], now: number): RouteAction[]
  setQueueLimit (limit: number): void
  setTeamShares (shares: Map<string, number>): void
  /** Adds slot tokens of a runner. */
  grantSlots (runner: string, slots: number, now: number): RouteAction[]
  /**
   * Sets the time until which tokens of the domain's runners may be used. At that time free tokens are dropped, and
   * tokens in use are dropped when their exchange finishes. The time never moves back; before the first call no token
   * is usable.
   */
  setSlotExpiry (failureDomain: string, at: number): void
  /**
   * Releases up to `slots` tokens of a runner: free ones immediately, the rest as their exchanges finish. Replaces the
   * previous request for that runner, so that 0 cancels it. Returns how many tokens were released immediately.
   */
  releaseSlots (runner: string, slots: number): number
  submit (request: CallerRequest, now: number): RouteAction[]
  /** Reports that an exchange has ended and no longer uses its slot. */
  finish (request: string, runner: string, result: ExchangeResult, now: number): RouteAction[]
  /**
   * Reports that the response of this exchange is being streamed to the caller. The request gets no other response, no
   * retry and no hedge, and its other exchanges are aborted. `finish` still has to be called.
   */
  commit (request: string, runner: string, now: number): RouteAction[]
  /**
   * Reports that the caller has disconnected. A request in flight that is not repeatable continues, and its `answer` is
   * still returned, since a retry may ask for it.
   */
  abandon (request: string, now: number): RouteAction[]
  /** Handles deadlines and hedges that are due. */
  tick (now: number): RouteAction[]
  /** When `tick` has to be called next; undefined if nothing is pending. */
  nextTickAt (): number | undefined
  /** Tokens by runner, without those that have expired by `now`. */
  listUsage (now: number): SlotUsage[]
  queueLength (): number
}

export type SlotReport = Omit<RpcParams<'slots.report'>, 'from' | 'configVersion'>
export type SlotResponse = RpcResult<'slots.report'>

/**
 * A process that may hold tokens, as listed in the allocator's stored row. `retired`: the entry has restarted, so that
 * the process no longer runs.
 */
export interface SlotRegistration {
  entry: string
  incarnation: string
  retired: boolean
}

/** Configured slots of a runner. */
export interface SlotRunner {
  endpoint: string
  runner: string
  slots: number
}

/**
 * Token accounting of the slot allocator of one failure domain: which entry holds how many tokens of each runner.
 * Created with the epoch and the registrations of the stored row at the takeover.
 */
export interface SlotLedger {
  readonly epoch: number
  /** Sets the runners of the domain and their slots; tokens of runners that are not listed are recalled. */
  setRunners (runners: SlotRunner[]): void
  /** Records that a lease renewal sent at `sentAt` has succeeded. This extends the validity of tokens in responses. */
  recordRenewal (sentAt: number): void
  /** Returns the response to a report; a repeated report gets the same response. */
  handleReport (report: SlotReport, now: number): SlotResponse
  /**
   * Returns and clears the entries that have to be notified to report immediately because they hold tokens that the
   * sender of a report lacks. Each entry is notified at most once per report interval. A lost, late or repeated
   * notification affects only when its receiver reports.
   */
  takeNotifications (): string[]
  /** Registrations to write to the row; undefined if it is up to date. Entries missing in the row get no tokens. */
  pendingRegistrations (): SlotRegistration[] | undefined
  /** Records that the row was written with these registrations under this epoch. Only one write at a time. */
  confirmRegistrations (registrations: SlotRegistration[]): void
  /** Records that the VM of an entry is no longer in the inventory. A later report of the entry reverts this. */
  recordEntryRemoval (entry: string, now: number): void
  /** Frees tokens of failed or departed entries once these have certainly expired. */
  tick (now: number): void
  /** When `tick` has to be called next; undefined if nothing is pending. */
  nextTickAt (): number | undefined
  /** Tokens by runner: held by entries, withheld since an entry has not reported after the takeover, and free. */
  getUsage (): { endpoint: string, runner: string, slots: number, held: number, withheld: number, free: number }[]
}

/**
 * Changes that the entry has to apply to its routers, in this order: `setSlotExpiry(domain, validUntil)`,
 * `releaseSlots` for each release, `grantSlots` for each grant. A release of 0 slots cancels an earlier one. The next
 * report shows what was released.
 */
export interface SlotChange {
  /** Absent if the response was not applied. */
  validUntil?: number
  grants: SlotMove[]
  releases: SlotMove[]
}

/** The entry's side of the slot allocation in one failure domain. The token counts are kept by the routers. */
export interface SlotHolder {
  /** Highest known epoch of the allocator. */
  readonly epoch: number
  /** Switches to the allocator with this epoch, as read from the stored row; lower epochs are ignored. */
  followEpoch (epoch: number): void
  /** Creates the next report to the allocator; undefined while the response to the last one may still arrive. */
  createReport (now: number, holdings: SlotHolding[], demands: SlotDemand[], leaving?: boolean): SlotReport | undefined
  /** Applies a response once. Late, repeated and outdated responses change nothing. */
  applyResponse (response: SlotResponse, now: number): SlotChange
  /** Makes the next report due early, at the allocator's request; ignored unless the epoch is the one followed. */
  notify (epoch: number): void
  /** When the next report is due. Has to be called again when requests start to wait, since it is due earlier then. */
  nextReportAt (waiting: number, spare: number): number
}
