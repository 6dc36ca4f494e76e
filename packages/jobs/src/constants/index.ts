/** Maximum length of a job's payload, in characters, as documented to callers. */
export const MAX_PAYLOAD_CHARACTERS = 4000

/** Maximum number of steps of a job; bounds the work that one submission can cause. */
export const MAX_STEPS = 64

/** Maximum number of tasks of a step; bounds the progress of a job, which must fit into one row of the store. */
export const MAX_TASKS_PER_STEP = 1000

/** Maximum number of tasks of a job, for the same reason. */
export const MAX_TASKS_PER_JOB = 1500

/**
 * Number of partitions that accepted jobs are spread over, since a partition executes its writes sequentially: 64 of
 * them execute 160 a second while the store takes 400 ms for each. A new owner reads all of them.
 */
export const JOB_PARTITIONS = 64

/**
 * Maximum lease of the tasks on a worker, in ms. A longer lease survives longer network partitions; a shorter one
 * expires sooner after the worker is lost.
 */
export const TASK_LEASE_MS = 5_000

/** Clock drift of a worker that leases allow for: 2% by the platform's contract, plus rounding. */
export const CLOCK_DRIFT = 0.03

/** Margin after the end of a lease before its tasks count as lost, in ms; a worker's timers fire slightly late. */
export const LEASE_SLACK_MS = 150

/**
 * How long an owner keeps renewing task leases after its last confirmed write, in ms. Another node that has taken over
 * meanwhile waits for these leases too, before it starts the tasks of workers that it can't reach.
 */
export const RENEWAL_GRACE_MS = 500

/** The same while no other node can have taken over, in ms, to survive outages of the store. */
export const STORE_OUTAGE_GRACE_MS = 8_000

/**
 * Duration of a follower's promise not to take the cell over, in ms; three times the interval of heartbeats, and a
 * quarter of a second for delays.
 */
export const TAKEOVER_PROMISE_MS = 1_000

/**
 * The same while the store answers neither the follower nor its peers, in ms. A follower whose heartbeat was lost sends
 * the next one only after a read of the owner's record has timed out, which takes 1.5 s.
 */
export const OUTAGE_PROMISE_MS = 2_500

/** Time that a poll waits for a run to end, in ms; bounds the age of the last report of an idle worker. */
export const POLL_WAIT_MS = 500

/**
 * Polls of idle workers per second above which they wait longer, and the longest wait, in ms. A poll takes the owner
 * 0.15 to 0.3 ms of a processor. Task leases must outlast several polls.
 */
export const MAX_IDLE_POLLS_PER_S = 400
export const MAX_POLL_WAIT_MS = 1_500

/**
 * Maximum time that a poll of a worker with tasks waits while many answers are lost, in ms. The end of a run is noticed
 * only after a lost poll has timed out.
 */
export const LOSSY_POLL_WAIT_MS = 150

/**
 * Timeout of an order to a worker, in ms. Workers answer in 4 ms, and under load within 19 ms at the 99th percentile.
 * Orders are idempotent, so a retry is harmless.
 */
export const ORDER_TIMEOUT_MS = 200

/** Timeout of calls between nodes that a caller or a handover waits for, in ms. */
export const PEER_CALL_TIMEOUT_MS = 800

/** Delay before an unanswered order or poll is retried, in ms. */
export const ORDER_RETRY_MS = 150

/** Interval of the owner's periodic work, in ms. */
export const TICK_MS = 100

/** Interval between reads of the accepted and cancelled jobs, in ms; a fallback for lost notifications. */
export const JOB_LIST_POLL_MS = 800

/**
 * Time after which an unreachable worker that is missing from the registry is removed, in ms. Entries of live workers
 * may be missing for up to 2 s.
 */
export const UNLISTED_GRACE_MS = 2_500

/** Maximum rows in one commit of the owner; the platform accepts 100 entries, and the owner's record takes two. */
export const MAX_ROWS_PER_COMMIT = 98

/** Maximum bytes in one commit of the owner; the platform accepts 1 MB including base64 encoding. */
export const MAX_BYTES_PER_COMMIT = 500_000

/**
 * Longest time that the rows of one commit may take on the link of the owner's machine, in ms. Copies of an unanswered
 * commit are sent from 60 ms on, and copies of a larger one would share the link with it until all of them time out.
 */
export const MAX_COMMIT_TRANSFER_MS = 50

/** Longest time after which the store may apply a write that it has not answered, in ms. */
export const LATE_WRITE_MS = 15_000

/** Delay before a commit whose copies have all failed is tried again, in ms. */
export const COMMIT_RETRY_MS = 150

/** Advice calls expected to take longer than this, in ms, are not sent from the nodes reserved for fast calls. */
export const SLOW_ADVICE_MS = 150

/** Maximum number of workers named in one advice call. */
export const MAX_ADVICE_WORKERS = 100

/** A ticket is not used for a placement if it expires within this time, in ms; an order takes a few ms to arrive. */
export const TICKET_MARGIN_MS = 250

/** A task is overdue after this multiple of its estimated run time plus `OVERDUE_EXTRA_MS`. */
export const OVERDUE_FACTOR = 3
export const OVERDUE_EXTRA_MS = 2_000

/**
 * An unreachable owner is replaced once its record in the store has not changed for this time, in ms; longer than
 * `OWNER_RENEW_MS` and two commits, each of which takes 13 ms.
 */
export const OWNER_TAKEOVER_MS = 450

/** Interval between renewals of the owner's record when there is nothing else to store, in ms. */
export const OWNER_RENEW_MS = 200

/** Minimum unclaimed CPU that a worker must have for a filler task, as a share of the task's CPU demand. */
export const MIN_FILLER_CPU_SHARE = 0.5

/**
 * Time that a filler task waits for unclaimed CPU before it shares the CPU that other tasks have claimed, in ms. Claims
 * of long-running tasks last for good. Steps whose tasks end start one such task per interval, which leaves memory to
 * other jobs.
 */
export const SHARE_CPU_AFTER_MS = 1_000
