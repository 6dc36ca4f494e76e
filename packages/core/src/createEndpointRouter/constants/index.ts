import type { RequestClass } from '../../types.ts'

/** From the most to the least preferred. */
export const CLASSES: readonly RequestClass[] = ['interactive', 'normal', 'bulk']
/** A waiting class is served after this many requests of more preferred ones, so that it never starves. */
export const SKIP_LIMITS: Record<RequestClass, number> = { interactive: Infinity, normal: 8, bulk: 16 }
/** Part of the drain rate that a class certainly gets because of the skip limits. */
export const LEAST_SHARES: Record<RequestClass, number> = { interactive: 1, normal: 1 / 9, bulk: 1 / 17 }
export const DEFAULT_QUEUE_LIMIT = 200

/** First attempt included. */
export const MAX_ATTEMPTS = 3
/** Retries and hedges allowed per first attempt. */
export const BUDGET_PER_REQUEST = 0.1
/** Lets an endpoint with little traffic retry. */
export const BUDGET_PER_SECOND = 0.5
export const BUDGET_LIMIT = 20

/** Learned latencies kept for percentiles. */
export const LATENCY_WINDOW = 256
/** Hedging starts once this many latencies are known. */
export const HEDGE_SAMPLES = 64
export const HEDGE_PERCENTILE = 0.95
/** Share of the tokens that must be free for a hedge, so that hedges never delay first attempts. */
export const HEDGE_FREE_SHARE = 0.1

/**
 * Weight of the newest latency in a runner's average. At 0.2 with a threshold of three medians, exponential service
 * times alone made healthy runners look slow all the time.
 */
export const LATENCY_WEIGHT = 0.1
/** Time constant with which the figures of an unused runner lose their part in the choice. */
export const MEMORY_MS = 10_000
/** Time constant with which old latencies lose weight against the first new one. */
export const FORGET_MS = 30_000
/** Weight of the newest outcome in a runner's failure average. */
export const FAILURE_WEIGHT = 0.2
/** A runner whose failure average exceeds this is excluded; five failures in a row reach it. */
export const FAILURE_THRESHOLD = 0.6
export const FIRST_EXCLUSION_MS = 1000
export const LONGEST_EXCLUSION_MS = 30_000
/** When more than this share of the runners is excluded, the fault is the endpoint's and exclusion would not help. */
export const EXCLUDED_SHARE_LIMIT = 0.5
/** A runner this many times slower than the endpoint's mean is used only when waiting would take longer. */
export const SLOW_FACTOR = 3
/** A slow runner gets one repeatable request after this time, to see whether it has recovered. */
export const SLOW_PROBE_MS = 5000
/** Random part of a score, as a share. */
export const SCORE_SPREAD = 0.1
/** Candidates compared in one choice; bounds the cost at endpoints with many runners. */
export const CHOICES = 16

/** How often a request is reconsidered that waits although tokens are free, of runners that are excluded or slow. */
export const HELD_BACK_CHECK_MS = 20

/** Time constant of the drain rate, in saturated time. */
export const DRAIN_WINDOW_MS = 2000
/** Saturated time needed before the measured rate is used, in ms and in median latencies. */
export const DRAIN_LEAST_MS = 200
export const DRAIN_LEAST_LATENCIES = 3
/** Lowest rate assumed, in requests per ms. */
export const LEAST_RATE = 1 / 60_000
/** Margin on the expected wait, since service times vary. */
export const WAIT_MARGIN = 1.2
/** An entry whose callers have waited this long without any token refuses new requests. */
export const NO_TOKEN_MS = 1000

export const SHORTEST_RETRY_MS = 50
export const LONGEST_RETRY_MS = 30_000
/** Retry time when nothing was measured, or the cause is not load. */
export const DEFAULT_RETRY_MS = 1000
