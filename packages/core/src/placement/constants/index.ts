import type { PriorityClass } from '@gypsumspring/protocol'

/** Priority classes in queue order. */
export const PRIORITY_CLASSES: PriorityClass[] = ['urgent', 'high', 'normal', 'low']

/**
 * Share of its estimated run time that a task waits at packing weight 1 before it may open an idle worker. In the
 * `packing` benchmark at load 0.4, half of it saved twice as many workers as a quarter; all of it 1% more for 1.6 times
 * the mean wait.
 */
export const IDLE_DELAY_SHARE = 0.5

/** Longest such wait; bounds the effect of a wrong estimate. */
export const MAX_IDLE_DELAY_MS = 300_000

/** Run time assumed for a batch task without estimate, so that a reservation can count on its end. */
export const DEFAULT_RUN_MS = 600_000

/** A task past its estimate is expected to run on for this share of the time that it has run. */
export const OVERRUN_SHARE = 0.25

/** A backfill reservation this long past its expected start is planned again from the current run times. */
export const RESERVATION_OVERDUE_MS = 60_000

/** Victims that are not stopped within this time are given up, and the group may choose others. */
export const PREEMPTION_TIMEOUT_MS = 10_000

/** Workers compared for a preemption: bounds its cost in a large cell, and is every worker of a small one. */
export const MAX_PREEMPTION_CANDIDATES = 64

/** Slots compared for a reservation: at least this many, and `RESERVATION_SLOTS_PER_TASK` for each task. */
export const MIN_RESERVATION_CANDIDATES = 256
export const RESERVATION_CANDIDATES_PER_TASK = 4

/** Evidence at which a worker is excluded: three failures of unknown groups, two of groups that succeed elsewhere. */
export const EXCLUSION_THRESHOLD = 1.5

/** Failures of one group that count against a worker; one group alone cannot exclude it without successes elsewhere. */
export const MAX_COUNTED_FAILURES_PER_GROUP = 2

/** Groups whose failures are remembered for a worker; bounds memory while no more workers may be excluded. */
export const MAX_TRACKED_GROUPS_PER_WORKER = 16

/** Largest share of the workers that is excluded at a time: a fault shared by the whole cell excludes no more. */
export const MAX_EXCLUDED_SHARE = 0.25

/** Wait before an excluded worker is probed; doubles with each failed probe. */
export const PROBE_DELAY_MS = 60_000
export const MAX_PROBE_DELAY_MS = 1_800_000

/** Weight of a new sample in a learned run time. */
export const RUN_TIME_SAMPLE_WEIGHT = 0.3

/** Bounds of the learned ratio between actual and declared run times of a team. */
export const RUN_TIME_RATIO_LIMITS = { lowest: 0.1, highest: 10 }
