/** Largest body accepted from a caller, in bytes. */
export const MAX_REQUEST_BYTES = 1024 * 1024

/** Answers up to this size are read whole before the caller gets the first byte, in bytes. */
export const MAX_WHOLE_ANSWER_BYTES = 1024 * 1024

/**
 * Largest answer to a not-repeatable request that is kept for repeats, in bytes. Longer ones are passed on as they come
 * and repeats are told `unknown`.
 */
export const MAX_STORED_ANSWER_BYTES = 8 * 1024 * 1024

/**
 * An answer whose body is still incomplete this long after its headers is passed on as it comes, in ms. Long enough for
 * 1 MiB from a busy runner, short enough for a person who watches a stream.
 */
export const STREAM_AFTER_MS = 1000

/** Deadline of a request that states none, in ms. */
export const DEFAULT_DEADLINE_MS = 10_000

/** Longest deadline a caller may ask for, in ms; bounds how long a runner can work for an entry that has died. */
export const MAX_DEADLINE_MS = 30_000

/** When a caller may retry a request that the store's outage prevented, in ms. */
export const STORE_RETRY_MS = 5000

/** When a caller may retry a request whose first copy is in flight or whose outcome is unknown, in ms. */
export const REPEAT_RETRY_MS = 1000

/** When a caller may retry at another entry while this one is starting or leaving, in ms. */
export const LEAVING_RETRY_MS = 1000

/** Time for which requests are still accepted after `/readyz` fails, in ms; covers one poll of the balancer. */
export const READY_GRACE_MS = 500

/** Longest time for which a leaving entry tries to give its slot tokens back, in ms; then they are withheld. */
export const GIVE_BACK_MS = 2000

/** Longest wait for the acknowledgement of a slot notification, in ms; the entry reports by itself after as long. */
export const NOTIFY_TIMEOUT_MS = 1000

/** Time between removals of old at-most-once records, in ms. */
export const SWEEP_INTERVAL_MS = 60_000
