import { throwUncaught } from '@gypsumspring/protocol'
import { METHODS, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { SchemaViolation } from '@gypsumspring/protocol'
import { Left, Right } from 'purify-ts/Either'
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest, type HTTPMethods } from 'fastify'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import { LEAVING_RETRY_MS, MAX_DEADLINE_MS, MAX_REQUEST_BYTES } from '../constants/index.ts'
import { forwardHeaders } from '../forwardHeaders/index.ts'
import { parseCallerHeaders, type CallerOptions } from '../parseCallerHeaders/index.ts'
import type { Call, CallerCall, CallResult, HeaderFields } from '../types.ts'
import { readBody } from './_lib/readBody.ts'
import { writeStream, writeWhole } from './_lib/writeAnswer.ts'

/** What the front needs to know of the configuration in force. */
export interface FrontDirectory {
  /** False until a configuration is in force. */
  ready (): boolean
  hasEndpoint (endpoint: string): boolean
  hasTeam (team: string): boolean
}

export interface CallerFrontParts {
  directory: FrontDirectory
  serve: (call: CallerCall) => Call<CallResult>
  logger: Logger
  metrics: Metrics
}

/** Reasons whose cause is the caller's own rate, so that the caller should slow down instead of changing the entry. */
const TOO_MANY_REASONS = new Set(['queue-full', 'team-limit'])

/** Time after the deadline for the caller to take the rest of an answer, in ms. */
const LATE_WRITE_MS = 1000

/** How long a connection without a request is kept during the shutdown, in ms. */
const UNUSED_CONNECTION_MS = 200

/** The HTTP server for callers. Owns the listening socket and the callers' connections. */
export class CallerFront {
  readonly #parts: CallerFrontParts
  readonly #server: FastifyInstance
  readonly #connections = new Set<Socket>()
  /** Connections with a request in progress. */
  readonly #busy = new Set<Socket>()
  #accepting = false

  constructor (parts: CallerFrontParts) {
    this.#parts = parts
    this.#server = fastify({
      exposeHeadRoutes: false,
      // A request on a kept connection during shutdown is answered by `#handle`, with an outcome header.
      return503OnClosing: false,
      requestTimeout: MAX_DEADLINE_MS,
      // URLs that can't be decoded; the router rejects them before any handler.
      frameworkErrors: (error, _request, reply) => { this.#refuse(reply, 400, 'malformed', { detail: error.message }) },
      clientErrorHandler: (error, socket) => this.#refuseMalformed(error.code, socket)
    })
    this.#watchConnections()
    // Bodies are read by `readBody`, whatever their content type, also those of GET requests.
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

  /** Starts listening; resolves with the port. Rejects when the address can't be bound. */
  async listen (port: number, host: string): Promise<number> {
    await this.#server.listen({ port, host })
    this.#accepting = true
    return (this.#server.server.address() as AddressInfo).port
  }

  get accepting (): boolean {
    return this.#accepting
  }

  /** Refuses new requests, and resolves when those in flight are answered and all connections are closed. */
  async close (): Promise<void> {
    this.#accepting = false
    // Node closes idle connections, but takes one that has never carried a request for a busy one: a caller's spare
    // connection would hold the shutdown up for longer than it may last.
    const timer = setInterval(() => {
      for (const socket of this.#connections) if (!this.#busy.has(socket)) socket.end()
    }, UNUSED_CONNECTION_MS)
    await this.#server.close()
    clearInterval(timer)
  }

  #watchConnections (): void {
    this.#server.server.on('connection', (socket: Socket) => {
      this.#connections.add(socket)
      socket.once('close', () => this.#connections.delete(socket))
    })
    this.#server.server.on('request', ({ socket }, response) => {
      this.#busy.add(socket)
      response.once('close', () => this.#busy.delete(socket))
    })
  }

  async #handle (request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const arrivedAt = performance.now()
    this.#closeWithServer(reply.raw)
    if (!this.#accepting || !this.#parts.directory.ready()) {
      const outcome = mayHaveRunBefore(request) ? 'unknown' : 'not-run'
      return this.#refuse(reply, 503, this.#accepting ? 'not-ready' : 'leaving', { outcome, retryAfterMs: LEAVING_RETRY_MS })
    }
    const { endpoint = '' } = request.params as { endpoint?: string }
    const options = parseCallerHeaders(request.method, request.headers).chain((parsed) => this.#checkTeam(parsed))
    if (options.isLeft()) return this.#refuse(reply, 400, 'invalid-headers', { violations: options.extract() })
    if (!this.#parts.directory.hasEndpoint(endpoint)) {
      return this.#refuse(reply, 404, 'unknown-endpoint', {
        violations: [{ path: 'endpoint', value: JSON.stringify(endpoint), allowed: 'an endpoint of the configuration in force' }]
      })
    }
    const body = await readBody(request.raw, MAX_REQUEST_BYTES)
    if (body === 'cut-off') {
      this.#parts.metrics.count('refusals', { reason: 'caller-gone' })
      return reply.hijack()
    }
    if (body === 'too-large') {
      // The rest of the body is not read, so the connection can't be used again.
      reply.header('connection', 'close')
      return this.#refuse(reply, 413, 'body-too-large', {
        violations: [{ path: 'body', value: 'more bytes', allowed: `at most ${MAX_REQUEST_BYTES} bytes` }]
      })
    }
    const call = toCall(request, endpoint, options.unsafeCoerce(), arrivedAt, body)
    reply.header('x-request-id', call.requestId)
    const { result, abandon } = this.#parts.serve(call)
    // A caller that stops reading would hold the runner's slot, and the shutdown, for as long as it likes.
    const timer = setTimeout(() => reply.raw.destroy(), call.deadline - performance.now() + LATE_WRITE_MS)
    reply.raw.once('close', () => {
      clearTimeout(timer)
      if (!reply.raw.writableFinished) abandon()
    })
    if (reply.raw.destroyed) abandon()
    const outcome = await result
    const { requestId } = call
    this.#parts.logger.debug({ requestId, endpoint, outcome: outcome.kind }, 'request ended')
    return await this.#answer(reply, requestId, outcome)
  }

  #checkTeam (options: CallerOptions) {
    const known = this.#parts.directory.hasTeam(options.team)
    const violation = { path: 'gs-team', value: JSON.stringify(options.team), allowed: 'a team of the configuration in force' }
    return known ? Right(options) : Left([violation])
  }

  async #answer (reply: FastifyReply, requestId: string, result: CallResult): Promise<FastifyReply> {
    const own: HeaderFields = { 'gs-outcome': 'answered', 'x-request-id': requestId }
    if (!this.#accepting) own.connection = 'close'
    switch (result.kind) {
      case 'answered':
        reply.hijack()
        writeWhole(reply.raw, result.answer, own)
        return reply
      case 'streaming':
        reply.hijack()
        await writeStream(reply.raw, result.answer, own)
        return reply
      case 'not-run':
        return this.#refuse(reply, TOO_MANY_REASONS.has(result.reason) ? 429 : 503, result.reason, result)
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
    this.#parts.metrics.count('refusals', { reason })
    if (!this.#accepting) reply.header('connection', 'close')
    if (retryAfterMs !== undefined) reply.header('retry-after', String(Math.max(1, Math.ceil(retryAfterMs / 1000))))
    return reply.code(status).header('gs-outcome', outcome).send({ outcome, reason, retryAfterMs, violations, detail })
  }

  /** Answers what is no HTTP request. A connection with an answer under way is only closed, not written to. */
  #refuseMalformed (code: string | undefined, socket: Socket): void {
    this.#parts.metrics.count('refusals', { reason: 'malformed' })
    if (code === 'ECONNRESET' || !socket.writable || socket.bytesWritten > 0) {
      socket.destroy()
      return
    }
    const status = code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
    const body = JSON.stringify({ outcome: 'not-run', reason: 'malformed' })
    socket.end(`HTTP/1.1 ${status}\r\ngs-outcome: not-run\r\ncontent-type: application/json\r\n` +
      `content-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`)
  }

  /** Closes the connection after the response when the server is closing; its header may have promised to keep it. */
  #closeWithServer (response: ServerResponse): void {
    response.once('finish', () => { if (!this.#accepting) response.req.socket.end() })
  }
}

interface RefusalDetails {
  outcome?: 'not-run' | 'in-flight' | 'unknown'
  retryAfterMs?: number
  violations?: SchemaViolation[]
  detail?: string
}

/** Whether a copy of a not-repeatable request may have run at another entry, whose record was not read. */
function mayHaveRunBefore ({ method, headers }: FastifyRequest): boolean {
  const options = parseCallerHeaders(method, headers)
  return options.map(({ repeatable, firstAttempt }) => !repeatable && !firstAttempt).orDefault(false)
}

function toCall (
  request: FastifyRequest, endpoint: string, options: CallerOptions, arrivedAt: number, body: Uint8Array
): CallerCall {
  const { requestId, deadlineMs, ...rest } = options
  return {
    ...rest,
    endpoint,
    requestId,
    arrivedAt,
    deadline: arrivedAt + deadlineMs,
    forwarded: {
      method: request.method,
      // The endpoint may be percent-encoded in the URL, so its length there is not that of the name.
      path: request.url.slice(request.url.indexOf('/', '/e/'.length)),
      headers: { ...forwardHeaders(request.headers, { drop: ['content-length'] }), 'x-request-id': requestId },
      body
    }
  }
}
