import type { PriorityClass } from '@gypsumspring/protocol'

/** Priority classes in queue order. */
export const PRIORITY_CLASSES: PriorityClass[] = ['urgent', 'high', 'normal', 'low']

/**
 * How long a task waits at packing weight 1 before it may use an idle worker, as a share of its estimated run time. In
 * the `packing` benchmark at load 0.4, a share of 0.5 saved twice as many workers as 0.25; a share of 1 saved 1% more,
 * but the mean wait was 1.6 times as long.
 */
export const IDLE_DELAY_SHARE = 0.5

/** Upper bound of this delay, which limits the effect of a wrong estimate. */
export const MAX_IDLE_DELAY_MS = 300_000

/** Run time assumed for a batch task without an estimate, so that reservations can be planned after it. */
export const DEFAULT_RUN_MS = 600_000

/** Expected remaining run time of a task past its estimate, as a share of the time that it has run so far. */
export const OVERRUN_SHARE = 0.25

/** A backfill reservation is replanned with current run times when its expected start has passed by this much. */
export const RESERVATION_OVERDUE_MS = 60_000

/** Victims that have not stopped within this time are no longer counted on, and the group may choose others. */
export const PREEMPTION_TIMEOUT_MS = 10_000

/** Maximum number of workers compared for a preemption. Limits the cost in large cells; small cells stay below it. */
export const MAX_PREEMPTION_CANDIDATES = 64

/** Start times compared for a reservation: this many, or `RESERVATION_CANDIDATES_PER_TASK` a task if that is more. */
export const MIN_RESERVATION_CANDIDATES = 256
export const RESERVATION_CANDIDATES_PER_TASK = 4

/**
 * Evidence that excludes a worker. A failure counts 0.5 for a group without outcomes elsewhere and up to 1 for one that
 * succeeds there, so it takes three failures of the former or two of the latter.
 */
export const EXCLUSION_THRESHOLD = 1.5

/**
 * Maximum number of failures of one group counted against a worker, so that a single group excludes a worker only if it
 * succeeds on others.
 */
export const MAX_COUNTED_FAILURES_PER_GROUP = 2

/** Groups whose failures are tracked for each worker. Bounds memory while no more workers may be excluded. */
export const MAX_TRACKED_GROUPS_PER_WORKER = 16

/** Maximum share of workers excluded at a time, so that a fault of the whole cell does not exclude every worker. */
export const MAX_EXCLUDED_SHARE = 0.25

/** Delay before an excluded worker is probed. Doubles with each failed probe, up to `MAX_PROBE_DELAY_MS`. */
export const PROBE_DELAY_MS = 60_000
export const MAX_PROBE_DELAY_MS = 1_800_000

/** Weight of a new sample in the moving averages of run times. */
export const RUN_TIME_SAMPLE_WEIGHT = 0.3

/** Bounds of a team's learned ratio of actual to declared run time. */
export const RUN_TIME_RATIO_LIMITS = { lowest: 0.1, highest: 10 }
