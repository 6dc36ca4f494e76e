import type { Socket } from 'node:net'
import type { LimitLog, LimitMetrics, LimitName, ServerKind } from '../types.ts'

/** Shortest time between two log lines about one limit of one server, in ms. */
const LOG_INTERVAL_MS = 1_000

/** Counts how often each limit was reached, and logs it at most once a second for each limit and server. */
export class LimitReports {
  readonly #metrics: LimitMetrics
  readonly #log: LimitLog
  readonly #unlogged = new Map<string, { count: number, loggedAt: number }>()

  constructor (metrics: LimitMetrics, log: LimitLog) {
    this.#metrics = metrics
    this.#log = log
  }

  /** Records that a limit was reached. `status` is undefined when the connection was closed without a response. */
  report (
    limit: LimitName, server: ServerKind, status: number | undefined, socket: Socket, openedAt: number | undefined
  ): void {
    this.#metrics.count('client_limits_reached', { limit, server, status: String(status ?? 'closed') })
    const key = `${limit} ${server}`
    const now = performance.now()
    const entry = this.#unlogged.get(key) ?? { count: 0, loggedAt: -Infinity }
    this.#unlogged.set(key, entry)
    entry.count++
    if (now - entry.loggedAt < LOG_INTERVAL_MS) return
    const { remoteAddress: client, remotePort: port } = socket
    const ageMs = openedAt === undefined ? undefined : Math.round(now - openedAt)
    const fields = { limit, server, status, client, port, ageMs, connections: entry.count }
    this.#log.warn(fields, 'a limit on clients was reached')
    entry.count = 0
    entry.loggedAt = now
  }
}
