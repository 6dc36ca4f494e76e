/** Largest frame accepted on an internal connection, in bytes; relayed reads of the store reach 1.4 MB. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024

/** Longest wait for a TCP connection to a peer, in ms. Peers are at most a few ms away. */
export const CONNECT_TIMEOUT_MS = 500

/** Longest wait for an answer when the caller names none, in ms. */
export const DEFAULT_CALL_TIMEOUT_MS = 2000

/** Error code for params that violate the method's schema, as JSON-RPC 2.0 defines it. */
export const INVALID_PARAMS = -32602

/** Error code for an unknown method, as JSON-RPC 2.0 defines it. */
export const METHOD_NOT_FOUND = -32601
