/** Longest wait for a TCP connection, in ms. Allows one retransmission of the first packet, which is sent after 1 s. */
export const CONNECT_TIMEOUT_MS = 3_000

/**
 * How long an idle connection is kept, in ms. Above the heartbeat interval of 5 s, so that heartbeats reuse their
 * connection. A shorter time announced by the other side takes precedence.
 */
export const IDLE_CONNECTION_MS = 15_000

/** Connections to the table service and the object store together. */
export const PLATFORM_CONNECTIONS = 16

/** Connections to one worker; more than one, so that a start does not wait behind a slow heartbeat. */
export const WORKER_CONNECTIONS = 4

/** Connections to a runner until `limitConnections` is called; the slots of a runner in docs/design.md. */
export const RUNNER_CONNECTIONS = 8

/** Longest wait for a worker's answer, in ms; below the heartbeat interval of 5 s. */
export const WORKER_TIMEOUT_MS = 2_000

/** Longest wait for the platform's answer, in ms. */
export const STORE_TIMEOUT_MS = 1_000

/** Largest JSON request body, in bytes. */
export const MAX_REQUEST_BYTES = 4 * 1024 * 1024

/** Largest JSON answer that is read, in bytes; a scan of a journal prefix is the largest. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024

/** Largest object, in bytes. */
export const MAX_OBJECT_BYTES = 64 * 1024 * 1024

/** Largest answer body that is read only to keep the connection, in bytes. */
export const MAX_DISCARDED_BYTES = 64 * 1024
