/** Resources of the machine, from the settings. */
export interface MachineResources {
  /** Memory of the machine, in MB. */
  memoryMb: number
  /** Descriptors that the process may open. */
  maxFds: number
}

/** Limits of one process that depend on its machine. */
export interface MachineLimits {
  /** Bytes of requests that the process keeps for all its clients. */
  budgetBytes: number
  /** Connections of clients to all servers of the process. */
  maxConnections: number
  /** Accepted sockets that may wait to be opened as connections. */
  maxUnopened: number
}

/** Part of the machine's memory that the process may use: the target leaves a tenth to spare. */
const USABLE_MEMORY = 0.9

/**
 * Memory that is no budget for clients, in MB: 80 when idle, and 50 for the work of the cell's owner and for buffers of
 * received bytes that the garbage collector has not freed yet (it lets 32 MB pass before it looks).
 */
const OWN_MEMORY_MB = 130

/** Part of the remaining memory for the budget. The rest covers parsing and the fragmentation of freed memory. */
const BUDGET_PART = 0.25

/** Smallest budget, in bytes: sixteen bodies of the usual largest size. */
const MIN_BUDGET_BYTES = 4 * 1024 * 1024

/** Largest head of a request, in bytes; `max_header_bytes` of the known deployments. */
export const MAX_HEAD_BYTES = 16_384

/** Memory that an open connection takes, in bytes: socket, parser, the state kept for it, and 16 KB not read yet. */
export const CONNECTION_BYTES = 32 * 1024

/** Part of the budget that idle connections may use. */
const CONNECTION_PART = 0.5

/** Part of the descriptors for clients. The owner of a cell needs about two for each worker and each other node. */
const CLIENT_DESCRIPTORS = 0.6

/** Most sockets that wait to be opened: with 210 MB, 236 are opened every 60 ms, so that the last waits 0.3 s. */
const MAX_UNOPENED = 1_024

/** Fewest connections, so that small settings leave room for some clients. */
const MIN_CONNECTIONS = 64

/**
 * Derives the limits on clients from the resources of the machine.
 *
 * @param resources - Memory and descriptors of the machine.
 * @returns The budget of bytes and the largest numbers of connections and of sockets that wait.
 *
 * @example
 * deriveClientLimits({ memoryMb: 210, maxFds: 2_212 })
 * // { budgetBytes: 15_466_496, maxConnections: 236, maxUnopened: 1_024 }
 */
export function deriveClientLimits ({ memoryMb, maxFds }: MachineResources): MachineLimits {
  const freeMb = memoryMb * USABLE_MEMORY - OWN_MEMORY_MB
  const budgetBytes = Math.max(MIN_BUDGET_BYTES, Math.floor(freeMb * BUDGET_PART * 1024 * 1024))
  const affordable = Math.floor(budgetBytes * CONNECTION_PART / CONNECTION_BYTES)
  const descriptors = Math.floor(maxFds * CLIENT_DESCRIPTORS)
  const maxConnections = Math.max(MIN_CONNECTIONS, Math.min(affordable, descriptors))
  const maxUnopened = Math.max(0, Math.min(MAX_UNOPENED, descriptors - maxConnections))
  return { budgetBytes, maxConnections, maxUnopened }
}
