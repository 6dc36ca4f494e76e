/** Writes of one claim before it is given up. */
export const CLAIM_ATTEMPTS = 3

/** Mean wait before a claim is written again, in ms. */
export const CLAIM_BACKOFF_MS = 50

/** How long claims are refused without asking after the store failed to answer, in ms; one request then probes it. */
export const STORE_PROBE_MS = 1000

/** Time between repetitions of store operations that failed, in ms. */
export const BACKLOG_INTERVAL_MS = 1000

/** Longest wait for the entry that holds a claim, in ms. */
export const STATUS_TIMEOUT_MS = 500

/** How often a record that keeps changing is looked at before the caller is told to come back. */
export const LOOKS_AT_RECORD = 4

/** Nonces and ended requests remembered; beyond this the oldest are answered from the store alone. */
export const REMEMBERED = 20_000

/** How long records are kept, in ms. */
export const KEEP_MS = 24 * 3600 * 1000
