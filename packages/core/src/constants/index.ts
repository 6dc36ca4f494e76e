/**
 * Factor applied to every wait for the lease of another process to expire. Each monotonic clock is assumed to drift by
 * at most 1% from true time, and the worst ratio of two clocks, 1.01 / 0.99 = 1.0202, is below this factor.
 */
export const DRIFT_MARGIN = 1.03
