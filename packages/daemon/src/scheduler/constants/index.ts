/** Journal rows between two snapshots. */
export const FLUSHES_PER_SNAPSHOT = 200

/** Records of one journal row; keeps a row well below 1 MiB. */
export const RECORDS_PER_FLUSH = 500

/** Rows deleted in one transaction after a snapshot. */
export const ROWS_PER_DELETION = 100

export const FIRST_STORE_RETRY_MS = 100

export const LONGEST_STORE_RETRY_MS = 2_000

/** Calls to workers that one process has open at once; starts and heartbeats count separately. */
export const WORKER_CALLS_AT_ONCE = 128

/** Time before an unreachable worker is tried again. */
export const WORKER_RETRY_MS = 1_000

/** Starts sent to a worker in one call. */
export const STARTS_PER_CALL = 256

/** Time that a stopped task gets to end by itself. */
export const STOP_GRACE_MS = 10_000

/** Checkpoint calls without success before a task is stopped without a checkpoint. */
export const CHECKPOINT_TRIES = 3

/** Decisions taken without a pause for other work of the process. */
export const DECISIONS_PER_TURN = 200

/** Time in which changes are collected before the next round of decisions. */
export const SETTLE_MS = 10

/** Longest wait after a takeover for the workers to tell their capacity before the first decision. */
export const ADOPTION_MS = 2_000

/** Time between checks for lost workers and due retries. */
export const SWEEP_MS = 1_000

/** Time before a group that another shard holds, or that can't be placed, is tried again. */
export const GROUP_RETRY_MS = 30_000

/** A run of this length ends a series of failures of a service task. */
export const HEALTHY_RUN_MS = 60_000

/** Least time between two transactions on quota claims of one shard; bounds their share of the store's writes. */
export const CLAIM_INTERVAL_MS = 500

/** Time between reads of the claims on a quota that a shard waits for; up to half as much is added at random. */
export const CLAIM_POLL_MS = 2_000

/** Rows of quota claims that are written in one transaction. */
export const CLAIMS_AT_ONCE = 64

/** Rows of quota claims that are read singly in one round; more are read by one scan. */
export const CLAIM_READS_AT_ONCE = 4

/** Time after which a part of a claim that was not used is given back; up to as much is added at random. */
export const CLAIM_IDLE_MS = 5_000

/** Tasks listed by `shard.status`; more would exceed the largest RPC frame (1 MiB). */
export const STATUS_TASKS = 2_000

/** Share of L for which the leases of a worker that does not answer are still renewed; covers a lost answer or two. */
export const RENEWED_WHILE_SILENT = 1 / 3
