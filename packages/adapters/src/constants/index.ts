/** Timeout for establishing a TCP connection, in ms. Allows one retransmission of the SYN packet, sent after 1 s. */
export const CONNECT_TIMEOUT_MS = 3_000

/**
 * How long an idle connection is kept open, in ms. Longer than the heartbeat interval of 5 s, so that heartbeats reuse
 * their connection. A shorter keep-alive timeout announced by the server takes precedence.
 */
export const IDLE_CONNECTION_TIMEOUT_MS = 15_000

/** Maximum number of connections to the platform, shared by the table service, the object store and the inventory. */
export const MAX_PLATFORM_CONNECTIONS = 16

/** Maximum number of connections to one worker; more than one, so that a start need not wait for a slow heartbeat. */
export const MAX_CONNECTIONS_PER_WORKER = 4

/** Connection limit of a runner until `limitConnections` is called; equals the slots of a runner in docs/design.md. */
export const DEFAULT_CONNECTIONS_PER_RUNNER = 8

/** Default timeout of calls to a worker, in ms; shorter than the heartbeat interval of 5 s. */
export const DEFAULT_WORKER_TIMEOUT_MS = 2_000

/** Default timeout of calls to the platform, in ms. */
export const DEFAULT_STORE_TIMEOUT_MS = 1_000

/** Maximum size of a JSON request body, in bytes. */
export const MAX_REQUEST_BYTES = 4 * 1024 * 1024

/** Maximum size of a JSON response body, in bytes. The largest responses are scans of a journal prefix. */
export const MAX_RESPONSE_BYTES = 32 * 1024 * 1024

/** Maximum size of an object, in bytes. */
export const MAX_OBJECT_BYTES = 64 * 1024 * 1024

/** Maximum size of a response body that is read and discarded to keep the connection reusable, in bytes. */
export const MAX_DISCARDED_BYTES = 64 * 1024
