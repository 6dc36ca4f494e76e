/** Maximum size of a request body from a caller, in bytes. */
export const MAX_REQUEST_BYTES = 1024 * 1024

/** Maximum size of a response that is buffered completely before the caller gets the first byte, in bytes. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024

/**
 * Maximum size of a response to a non-repeatable request that is stored to answer retries, in bytes. Larger responses
 * are streamed, and retries of their requests get the outcome `unknown`.
 */
export const MAX_STORED_RESPONSE_BYTES = 8 * 1024 * 1024

/**
 * Time after the response headers from which an incomplete body is streamed instead of buffered, in ms. Long enough for
 * a busy runner to send 1 MiB, and short enough for a person who watches a stream.
 */
export const STREAMING_THRESHOLD_MS = 1000

/** Deadline of a request that does not set one, in ms. */
export const DEFAULT_DEADLINE_MS = 10_000

/** Maximum deadline of a request, in ms. Limits how long a runner can keep working for an entry that has crashed. */
export const MAX_DEADLINE_MS = 30_000

/** Time after which a caller may retry a request that was refused because the store is unavailable, in ms. */
export const STORE_RETRY_AFTER_MS = 5000

/** Time after which a caller may retry a request that was abandoned, is in flight or has an unknown outcome, in ms. */
export const DUPLICATE_RETRY_AFTER_MS = 1000

/** Time after which a caller may retry, at another entry, while this one starts or shuts down, in ms. */
export const NOT_READY_RETRY_AFTER_MS = 1000

/** Time during which requests are still accepted after `/readyz` fails, in ms. Covers one poll of the load balancer. */
export const READY_GRACE_MS = 500

/** Time limit for an entry to return its slot tokens on shutdown, in ms. Tokens not returned by then are withheld. */
export const SLOT_RETURN_TIMEOUT_MS = 2000

/** Timeout of a slot notification, in ms. The notified entry sends its next regular report after the same time. */
export const NOTIFY_TIMEOUT_MS = 1000

/** Interval between deletions of expired at-most-once records, in ms. */
export const RECORD_CLEANUP_INTERVAL_MS = 60_000
