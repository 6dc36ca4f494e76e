/**
 * Factor on every wait for another process's lease. Each monotonic clock drifts at most 1% from true time;
 * 1.01 / 0.99 = 1.0202 is below it.
 */
export const DRIFT_MARGIN = 1.03
