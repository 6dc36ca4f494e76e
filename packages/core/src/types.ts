/** Types shared by the decisions. Times are ms on a monotonic clock that the caller reads and passes in. */
import type {
  PriorityClass, Resources, RpcParams, RpcResult, SlotDemand, SlotHolding, SlotMove, Spread, WorkloadKind
} from '@gypsumspring/protocol'

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

/** Share of a team's quota that one shard may use. */
export interface QuotaClaim {
  /** What the shard's tasks may take. */
  claimed: Resources
  /** The claim and what no shard had claimed when last read. A group that needs more holds back no other group. */
  reachable: Resources
}

/** Tasks that wait for quota in a shard. */
export interface QuotaNeed {
  /** Needs of each task. */
  resources: Resources
  tasks: number
  /** All tasks start together. */
  whole: boolean
}

/** What a shard needs of a team's quota. */
export interface QuotaDemand {
  /** Taken by placed tasks. */
  used: Resources
  /** Needed by groups for which workers are reserved; they start without a new decision on quota. */
  reserved: Resources
  /** In queue order; empty when nothing waits for quota. */
  needs: QuotaNeed[]
}

/** Decides where tasks run. Owns the view of capacity, quotas and the queue of one shard; does no I/O. */
export interface Placer {
  addWorker (worker: WorkerNode): void
  /** Forgets a worker; tasks there must be released first. */
  removeWorker (worker: string): void
  /** An unavailable worker keeps its tasks and gets no new ones (unreachable, leaving, or excluded). */
  setWorkerAvailable (worker: string, available: boolean): void
  /** A team without quota is not limited. */
  setQuotas (quotas: Map<string, Resources>): void
  /**
   * Shares of the quotas that this shard may use; a team with a quota and without a claim starts nothing. Never called
   * or with undefined: the whole quotas.
   */
  setClaims (claims: Map<string, QuotaClaim> | undefined): void
  /** What is used and needed of the quotas, by team; teams that use and need nothing are left out. */
  listQuotaDemands (): Map<string, QuotaDemand>
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
   * Takes a task that holds no worker out of its group, so that its id may be submitted again in another group. Unknown
   * tasks are ignored.
   */
  withdraw (task: string): void
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
  failureDomain: string
  held: number
  inUse: number
  /** Excluded because it fails, or slow; the allocator must not count its tokens as spare. */
  avoided: boolean
}

/** Admission, queueing, choice of runner, retries and hedging for one endpoint in one entry. Does no I/O. */
export interface EndpointRouter {
  setRunners (runners: RunnerNode[], now: number): RouteAction[]
  setQueueLimit (limit: number): void
  setTeamShares (shares: Map<string, number>): void
  /** Slot tokens received for a runner. */
  grantSlots (runner: string, slots: number, now: number): RouteAction[]
  /**
   * Tokens of the domain's runners may be used before `at`. From then on free tokens are dropped, and those in use when
   * their exchange finishes; an earlier time than the last one given is ignored. Before the first call none is usable.
   */
  setSlotExpiry (failureDomain: string, at: number): void
  /**
   * Gives up to `slots` tokens of a runner back: free ones at once, the rest as their exchanges finish. Replaces the
   * last request for that runner, so that 0 cancels it. Returns how many were given back at once.
   */
  releaseSlots (runner: string, slots: number): number
  submit (request: CallerRequest, now: number): RouteAction[]
  /** The exchange has ended and no longer uses its slot. */
  finish (request: string, runner: string, result: ExchangeResult, now: number): RouteAction[]
  /**
   * The answer of this exchange is being passed on to the caller as it comes: the request gets no other answer, no
   * retry and no hedge, and its other exchanges are aborted. `finish` still follows.
   */
  commit (request: string, runner: string, now: number): RouteAction[]
  /**
   * The caller has gone away. A not-repeatable request in flight goes on, and its answer is still handed out, since a
   * repeat may ask for it.
   */
  abandon (request: string, now: number): RouteAction[]
  /** Deadlines and hedges that are due. */
  tick (now: number): RouteAction[]
  /** When `tick` has to be called next; undefined when nothing is due. */
  nextTickAt (): number | undefined
  /** Tokens by runner, without those that have expired by `now`. */
  use (now: number): SlotUse[]
  waiting (): number
}

export type SlotReport = Omit<RpcParams<'slots.report'>, 'from' | 'configVersion'>
export type SlotAnswer = RpcResult<'slots.report'>

/** A process that may hold tokens, as listed in the allocator's row. `retired` means that its entry has restarted. */
export interface SlotRegistration {
  entry: string
  incarnation: string
  retired: boolean
}

/** Slots of a runner as configured. */
export interface SlotRunner {
  endpoint: string
  runner: string
  slots: number
}

/**
 * The allocator of one failure domain: who holds how many tokens of each runner. Created with the epoch and the
 * registrations of the row at the time of the takeover.
 */
export interface SlotLedger {
  readonly epoch: number
  /** Runners of the domain with their slots; tokens of absent ones are recalled. */
  setRunners (runners: SlotRunner[]): void
  /** A lease renewal sent at `sentAt` has succeeded. The lease is part of how long the answers' tokens are valid. */
  renewed (sentAt: number): void
  /** The answer to a report. Same report, same answer. */
  handle (report: SlotReport, now: number): SlotAnswer
  /**
   * Entries that hold tokens which the sender of a report lacks, and have to be told to report at once. Each is named
   * at most once per report interval. A notification that is lost, late or repeated changes only when its receiver
   * reports.
   */
  takeNotices (): string[]
  /** What the row has to hold; undefined while it holds that already. Entries not in the row get no token. */
  pendingRegistrations (): SlotRegistration[] | undefined
  /** The row was written with these registrations, under this ledger's epoch. One write at a time. */
  confirmRegistrations (registrations: SlotRegistration[]): void
  /** The VM of an entry that was in the inventory is no longer listed. A later report of the entry undoes it. */
  leave (entry: string, now: number): void
  /** Ends withholding that is due. */
  tick (now: number): void
  /** When `tick` has to be called next; undefined when nothing is due. */
  nextTickAt (): number | undefined
  /** Per runner: tokens counted as with entries, kept back for entries that have not answered, and free. */
  usage (): { endpoint: string, runner: string, slots: number, held: number, withheld: number, free: number }[]
}

/**
 * What the entry passes on to its routers, in this order: `setSlotExpiry(domain, validUntil)`, `releaseSlots` for each
 * release, `grantSlots` for each grant. A release of 0 slots cancels an earlier one. The next report tells what was
 * released.
 */
export interface SlotChange {
  /** Absent when the answer was refused. */
  validUntil?: number
  grants: SlotMove[]
  releases: SlotMove[]
}

/** The entry's side of the allocation, one for each failure domain. The routers own the counts of tokens. */
export interface SlotHolder {
  /** Highest epoch known. */
  readonly epoch: number
  /** The row names an allocator with this epoch; lower ones are ignored. */
  follow (epoch: number): void
  /** The report to send to the allocator; undefined while the answer to the last one may still arrive. */
  report (now: number, holdings: SlotHolding[], demands: SlotDemand[], leaving?: boolean): SlotReport | undefined
  /** Applies an answer once; late, repeated and outdated ones change nothing. */
  apply (answer: SlotAnswer, now: number): SlotChange
  /** The allocator asks for a report at once; ignored under another epoch than the one followed. */
  notify (epoch: number): void
  /** When to report next. Call it again when requests begin to wait, which makes the report due earlier. */
  nextReportAt (waiting: number, spare: number): number
}
