/** Maximum size of an RPC frame, in bytes. Responses to relayed store reads reach 1.4 MB. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024

/** Timeout for establishing a TCP connection to a peer, in ms. The round trip to a peer takes at most a few ms. */
export const CONNECT_TIMEOUT_MS = 500

/** Default timeout of a call, in ms. */
export const DEFAULT_CALL_TIMEOUT_MS = 2000

/** Longest time by which arriving frames extend the timeout of a call, in ms. At 10 Mbit/s the largest takes 4 s. */
export const MAX_TIMEOUT_EXTENSION_MS = 10_000

/** JSON-RPC 2.0 error code for params that violate the method's schema. */
export const INVALID_PARAMS = -32602

/** JSON-RPC 2.0 error code for an unknown method. */
export const METHOD_NOT_FOUND = -32601

/** Time after which a client closes a connection over which nothing is sent or received, in ms. */
export const IDLE_CONNECTION_MS = 30_000

/**
 * Time after which a server closes a connection on which nothing arrives or is sent, in ms; longer than for clients, so
 * that only connections whose client is gone reach it.
 */
export const ABANDONED_CONNECTION_MS = 90_000
