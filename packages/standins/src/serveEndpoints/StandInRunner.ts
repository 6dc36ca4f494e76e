import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { Type, type Static } from '@sinclair/typebox'

/** Configurable behaviour of a runner. */
export const RunnerBehaviour = Type.Object({
  /** Service time of one request, in ms; the request header `x-service-ms` overrides it. */
  serviceMs: Type.Number({ minimum: 0 }),
  /** Factor by which the service time is multiplied. */
  slowFactor: Type.Number({ minimum: 0 }),
  /** HTTP status of failed requests. */
  errorStatus: Type.Integer({ minimum: 400, maximum: 599 }),
  /** Share of requests that fail after their service time, at even intervals. */
  errorShare: Type.Number({ minimum: 0, maximum: 1 }),
  /** Ends the connection halfway through the response body, which is sent with a content length or chunked. */
  truncate: Type.Union([Type.Literal('none'), Type.Literal('length'), Type.Literal('chunked')]),
  /** Number of writes in which a response is sent; with more than one it uses chunked encoding. */
  pieces: Type.Integer({ minimum: 1 }),
  /** Delay between these writes, in ms. */
  pieceMs: Type.Number({ minimum: 0 }),
  /** Padding added to each response, in bytes. */
  paddingBytes: Type.Integer({ minimum: 0, maximum: 67_108_864 }),
  /** Share of requests whose connection is closed after their service time, without a response, at even intervals. */
  loseAnswers: Type.Number({ minimum: 0, maximum: 1 }),
  /** Whether the runner refuses connections; setting it also closes the open ones. */
  down: Type.Boolean(),
  /** Number of requests that the runner can process concurrently. */
  slots: Type.Integer({ minimum: 1 }),
  /** Whether requests beyond the slots are refused as `not-run`; if false, they run and show in `maxActive`. */
  enforceSlots: Type.Boolean()
}, { additionalProperties: false })
export type RunnerBehaviour = Static<typeof RunnerBehaviour>

const DEFAULT_BEHAVIOUR: RunnerBehaviour = {
  serviceMs: 0,
  slowFactor: 1,
  errorStatus: 500,
  errorShare: 0,
  truncate: 'none',
  pieces: 1,
  pieceMs: 0,
  paddingBytes: 0,
  loseAnswers: 0,
  down: false,
  slots: 8,
  enforceSlots: false
}

export interface RunnerRecords {
  /** Requests whose processing has started. */
  runs: number
  /** Responses sent completely. */
  answered: number
  /** Requests refused because all slots were in use. */
  refused: number
  active: number
  maxActive: number
  connections: number
  maxConnections: number
}

/** Called when the processing of a request starts. */
export type RunObserver = (runner: string, requestId: string | undefined) => void

/** HTTP server that stands in for a runner. Like a real one, it goes on with a request after the caller disconnects. */
export class StandInRunner {
  readonly id: string
  readonly #server: Server
  readonly #observe: RunObserver
  readonly #connections = new Set<Socket>()
  #behaviour = DEFAULT_BEHAVIOUR
  #records: RunnerRecords = emptyRecords()
  #errorAccumulator = 0
  #dropAccumulator = 0
  #port = 0

  constructor (id: string, observe: RunObserver) {
    this.id = id
    this.#observe = observe
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      // An error such as a disconnected caller must end this request only, not the process.
      this.#handle(request, response).catch(() => response.destroy())
    })
    this.#server.on('connection', (socket) => this.#trackConnection(socket))
  }

  get address (): string {
    return `127.0.0.1:${this.#port}`
  }

  get behaviour (): RunnerBehaviour {
    return this.#behaviour
  }

  get records (): RunnerRecords {
    return { ...this.#records, connections: this.#connections.size }
  }

  async listen (): Promise<void> {
    this.#server.listen(this.#port, '127.0.0.1')
    await once(this.#server, 'listening')
    this.#port = (this.#server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    if (!this.#server.listening) return
    const closed = once(this.#server, 'close')
    this.#server.close()
    this.#server.closeAllConnections()
    await closed
  }

  /** Sets the given fields and keeps the others. Resolves once the port is open, or closed if `down` is set. */
  async updateBehaviour (behaviour: Partial<RunnerBehaviour>): Promise<void> {
    this.#behaviour = { ...this.#behaviour, ...behaviour }
    if (this.#behaviour.down) await this.close()
    else if (!this.#server.listening) await this.listen()
  }

  /** Restores the default behaviour and clears the records, except for the requests and connections that are open. */
  async reset (): Promise<void> {
    await this.updateBehaviour(DEFAULT_BEHAVIOUR)
    const { active } = this.#records
    this.#records = { ...emptyRecords(), active, maxActive: active, maxConnections: this.#connections.size }
  }

  #trackConnection (socket: Socket): void {
    this.#connections.add(socket)
    this.#records.maxConnections = Math.max(this.#records.maxConnections, this.#connections.size)
    socket.once('close', () => this.#connections.delete(socket))
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { slots, enforceSlots } = this.#behaviour
    if (enforceSlots && this.#records.active >= slots) {
      this.#records.refused++
      request.resume()
      response.writeHead(503, { 'gs-outcome': 'not-run', 'retry-after': '1' }).end()
      return
    }
    this.#records.active++
    this.#records.maxActive = Math.max(this.#records.maxActive, this.#records.active)
    try {
      const body = await readBody(request)
      this.#records.runs++
      this.#observe(this.id, request.headers['x-request-id'] as string | undefined)
      await this.#simulateWork(request)
      await this.#respond(request, body, response)
    } finally {
      this.#records.active--
    }
  }

  async #simulateWork (request: IncomingMessage): Promise<void> {
    const serviceMs = Number(request.headers['x-service-ms'] ?? this.#behaviour.serviceMs)
    const totalMs = serviceMs * this.#behaviour.slowFactor
    if (totalMs > 0) await delay(totalMs)
  }

  async #respond (request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
    const { errorShare, errorStatus, loseAnswers, truncate, pieces, pieceMs, paddingBytes } = this.#behaviour
    if (this.#shouldDropResponse(loseAnswers)) {
      response.destroy()
      return
    }
    const responseBody = Buffer.from(JSON.stringify({
      runner: this.id,
      requestId: request.headers['x-request-id'],
      method: request.method,
      path: request.url,
      bodyBytes: body.length,
      bodySha256: createHash('sha256').update(body).digest('hex'),
      padding: 'x'.repeat(paddingBytes)
    }))
    const chunked = truncate === 'chunked' || pieces > 1
    const length = chunked && truncate !== 'length' ? {} : { 'content-length': responseBody.length }
    response.writeHead(this.#shouldFail(errorShare) ? errorStatus : 200, { 'content-type': 'application/json', ...length })
    const sentBody = truncate === 'none' ? responseBody : responseBody.subarray(0, responseBody.length / 2)
    const pieceSize = Math.ceil(sentBody.length / pieces)
    for (let start = 0; start < sentBody.length; start += pieceSize) {
      if (start > 0 && pieceMs > 0) await delay(pieceMs)
      if (!response.write(sentBody.subarray(start, start + pieceSize)) && !response.destroyed) {
        await Promise.race([once(response, 'drain'), once(response, 'close')])
      }
      if (response.destroyed) return
    }
    if (truncate === 'none') {
      response.end()
      this.#records.answered++
    } else response.socket?.end()
  }

  #shouldFail (share: number): boolean {
    this.#errorAccumulator += share
    if (this.#errorAccumulator < 1) return false
    this.#errorAccumulator -= 1
    return true
  }

  #shouldDropResponse (share: number): boolean {
    this.#dropAccumulator += share
    if (this.#dropAccumulator < 1) return false
    this.#dropAccumulator -= 1
    return true
  }
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

function emptyRecords (): RunnerRecords {
  return { runs: 0, answered: 0, refused: 0, active: 0, maxActive: 0, connections: 0, maxConnections: 0 }
}
