import type { RequestClass } from '../../types.ts'

/** Request classes from the most to the least preferred. */
export const CLASSES: readonly RequestClass[] = ['interactive', 'normal', 'bulk']
/** A waiting class is served after this many requests of more preferred classes, to prevent starvation. */
export const SKIP_LIMITS: Record<RequestClass, number> = { interactive: Infinity, normal: 8, bulk: 16 }
/** Minimum share of the drain rate that each class gets because of the skip limits. */
export const MIN_CLASS_SHARES: Record<RequestClass, number> = { interactive: 1, normal: 1 / 9, bulk: 1 / 17 }
export const DEFAULT_QUEUE_LIMIT = 200

/** Maximum number of sends of a request, including the first but not hedges. */
export const MAX_ATTEMPTS = 3
/** Retries and hedges added to the budget per first attempt. */
export const RETRIES_PER_REQUEST = 0.1
/** Retries and hedges added to the budget per second, so that an endpoint with little traffic can retry. */
export const RETRIES_PER_SECOND = 0.5
export const RETRY_BUDGET_LIMIT = 20

/** Number of latencies kept for the mean and the percentiles. */
export const LATENCY_WINDOW_SIZE = 256
/** Answers needed before a request is refused because of them; the 90th percentile of fewer is the slowest answer. */
export const REFUSAL_MIN_SAMPLES = 11
/** Number of latencies needed before requests are hedged. */
export const HEDGE_MIN_SAMPLES = 64
export const HEDGE_PERCENTILE = 0.95
/** Minimum share of free tokens for a hedge, so that hedges never delay first attempts. */
export const HEDGE_MIN_FREE_SHARE = 0.1

/**
 * Weight of the newest latency in a runner's moving average. With a weight of 0.2 and a threshold of three medians,
 * healthy runners with exponential service times were constantly classified as slow.
 */
export const LATENCY_WEIGHT = 0.1
/** Time constant with which the latency and failure rate of an idle runner lose their influence on the choice. */
export const HISTORY_DECAY_MS = 10_000
/** Time constant with which the average latency of an idle runner loses weight against the next sample. */
export const LATENCY_DECAY_MS = 30_000
/** Weight of the newest result in a runner's failure rate. */
export const FAILURE_WEIGHT = 0.2
/** A runner whose failure rate reaches this is excluded; five failures in a row are enough. */
export const FAILURE_THRESHOLD = 0.6
export const INITIAL_EXCLUSION_MS = 1000
export const MAX_EXCLUSION_MS = 30_000
/** If more than this share of the runners is excluded, the fault lies in the endpoint, and exclusions are ignored. */
export const MAX_EXCLUDED_SHARE = 0.5
/** A runner this many times slower than the endpoint's mean is used only if waiting would take longer. */
export const SLOW_FACTOR = 3
/** A slow runner that was idle for this long gets one repeatable request as a probe for recovery. */
export const SLOW_PROBE_MS = 5000
/** Maximum random increase of a runner's score, as a share. */
export const SCORE_JITTER = 0.1
/** Maximum number of runners compared in one choice; limits the cost at endpoints with many runners. */
export const MAX_COMPARED_RUNNERS = 16

/** Interval between dispatches while requests wait and the only free tokens are of excluded or slow runners. */
export const REDISPATCH_INTERVAL_MS = 20

/** Time constant of the drain rate. Only saturated time counts, in which requests wait. */
export const DRAIN_WINDOW_MS = 2000
/** Saturated time needed before the measured drain rate is used, in ms and in multiples of the median latency. */
export const DRAIN_MIN_MS = 200
export const DRAIN_MIN_LATENCIES = 3
/** Lower bound of the measured drain rate, in requests per ms. */
export const MIN_DRAIN_RATE = 1 / 60_000
/** Safety factor on the expected waiting time, since service times vary. */
export const WAIT_MARGIN = 1.2
/** If requests have waited this long while the entry holds no token, it refuses new requests. */
export const NO_TOKEN_TIMEOUT_MS = 1000

export const MIN_RETRY_AFTER_MS = 50
export const MAX_RETRY_AFTER_MS = 30_000
/** Retry time of a refusal if no drain rate is known or load is not the cause. */
export const DEFAULT_RETRY_AFTER_MS = 1000
