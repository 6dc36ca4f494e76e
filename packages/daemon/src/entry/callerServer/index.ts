import { throwUncaught } from '@gypsumspring/protocol'
import { METHODS, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { SchemaViolation } from '@gypsumspring/protocol'
import { Left, Right } from 'purify-ts/Either'
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest, type HTTPMethods } from 'fastify'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import { MAX_DEADLINE_MS, MAX_REQUEST_BYTES, NOT_READY_RETRY_AFTER_MS } from '../constants/index.ts'
import { forwardHeaders } from '../forwardHeaders/index.ts'
import { parseCallerHeaders, type ParsedCallerHeaders } from '../parseCallerHeaders/index.ts'
import { NO_SCHEMA_COMPILERS } from '../schemaCompilers/index.ts'
import type { HeaderFields, IncomingRequest, PendingRequest, RequestResult } from '../types.ts'
import { readBody } from './_lib/readBody.ts'
import { writeBufferedResponse, writeStreamedResponse } from './_lib/writeResponse.ts'

/** Checks that the server needs before it accepts a request. */
export interface AdmissionChecks {
  /** False until a configuration is in force and slot tokens can be obtained. */
  ready (): boolean
  hasEndpoint (endpoint: string): boolean
  hasTeam (team: string): boolean
}

export interface CallerServerOptions {
  admission: AdmissionChecks
  serve: (request: IncomingRequest) => PendingRequest<RequestResult>
  log: Logger
  metrics: Metrics
}

/** Reasons caused by the caller's own request rate: the caller should slow down instead of trying another entry. */
const RATE_LIMIT_REASONS = new Set(['queue-full', 'team-limit'])

/** Time after the deadline in which the caller may read the rest of a response, in ms. */
const WRITE_GRACE_MS = 1000

/** Interval at which connections without a request are closed during the shutdown, in ms. */
const UNUSED_CONNECTION_CHECK_MS = 200

/** The HTTP server for callers. Owns the listening socket and the connections of callers. */
export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #server: FastifyInstance
  readonly #connections = new Set<Socket>()
  /** Connections with a request in progress. */
  readonly #activeConnections = new Set<Socket>()
  #accepting = false

  constructor (options: CallerServerOptions) {
    this.#options = options
    this.#server = fastify({
      exposeHeadRoutes: false,
      schemaController: NO_SCHEMA_COMPILERS,
      // `#handle` answers requests on keep-alive connections during the shutdown, since they need an outcome header.
      return503OnClosing: false,
      requestTimeout: MAX_DEADLINE_MS,
      // URLs that can't be decoded. The router rejects them before it calls a handler.
      frameworkErrors: (error, _request, reply) => { this.#refuse(reply, 400, 'malformed', { detail: error.message }) },
      clientErrorHandler: (error, socket) => this.#refuseMalformed(error.code, socket)
    })
    this.#trackConnections()
    // `readBody` reads the bodies of all methods, including GET, regardless of their content type.
    for (const method of METHODS) this.#server.addHttpMethod(method, { hasBody: false, overrideExisting: true })
    this.#server.route({
      method: METHODS.filter((method) => method !== 'CONNECT') as HTTPMethods[],
      url: '/e/:endpoint/*',
      handler: async (request, reply) => await this.#handle(request, reply)
    })
    this.#server.setNotFoundHandler((request, reply) => {
      this.#refuse(reply, 404, 'unknown-path', {
        violations: [{ path: 'path', value: request.url, allowed: '/e/<endpoint>/<path>' }]
      })
    })
    this.#server.setErrorHandler((error: { statusCode?: number, message: string }, _request, reply) => {
      if (error.statusCode === undefined || error.statusCode >= 500) throwUncaught(error)
      else this.#refuse(reply, error.statusCode, 'malformed', { detail: error.message })
    })
  }

  /** Starts listening and resolves with the port. Rejects if the address can't be bound. */
  async listen (port: number, host: string): Promise<number> {
    await this.#server.listen({ port, host })
    this.#accepting = true
    return (this.#server.server.address() as AddressInfo).port
  }

  get accepting (): boolean {
    return this.#accepting
  }

  /** Refuses new requests, and resolves when all requests in flight are answered and all connections are closed. */
  async close (): Promise<void> {
    this.#accepting = false
    // Node closes idle connections, but treats one that has never carried a request as active. Without this timer a
    // caller's spare connection would delay the shutdown beyond its time limit.
    const timer = setInterval(() => {
      for (const socket of this.#connections) if (!this.#activeConnections.has(socket)) socket.end()
    }, UNUSED_CONNECTION_CHECK_MS)
    await this.#server.close()
    clearInterval(timer)
  }

  #trackConnections (): void {
    this.#server.server.on('connection', (socket: Socket) => {
      this.#connections.add(socket)
      socket.once('close', () => this.#connections.delete(socket))
    })
    this.#server.server.on('request', ({ socket }, response) => {
      this.#activeConnections.add(socket)
      response.once('close', () => this.#activeConnections.delete(socket))
    })
  }

  async #handle (request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const arrivedAt = performance.now()
    this.#closeAfterResponse(reply.raw)
    if (!this.#accepting || !this.#options.admission.ready()) {
      const outcome = mayHaveRunBefore(request) ? 'unknown' : 'not-run'
      return this.#refuse(reply, 503, this.#accepting ? 'not-ready' : 'leaving', { outcome, retryAfterMs: NOT_READY_RETRY_AFTER_MS })
    }
    const { endpoint = '' } = request.params as { endpoint?: string }
    const callerHeaders = parseCallerHeaders(request.method, request.headers).chain((parsed) => this.#checkTeam(parsed))
    if (callerHeaders.isLeft()) return this.#refuse(reply, 400, 'invalid-headers', { violations: callerHeaders.extract() })
    if (!this.#options.admission.hasEndpoint(endpoint)) {
      return this.#refuse(reply, 404, 'unknown-endpoint', {
        violations: [{ path: 'endpoint', value: JSON.stringify(endpoint), allowed: 'an endpoint of the configuration in force' }]
      })
    }
    const body = await readBody(request.raw, MAX_REQUEST_BYTES)
    if (body === 'cut-off') {
      this.#options.metrics.count('refusals', { reason: 'caller-gone' })
      return reply.hijack()
    }
    if (body === 'too-large') {
      // The rest of the body stays unread, so the connection can't be reused.
      reply.header('connection', 'close')
      return this.#refuse(reply, 413, 'body-too-large', {
        violations: [{ path: 'body', value: 'more bytes', allowed: `at most ${MAX_REQUEST_BYTES} bytes` }]
      })
    }
    const incoming = toIncomingRequest(request, endpoint, callerHeaders.unsafeCoerce(), arrivedAt, body)
    reply.header('x-request-id', incoming.requestId)
    const { result: pendingResult, abandon } = this.#options.serve(incoming)
    // Without this limit a caller that stops reading would occupy the runner's slot and block the shutdown.
    const timer = setTimeout(() => reply.raw.destroy(), incoming.deadline - performance.now() + WRITE_GRACE_MS)
    reply.raw.once('close', () => {
      clearTimeout(timer)
      if (!reply.raw.writableFinished) abandon()
    })
    if (reply.raw.destroyed) abandon()
    const result = await pendingResult
    const { requestId } = incoming
    this.#options.log.debug({ requestId, endpoint, outcome: result.kind }, 'request ended')
    return await this.#respond(reply, requestId, result)
  }

  #checkTeam (callerHeaders: ParsedCallerHeaders) {
    const known = this.#options.admission.hasTeam(callerHeaders.team)
    const violation = { path: 'gs-team', value: JSON.stringify(callerHeaders.team), allowed: 'a team of the configuration in force' }
    return known ? Right(callerHeaders) : Left([violation])
  }

  async #respond (reply: FastifyReply, requestId: string, result: RequestResult): Promise<FastifyReply> {
    const entryHeaders: HeaderFields = { 'gs-outcome': 'answered', 'x-request-id': requestId }
    if (!this.#accepting) entryHeaders.connection = 'close'
    switch (result.kind) {
      case 'answered':
        reply.hijack()
        writeBufferedResponse(reply.raw, result.response, entryHeaders)
        return reply
      case 'streaming':
        reply.hijack()
        await writeStreamedResponse(reply.raw, result.response, entryHeaders)
        return reply
      case 'not-run':
        return this.#refuse(reply, RATE_LIMIT_REASONS.has(result.reason) ? 429 : 503, result.reason, result)
      case 'in-flight':
        return this.#refuse(reply, 409, 'first-copy-in-flight', { ...result, outcome: 'in-flight' })
      case 'unknown':
        return this.#refuse(reply, 504, result.reason ?? 'no-whole-answer', { ...result, outcome: 'unknown' })
      case 'mismatch':
        return this.#refuse(reply, 422, 'request-id-reused', {
          violations: [{ path: 'x-request-id', value: JSON.stringify(requestId), allowed: 'an id not used with another method, path or body' }]
        })
    }
  }

  #refuse (reply: FastifyReply, status: number, reason: string, details: RefusalDetails = {}): FastifyReply {
    const { outcome = 'not-run', retryAfterMs, violations, detail } = details
    this.#options.metrics.count('refusals', { reason })
    if (!this.#accepting) reply.header('connection', 'close')
    if (retryAfterMs !== undefined) reply.header('retry-after', String(Math.max(1, Math.ceil(retryAfterMs / 1000))))
    return reply.code(status).header('gs-outcome', outcome).send({ outcome, reason, retryAfterMs, violations, detail })
  }

  /** Answers malformed HTTP. A connection on which a response has started is closed without writing to it. */
  #refuseMalformed (code: string | undefined, socket: Socket): void {
    this.#options.metrics.count('refusals', { reason: 'malformed' })
    if (code === 'ECONNRESET' || !socket.writable || socket.bytesWritten > 0) {
      socket.destroy()
      return
    }
    const status = code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
    const body = JSON.stringify({ outcome: 'not-run', reason: 'malformed' })
    socket.end(`HTTP/1.1 ${status}\r\ngs-outcome: not-run\r\ncontent-type: application/json\r\n` +
      `content-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`)
  }

  /** Closes the connection after the response if the server is shutting down, even if its header said keep-alive. */
  #closeAfterResponse (response: ServerResponse): void {
    response.once('finish', () => { if (!this.#accepting) response.req.socket.end() })
  }
}

interface RefusalDetails {
  outcome?: 'not-run' | 'in-flight' | 'unknown'
  retryAfterMs?: number
  violations?: SchemaViolation[]
  detail?: string
}

/** Whether another entry may have run this non-repeatable request before; its record has not been read. */
function mayHaveRunBefore ({ method, headers }: FastifyRequest): boolean {
  const callerHeaders = parseCallerHeaders(method, headers)
  return callerHeaders.map(({ repeatable, firstAttempt }) => !repeatable && !firstAttempt).orDefault(false)
}

function toIncomingRequest (
  request: FastifyRequest, endpoint: string, callerHeaders: ParsedCallerHeaders, arrivedAt: number, body: Uint8Array
): IncomingRequest {
  const { requestId, deadlineMs, ...rest } = callerHeaders
  return {
    ...rest,
    endpoint,
    requestId,
    arrivedAt,
    deadline: arrivedAt + deadlineMs,
    forwarded: {
      method: request.method,
      // The endpoint may be percent-encoded in the URL, so its length in the URL can differ from that of its name.
      path: request.url.slice(request.url.indexOf('/', '/e/'.length)),
      headers: { ...forwardHeaders(request.headers, { drop: ['content-length'] }), 'x-request-id': requestId },
      body
    }
  }
}
