import type { Resources } from '@gypsumspring/protocol'

/** Journal rows between two snapshots. */
export const FLUSHES_PER_SNAPSHOT = 200

/** Maximum number of records in one journal row; keeps a row well below 1 MiB. */
export const MAX_RECORDS_PER_FLUSH = 500

/** Maximum number of journal rows deleted in one transaction after a snapshot. */
export const MAX_ROWS_PER_DELETION = 100

export const MIN_STORE_RETRY_DELAY_MS = 100

export const MAX_STORE_RETRY_DELAY_MS = 2_000

/** Maximum number of open calls from one process to workers. Starts and all other calls have separate limits. */
export const MAX_CONCURRENT_WORKER_CALLS = 128

/** Delay before an unreachable worker is called again. */
export const WORKER_RETRY_DELAY_MS = 1_000

/** Maximum number of starts sent to a worker in one call. */
export const MAX_STARTS_PER_CALL = 256

/** Time that a task has to end by itself after it was asked to stop. */
export const STOP_GRACE_PERIOD_MS = 10_000

/** Maximum number of checkpoint calls for one stop; after that the task is stopped without a checkpoint. */
export const MAX_CHECKPOINT_CALLS = 3

/** Maximum number of placement decisions in one round, so that the process can do other work between rounds. */
export const MAX_DECISIONS_PER_ROUND = 200

/** Minimum delay between a change and the next round of decisions, so that one round handles several changes. */
export const ROUND_DELAY_MS = 10

/** Maximum wait after a takeover for the workers to report their capacity before the first decision. */
export const TAKEOVER_WAIT_MS = 2_000

/** Interval between checks for lost workers and groups that are due for a retry. */
export const SWEEP_INTERVAL_MS = 1_000

/** Delay before the shard retries a group that another shard holds or that can't be placed. */
export const GROUP_RETRY_DELAY_MS = 30_000

/** Run time after which a failure of a service task starts a new series of consecutive failures. */
export const HEALTHY_RUN_MS = 60_000

/** Minimum time between two rounds of quota claims of one shard; limits their share of the store's writes. */
export const MIN_CLAIM_INTERVAL_MS = 500

/** Interval between reads of the claims on a quota that a shard waits for, plus up to half as much random jitter. */
export const CLAIM_POLL_INTERVAL_MS = 2_000

/** Maximum number of rows of quota claims written in one transaction. */
export const MAX_CLAIMS_PER_TRANSACTION = 64

/** Maximum number of rows of quota claims read one by one in a round; more than that are read by a scan. */
export const MAX_SINGLE_CLAIM_READS = 4

/** Time after which the unused part of a claim is returned, plus up to as much random jitter. */
export const CLAIM_IDLE_TIMEOUT_MS = 5_000

/** Maximum number of tasks listed by `shard.status`; more would exceed the largest RPC frame (1 MiB). */
export const MAX_STATUS_TASKS = 2_000

/**
 * Share of the task lease (`taskLeaseMs`) for which the leases on a worker that does not respond are still renewed;
 * tolerates one or two lost responses.
 */
export const SILENT_RENEWAL_SHARE = 1 / 3

export const ZERO_RESOURCES: Readonly<Resources> = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
