/** Longest payload of a job, in characters, as callers are told. */
export const MAX_SPEC_CHARACTERS = 4000

/** Most steps of a job; bounds the work that one submission can cause. */
export const MAX_STEPS = 64

/** Most tasks of a step; bounds the progress record of a job, which has to fit into one row of the store. */
export const MAX_TASKS_PER_STEP = 1000

/** Most tasks of a job, for the same reason. */
export const MAX_TASKS_PER_JOB = 1500

/** Partitions of the store over which accepted jobs are spread, since a partition executes its writes one by one. */
export const JOB_PARTITIONS = 16

/**
 * Longest lease of the tasks on a worker, in ms. Longer ones ride out longer cuts, shorter ones end sooner after a
 * loss.
 */
export const TASK_LEASE_MS = 5_000

/** Drift of a worker's clock that leases allow for: 2% by the platform's contract, and rounding. */
export const CLOCK_DRIFT = 0.03

/** Added to a lease's end before its tasks count as gone, in ms: timers of the worker fire slightly late. */
export const LEASE_SLACK_MS = 150

/**
 * Time after its last confirmed write for which an owner keeps renewing task leases, in ms; rides out store
 * outages.
 */
export const OWNER_ORPHAN_MS = 8_000

/** Longest time that one look at a worker waits for an end, in ms. It bounds how old the view of a quiet worker is. */
export const LOOK_WAIT_MS = 500

/**
 * Longest wait for the answer to an order, in ms. Workers answer in 4 ms, 99 of 100 in 19 ms under load; a repeat is
 * harmless.
 */
export const ORDER_TIMEOUT_MS = 200

/** Longest wait for the answer to a message between nodes that a caller or a handover waits for, in ms. */
export const ASK_TIMEOUT_MS = 800

/** Time between repeats of an order or look without answer, in ms. */
export const ORDER_RETRY_MS = 150

/** Time between two rounds of periodic work of the owner, in ms. */
export const TICK_MS = 100

/** Time between two reads of the lists of accepted and cancelled jobs, in ms; a safety net for lost notifications. */
export const INTAKE_READ_MS = 800

/** A registered worker that is no longer listed counts as gone after this time, in ms; entries may lapse for 2 s. */
export const UNLISTED_GRACE_MS = 2_500

/** Most rows in one transaction of the owner; the platform accepts 100 entries, and the owner's record takes two. */
export const MAX_ROWS_PER_COMMIT = 98

/** Most bytes in one transaction of the owner; the platform accepts 1 MB, base64 included. */
export const MAX_BYTES_PER_COMMIT = 500_000

/** Least wait before a store write without answer is sent again, in ms; a write takes about 13 ms. */
export const COMMIT_REPEAT_MS = 150

/** A write is sent again after this many times the usual time of a write, since repeats load a slow store further. */
export const COMMIT_REPEAT_FACTOR = 4

/** Most copies of one write that wait for an answer at the same time. */
export const COMMIT_COPIES = 3

/** Calls for advice with a longer expected time than this, in ms, are kept off the machines reserved for quick ones. */
export const SLOW_ADVICE_MS = 150

/** Most workers named in one call for advice. */
export const MAX_ADVICE_WORKERS = 100

/** A ticket is used until this time before its end, in ms; an order takes a few ms to arrive. */
export const TICKET_MARGIN_MS = 250

/** A task that takes this many times its estimate, and `OVERDUE_EXTRA_MS` more, is taken to stand still. */
export const OVERDUE_FACTOR = 3
export const OVERDUE_EXTRA_MS = 2_000

/** A cut-off owner is replaced when its record in the store has not changed for this time, in ms. */
export const OWNER_SILENCE_MS = 700

/** Time between two renewals of the owner's record, in ms. */
export const OWNER_RENEW_MS = 500

/** Share of a worker's leftover processors that a filling task must find, of what it asks for. */
export const FILL_SHARE = 0.5
