/** Maximum number of attempts to write a claim. */
export const MAX_CLAIM_ATTEMPTS = 3

/** Mean delay before another attempt to write a claim, in ms. */
export const CLAIM_BACKOFF_MS = 50

/** Time for which claims are refused without calling an unresponsive store, in ms; then one request probes it. */
export const STORE_PROBE_INTERVAL_MS = 1000

/** Interval between retries of failed store operations, in ms. */
export const RETRY_INTERVAL_MS = 1000

/** Timeout of a status call to the entry that holds a claim, in ms. */
export const STATUS_TIMEOUT_MS = 500

/** Maximum number of reads of a record that keeps changing before the caller is asked to retry. */
export const MAX_RECORD_READS = 4

/** Maximum number of abandoned nonces and of sent requests kept in memory; older ones are known only to the store. */
export const MAX_REMEMBERED_REQUESTS = 20_000

/** Time for which records are kept, in ms. */
export const RECORD_RETENTION_MS = 24 * 3600 * 1000
