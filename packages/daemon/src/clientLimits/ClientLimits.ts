import { createServer, IncomingMessage, STATUS_CODES, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { BodyReceiver, getAnnouncedBytes, type BodyLimits } from './_lib/BodyReceiver.ts'
import { ConnectionTable } from './_lib/ConnectionTable.ts'
import { LimitReports } from './_lib/LimitReports.ts'
import { deriveClientLimits, MAX_HEAD_BYTES, type MachineResources } from './deriveClientLimits/index.ts'
import { SMALL_BODY_BYTES } from './chooseConnectionsToClose/index.ts'
import type {
  ClientConnection, LimitLog, LimitMetrics, LimitName, PendingRequest, RequestHandler, ServerKind
} from './types.ts'

/** Most header fields of a request. The parser makes two texts of each, which take more memory than their bytes. */
const MAX_HEADER_FIELDS = 100

/** Time for the head of a request, in ms; `header_timeout_ms` of the known deployments. */
const HEAD_TIMEOUT_MS = 3_000

/** Time for a whole request, in ms: the largest body at 70 kbit/s. */
const REQUEST_TIMEOUT_MS = 30_000

/** Time for which idle connections are kept open, in ms; `idle_timeout_ms` of the known deployments. */
const KEEP_ALIVE_MS = 15_000

/** Interval of checks of connections, in ms. */
const SWEEP_INTERVAL_MS = 250

/**
 * Most requests of one connection that wait for the response to an earlier one: while half of the budget is free, and
 * otherwise. All requests that arrive in one turn of the event loop take memory until its end, also on connections that
 * are closed meanwhile.
 */
const MAX_PIPELINED = 16
const MAX_PIPELINED_UNDER_LOAD = 4

/** Most refused connections that stay open for their clients to read the response. */
const MAX_LINGERING = 64

/** Most queries and cancellations in progress. Each needs the owner of the cell or the store, as submissions do. */
const MAX_OPEN_READS = 32

/** Memory that a parsed request takes beside its head, in bytes. */
const REQUEST_BYTES = 4 * 1024

/** Time for which a refused connection stays open unread, in ms, so that its client can read the response. */
const LINGER_MS = 500

/** Wait of refused clients before the next attempt, in s. */
const RETRY_AFTER_S = 1

/** Dependencies and resources of `ClientLimits`. */
export interface ClientLimitsOptions {
  machine: MachineResources
  metrics: LimitMetrics
  log: LimitLog
}

/**
 * Limits what the clients of one process can make it keep and do: connections, requests and bytes. All servers of the
 * process share one instance, so that a crowd at one of them can't use up what the others need.
 */
export class ClientLimits {
  readonly #reports: LimitReports
  readonly #table: ConnectionTable
  readonly #metrics: LimitMetrics
  readonly #bodies: BodyReceiver
  readonly #waitingReads: PendingRequest[] = []
  #openReads = 0
  /** Refused connections that are still open. */
  #lingering = 0
  #timer: ReturnType<typeof setInterval> | undefined

  constructor (options: ClientLimitsOptions) {
    this.#metrics = options.metrics
    this.#reports = new LimitReports(options.metrics, options.log)
    this.#table = new ConnectionTable(deriveClientLimits(options.machine), this.#reports)
    this.#bodies = new BodyReceiver(this.#table, (...refusal) => this.#refuse(...refusal))
  }

  /** Requests that wait for the response to an earlier one of their connection, or for other reads. */
  get waitingRequests (): number {
    return this.#table.waitingRequests + this.#waitingReads.length
  }

  start (): void {
    this.#timer = setInterval(() => {
      this.#table.sweep()
      this.#table.publish(this.#metrics)
    }, SWEEP_INTERVAL_MS)
    this.#timer.unref()
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  /** Creates a server whose connections are subject to the limits. */
  createServer (kind: ServerKind, handler: RequestHandler): Server {
    const server = createServer({
      IncomingMessage: this.#createRequestClass(),
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: SWEEP_INTERVAL_MS,
      keepAliveTimeout: KEEP_ALIVE_MS
    }, (request, response) => this.#receive(request, response, handler))
    // One more than the limit, so that requests beyond it can be told from those at the limit.
    server.maxHeadersCount = MAX_HEADER_FIELDS + 1
    if (kind === 'api') this.#admitInOrder(server)
    else server.on('connection', (socket: Socket) => this.#table.add(socket, kind))
    server.on('upgrade', (_request: IncomingMessage, socket: Socket) => {
      // The server has left the socket to this listener.
      socket.on('error', () => {}).pause()
    })
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.#handleClientError(error, socket, kind)
    })
    return server
  }

  /**
   * Receives the body of a request and passes its text on. A body beyond the limits is refused here, and `onText` is
   * never called; the request has then had no effect.
   */
  receiveBody (request: IncomingMessage, limits: BodyLimits, onText: (text: string) => void): void {
    const connection = this.#table.get(request.socket)
    if (connection === undefined || connection.phase === 'closing') return
    this.#bodies.receive(connection, request, limits, onText)
  }

  /** Has accepted sockets wait unread, before the server attaches a parser to them, until there is room for them. */
  #admitInOrder (server: Server & { pauseOnConnect?: boolean }): void {
    const attachListeners = server.listeners('connection') as Array<(socket: Socket) => void>
    server.removeAllListeners('connection')
    server.pauseOnConnect = true
    server.on('connection', (socket: Socket) => this.#table.admit(() => {
      for (const attach of attachListeners) attach.call(server, socket)
      this.#table.add(socket, 'api')
      socket.resume()
    }))
  }

  /**
   * Returns a class of requests with which the parser stops once a connection is closing or has sent too many requests.
   * Otherwise it builds all requests of the bytes that were read, up to 2,400, also when the socket was destroyed
   * meanwhile. The parser stops only at requests to upgrade the protocol, so those beyond the limit are shown
   * as such. Real requests to upgrade are treated like others, as by servers without upgrades.
   */
  #createRequestClass (): typeof IncomingMessage {
    const table = this.#table
    return class extends IncomingMessage {
      get upgrade (): boolean {
        const connection = table.get(this.socket)
        return connection === undefined || connection.phase === 'closing' || connection.hasOverflown
      }

      set upgrade (_isUpgrade: boolean) {}
    }
  }

  #receive (request: IncomingMessage, response: ServerResponse, handler: RequestHandler): void {
    const connection = this.#table.get(request.socket)
    if (connection === undefined || connection.phase === 'closing' || connection.hasOverflown) return
    connection.isSilent = false
    connection.bytesReadAtHead = request.socket.bytesRead
    connection.progressAt = performance.now()
    const headBytes = REQUEST_BYTES + request.rawHeaders.reduce((sum, { length }) => sum + length, request.url!.length)
    response.once('finish', () => this.#endUnread(connection, request))
    response.once('close', () => {
      this.#table.charge(connection, -headBytes)
      this.#startNext(connection)
    })
    const pending = { request, response, handler }
    if (connection.response === undefined) this.#start(connection, pending)
    else {
      connection.waiting.push(pending)
      const maxPipelined = this.#table.isHalfFree ? MAX_PIPELINED : MAX_PIPELINED_UNDER_LOAD
      if (connection.waiting.length > maxPipelined) this.#stopPipeline(connection)
    }
    this.#table.reserve(connection, headBytes)
  }

  #start (connection: ClientConnection, { request, response, handler }: PendingRequest): void {
    connection.response = response
    connection.phase = 'handled'
    if (connection.hasOverflown) this.#refuse(connection, request, 429, 'pipelined')
    else if (request.rawHeaders.length > MAX_HEADER_FIELDS * 2) this.#refuse(connection, request, 431, 'headers')
    else if (connection.kind !== 'api' && getAnnouncedBytes(request) !== 0) {
      this.#refuse(connection, request, 413, 'readiness-body')
    } else {
      if (this.#table.isCrowded(connection.kind)) response.setHeader('connection', 'close')
      if (connection.kind === 'api' && request.method !== 'POST') this.#queueRead({ request, response, handler })
      else handler(request, response)
    }
  }

  /** Passes on a request that submits nothing, a few at a time, so that submissions don't wait behind many of them. */
  #queueRead (pending: PendingRequest): void {
    this.#waitingReads.push(pending)
    this.#startReads()
  }

  #startReads (): void {
    while (this.#openReads < MAX_OPEN_READS) {
      const pending = this.#waitingReads.shift()
      if (pending === undefined) return
      const { request, response, handler } = pending
      if (request.socket.destroyed) continue
      this.#openReads++
      response.once('close', () => {
        this.#openReads--
        this.#startReads()
      })
      handler(request, response)
    }
  }

  #startNext (connection: ClientConnection): void {
    connection.response = undefined
    if (connection.phase === 'closing') return
    connection.phase = 'idle'
    connection.bytesReadAtHead = connection.socket.bytesRead
    const next = connection.waiting.shift()
    if (next !== undefined) this.#start(connection, next)
  }

  /** Keeps only the first of the waiting requests, which is refused when its turn comes, and parses no more. */
  #stopPipeline (connection: ClientConnection): void {
    connection.hasOverflown = true
    connection.waiting.length = 1
  }

  /** Closes the connection after a response to a request whose large body was not read, instead of reading it. */
  #endUnread (connection: ClientConnection, request: IncomingMessage): void {
    const announced = getAnnouncedBytes(request)
    if (request.complete || announced <= SMALL_BODY_BYTES || connection.phase === 'closing') return
    this.#closeSoon(connection, request)
  }

  /**
   * Reads no more from a connection and closes it a little later: a connection that is closed with unread bytes is
   * reset, and the client could lose the response.
   */
  #closeSoon (connection: ClientConnection, request: IncomingMessage): void {
    const { socket } = connection
    connection.phase = 'closing'
    request.pause()
    // The last read may be kept unread until then, so that under load the response may be lost instead.
    const delayMs = this.#lingering < MAX_LINGERING ? LINGER_MS : 0
    this.#lingering++
    socket.once('close', () => { this.#lingering-- })
    setTimeout(() => socket.destroy(), delayMs).unref()
  }

  /** Sends a refusal and closes the connection. */
  #refuse (connection: ClientConnection, request: IncomingMessage, status: number, limit: LimitName): void {
    const response = connection.response!
    this.#reports.report(limit, connection.kind, status, connection.socket, connection.openedAt)
    this.#closeSoon(connection, request)
    const body = JSON.stringify({ error: limit })
    response.writeHead(status, {
      connection: 'close',
      'content-type': 'application/json',
      'content-length': body.length,
      ...status === 503 ? { 'retry-after': String(RETRY_AFTER_S) } : {}
    } as Record<string, string | number>)
    // The response is not ended, since the server would close the connection at once.
    response.write(body)
  }

  /** Responds to requests that the parser rejects or whose time is over. */
  #handleClientError (error: NodeJS.ErrnoException, socket: Socket, kind: ServerKind): void {
    const connection = this.#table.get(socket)
    const isTimeout = error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
    if (isTimeout && connection?.refuseBody !== undefined) return connection.refuseBody(408, 'request-time')
    const status = isTimeout ? 408 : error.code === 'HPE_HEADER_OVERFLOW' ? 431 : 400
    if (status !== 400) {
      this.#reports.report(isTimeout ? 'header-time' : 'headers', kind, status, socket, connection?.openedAt)
    }
    if (connection === undefined || connection.response !== undefined || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    connection.phase = 'closing'
    socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`)
    setTimeout(() => socket.destroy(), LINGER_MS).unref()
  }
}
