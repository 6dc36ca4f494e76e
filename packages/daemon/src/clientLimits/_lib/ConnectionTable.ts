import type { Socket } from 'node:net'
import { chooseConnectionsToClose, mayBeClosed } from '../chooseConnectionsToClose/index.ts'
import { CONNECTION_BYTES, MAX_HEAD_BYTES, type MachineLimits } from '../deriveClientLimits/index.ts'
import type { ClientConnection, LimitMetrics, LimitName, ServerKind } from '../types.ts'
import type { LimitReports } from './LimitReports.ts'

/** Part of a limit that is freed when it is reached, so that the choice is not made anew for each connection. */
const FREED_PART = 1 / 16

/** Connections to the readiness and metrics servers that are kept when others are waiting. */
const KEPT_CONNECTIONS: Readonly<Record<ServerKind, number>> = { api: Infinity, readiness: 64, metrics: 16 }

/** Age before which a connection of these servers is not closed, in ms: it may not have been able to send anything. */
const NEW_CONNECTION_MS = 250

/**
 * Age before which a connection that has sent no request is not closed for others, in ms: time for a request that was
 * delayed on its way.
 */
const SILENT_GRACE_MS = 50

/** Interval of checks whether sockets that wait can be opened, in ms. */
const OPEN_INTERVAL_MS = 10

/** Longest time without progress of a body, in ms. Callers wait 3 s for a response. */
const BODY_STALL_MS = 5_000

/** Longest time for which a client may leave a response unread, in ms. */
const UNREAD_RESPONSE_MS = 5_000

/** Memory that a received byte of an incomplete head takes: its copy in the parser and the texts made of it. */
const HEAD_BYTES_FACTOR = 2

/** Owns the connections of clients and the bytes that the process keeps for them. */
export class ConnectionTable {
  readonly limits: MachineLimits
  readonly #reports: LimitReports
  readonly #connections = new Map<Socket, ClientConnection>()
  readonly #counts: Record<ServerKind, number> = { api: 0, readiness: 0, metrics: 0 }
  #usedBytes = 0
  /** Accepted sockets that wait until a connection may be closed for them, the oldest first. */
  readonly #unopened: Array<() => void> = []
  #openTimer: ReturnType<typeof setTimeout> | undefined

  constructor (limits: MachineLimits, reports: LimitReports) {
    this.limits = limits
    this.#reports = reports
  }

  get (socket: Socket): ClientConnection | undefined {
    return this.#connections.get(socket)
  }

  /**
   * Calls `open` for an accepted socket: at once if there is room or a connection that may be closed for it, otherwise
   * when the grace of new connections is over. Nothing of the socket may be read before.
   */
  admit (open: () => void): void {
    this.#unopened.push(open)
    if (this.#openTimer === undefined || this.#unopened.length > this.limits.maxUnopened) this.#openWaiting()
  }

  /** Adds a new connection; closes others when there are too many. */
  add (socket: Socket, kind: ServerKind): void {
    const connection: ClientConnection = {
      socket,
      kind,
      phase: 'idle',
      isSilent: true,
      openedAt: performance.now(),
      heldBytes: 0,
      expectedBytes: 0,
      progressAt: performance.now(),
      bytesRead: 0,
      bytesWritten: 0,
      bytesReadAtHead: 0,
      headBytes: 0,
      waiting: [],
      hasOverflown: false,
      response: undefined,
      refuseBody: undefined
    }
    const { maxConnections } = this.limits
    if (this.#connections.size >= maxConnections) {
      let excess = Math.ceil(maxConnections * FREED_PART)
      const now = performance.now()
      const hasGrace = this.#unopened.length < this.limits.maxUnopened
      // Few connections of the other servers are kept at a time; a crowd at the job API must not close them.
      const candidates = kind === 'api'
        ? this.#listApi().filter((each) => !hasGrace || !isInGrace(each, now))
        : this.#connections.values()
      this.#closeSome(candidates, 'connections', () => --excess <= 0)
    }
    this.#connections.set(socket, connection)
    this.#counts[kind]++
    this.#usedBytes += CONNECTION_BYTES
    socket.once('close', () => this.#remove(connection))
    this.#trim(kind)
  }

  /** Requests that wait for the response to an earlier one of their connection. */
  get waitingRequests (): number {
    let sum = 0
    for (const { waiting } of this.#connections.values()) sum += waiting.length
    return sum
  }

  get isHalfFree (): boolean {
    return this.#usedBytes < this.limits.budgetBytes / 2
  }

  /** Whether a server has so many connections that it keeps none of them open after a response. */
  isCrowded (kind: ServerKind): boolean {
    return this.#counts[kind] > KEPT_CONNECTIONS[kind] / 2
  }

  /** Adds bytes to what a connection holds, without a check. What a closed one holds was released already. */
  charge (connection: ClientConnection, bytes: number): void {
    if (!this.#connections.has(connection.socket)) return
    connection.heldBytes += bytes
    this.#usedBytes += bytes
  }

  /** Charges bytes to a connection; if there is no room for them, closes connections, possibly this one. */
  reserve (connection: ClientConnection, bytes: number): void {
    this.charge(connection, bytes)
    if (this.#usedBytes > this.limits.budgetBytes) this.#freeBytes()
  }

  /** Closes a connection without a response. */
  drop (connection: ClientConnection, limit: LimitName): void {
    this.#reports.report(limit, connection.kind, undefined, connection.socket, connection.openedAt)
    this.#destroy(connection)
  }

  /** Charges incomplete heads, and closes connections that make no progress. Called several times a second. */
  sweep (): void {
    const now = performance.now()
    for (const connection of this.#connections.values()) {
      this.#recordProgress(connection, now)
      const stalledMs = now - connection.progressAt
      if (connection.refuseBody !== undefined && stalledMs > BODY_STALL_MS) connection.refuseBody(408, 'body-stalled')
      else if (connection.socket.writableLength > 0 && stalledMs > UNREAD_RESPONSE_MS) {
        this.drop(connection, 'response-unread')
      } else if (connection.phase === 'receiving' && stalledMs > BODY_STALL_MS) this.drop(connection, 'body-stalled')
    }
    if (this.#usedBytes > this.limits.budgetBytes) this.#freeBytes()
    this.#trim('readiness')
    this.#trim('metrics')
  }

  publish (metrics: LimitMetrics): void {
    for (const kind of ['api', 'readiness', 'metrics'] as const) {
      metrics.set('client_connections', this.#counts[kind], { server: kind })
    }
    metrics.set('client_bytes_held', this.#usedBytes)
  }

  #openWaiting (): void {
    clearTimeout(this.#openTimer)
    this.#openTimer = undefined
    while (this.#unopened.length > 0) {
      if (this.#unopened.length <= this.limits.maxUnopened && this.#mustWait()) {
        this.#openTimer = setTimeout(() => this.#openWaiting(), OPEN_INTERVAL_MS)
        return
      }
      this.#unopened.shift()!()
    }
  }

  /** Whether a new connection has to wait: there is no room, and only those in their grace could be closed for it. */
  #mustWait (): boolean {
    if (this.#connections.size < this.limits.maxConnections) return false
    const now = performance.now()
    const candidates = this.#listApi().filter((each) => mayBeClosed(each, now))
    return candidates.length > 0 && candidates.every((each) => isInGrace(each, now))
  }

  #listApi (): ClientConnection[] {
    return [...this.#connections.values()].filter(({ kind }) => kind === 'api')
  }

  #recordProgress (connection: ClientConnection, now: number): void {
    const { socket } = connection
    const sentBytes = socket.bytesWritten - socket.writableLength
    if (socket.bytesRead !== connection.bytesRead || sentBytes !== connection.bytesWritten) connection.progressAt = now
    connection.bytesRead = socket.bytesRead
    connection.bytesWritten = sentBytes
    const headBytes = connection.phase === 'idle'
      ? Math.min(MAX_HEAD_BYTES, socket.bytesRead - connection.bytesReadAtHead) * HEAD_BYTES_FACTOR
      : 0
    this.charge(connection, headBytes - connection.headBytes)
    connection.headBytes = headBytes
  }

  #freeBytes (): void {
    const allowedBytes = this.limits.budgetBytes * (1 - FREED_PART)
    let excess = this.#usedBytes - allowedBytes
    this.#closeSome(this.#connections.values(), 'bytes', ({ heldBytes }) => {
      excess -= heldBytes + CONNECTION_BYTES
      return excess <= 0
    })
  }

  /** Closes old connections of a server that has more than it keeps. */
  #trim (kind: ServerKind): void {
    let excess = this.#counts[kind] - KEPT_CONNECTIONS[kind]
    if (excess <= 0) return
    const latest = performance.now() - NEW_CONNECTION_MS
    const old = [...this.#connections.values()].filter((each) => each.kind === kind && each.progressAt < latest)
    this.#closeSome(old, 'connections', () => --excess <= 0)
  }

  /**
   * Closes a connection and stops counting it at once. Its socket emits 'close' only later; until then the connection
   * would be chosen again for each other one that is opened, as if that made more room.
   */
  #destroy (connection: ClientConnection): void {
    connection.phase = 'closing'
    connection.socket.destroy()
    this.#remove(connection)
  }

  #remove (connection: ClientConnection): void {
    if (!this.#connections.has(connection.socket)) return
    this.charge(connection, -connection.heldBytes)
    this.#connections.delete(connection.socket)
    this.#counts[connection.kind]--
    this.#usedBytes -= CONNECTION_BYTES
  }

  /**
   * Closes connections until there is enough room, those in their grace only after all others: a sweep has just counted
   * the bytes of a crowd as progress, so that connections whose request was not read yet would be the first.
   */
  #closeSome (
    connections: Iterable<ClientConnection>, limit: LimitName, isEnough: (connection: ClientConnection) => boolean
  ): void {
    const now = performance.now()
    const inGrace: ClientConnection[] = []
    const others: ClientConnection[] = []
    for (const each of connections) (isInGrace(each, now) ? inGrace : others).push(each)
    let isDone = false
    const isEnoughNow = (connection: ClientConnection) => (isDone = isEnough(connection))
    const chosen = chooseConnectionsToClose(others, now, isEnoughNow)
    if (!isDone) chosen.push(...chooseConnectionsToClose(inGrace, now, isEnoughNow))
    for (const connection of chosen) {
      if (connection.phase === 'closing') this.#destroy(connection)
      else if (connection.refuseBody !== undefined) connection.refuseBody(503, limit)
      else this.drop(connection, limit)
    }
  }
}

function isInGrace ({ isSilent, openedAt }: ClientConnection, now: number): boolean {
  return isSilent && now - openedAt < SILENT_GRACE_MS
}
