import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { Type, type Static } from '@sinclair/typebox'

/** How a runner behaves on command; fields not named stay as they are. */
export const RunnerBehaviour = Type.Object({
  /** Time of work on one request, in ms; the request header `x-service-ms` overrides it. */
  serviceMs: Type.Number({ minimum: 0 }),
  /** Multiplies the time of work. */
  slowFactor: Type.Number({ minimum: 0 }),
  /** Status of failing answers. */
  errorStatus: Type.Integer({ minimum: 400, maximum: 599 }),
  /** Share of requests that fail after the work, at even distances. */
  errorShare: Type.Number({ minimum: 0, maximum: 1 }),
  /** Cuts answers off halfway: sent with a length, or in chunks. */
  truncate: Type.Union([Type.Literal('none'), Type.Literal('length'), Type.Literal('chunked')]),
  /** Pieces in which an answer is sent; more than one is sent in chunks. */
  pieces: Type.Integer({ minimum: 1 }),
  /** Time between pieces, in ms. */
  pieceMs: Type.Number({ minimum: 0 }),
  /** Filling added to each answer, in bytes. */
  paddingBytes: Type.Integer({ minimum: 0, maximum: 67_108_864 }),
  /** Share of answers that are lost after the work: the connection closes. */
  loseAnswers: Type.Number({ minimum: 0, maximum: 1 }),
  /** Refuses connections and breaks the open ones. */
  down: Type.Boolean(),
  /** Requests worked on at once without overload. */
  slots: Type.Integer({ minimum: 1 }),
  /** Whether requests beyond the slots are refused as not run; else they are only recorded. */
  enforceSlots: Type.Boolean()
}, { additionalProperties: false })
export type RunnerBehaviour = Static<typeof RunnerBehaviour>

const DEFAULTS: RunnerBehaviour = {
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
  /** Requests whose work has started. */
  runs: number
  /** Answers sent to their end. */
  answered: number
  /** Requests refused because all slots were in use. */
  refused: number
  active: number
  maxActive: number
  connections: number
  maxConnections: number
}

/** Called for each request whose work starts. */
export type RunObserver = (runner: string, requestId: string | undefined) => void

/** One HTTP server that acts as an endpoint's runner. Work goes on when the caller goes away, as on a real runner. */
export class StandInRunner {
  readonly id: string
  readonly #server: Server
  readonly #observe: RunObserver
  readonly #connections = new Set<Socket>()
  #behaviour = DEFAULTS
  #records: RunnerRecords = emptyRecords()
  #errorShare = 0
  #lostShare = 0
  #port = 0

  constructor (id: string, observe: RunObserver) {
    this.id = id
    this.#observe = observe
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      // A caller that goes away ends its exchange, not the runner.
      this.#serve(request, response).catch(() => response.destroy())
    })
    this.#server.on('connection', (socket) => this.#count(socket))
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

  /** Replaces the fields named. Resolves when the port is open or closed as `down` says. */
  async behave (behaviour: Partial<RunnerBehaviour>): Promise<void> {
    this.#behaviour = { ...this.#behaviour, ...behaviour }
    if (this.#behaviour.down) await this.close()
    else if (!this.#server.listening) await this.listen()
  }

  async reset (): Promise<void> {
    await this.behave(DEFAULTS)
    const { active } = this.#records
    this.#records = { ...emptyRecords(), active, maxActive: active, maxConnections: this.#connections.size }
  }

  #count (socket: Socket): void {
    this.#connections.add(socket)
    this.#records.maxConnections = Math.max(this.#records.maxConnections, this.#connections.size)
    socket.once('close', () => this.#connections.delete(socket))
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
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
      const body = await readAll(request)
      this.#records.runs++
      this.#observe(this.id, request.headers['x-request-id'] as string | undefined)
      await this.#work(request)
      await this.#answer(request, body, response)
    } finally {
      this.#records.active--
    }
  }

  async #work (request: IncomingMessage): Promise<void> {
    const serviceMs = Number(request.headers['x-service-ms'] ?? this.#behaviour.serviceMs)
    const totalMs = serviceMs * this.#behaviour.slowFactor
    if (totalMs > 0) await delay(totalMs)
  }

  async #answer (request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
    const { errorShare, errorStatus, loseAnswers, truncate, pieces, pieceMs, paddingBytes } = this.#behaviour
    if (this.#loses(loseAnswers)) {
      response.destroy()
      return
    }
    const answer = Buffer.from(JSON.stringify({
      runner: this.id,
      requestId: request.headers['x-request-id'],
      method: request.method,
      path: request.url,
      bodyBytes: body.length,
      bodySha256: createHash('sha256').update(body).digest('hex'),
      padding: 'x'.repeat(paddingBytes)
    }))
    const chunked = truncate === 'chunked' || pieces > 1
    const length = chunked && truncate !== 'length' ? {} : { 'content-length': answer.length }
    response.writeHead(this.#fails(errorShare) ? errorStatus : 200, { 'content-type': 'application/json', ...length })
    const shown = truncate === 'none' ? answer : answer.subarray(0, answer.length / 2)
    const pieceSize = Math.ceil(shown.length / pieces)
    for (let start = 0; start < shown.length; start += pieceSize) {
      if (start > 0 && pieceMs > 0) await delay(pieceMs)
      if (!response.write(shown.subarray(start, start + pieceSize)) && !response.destroyed) {
        await Promise.race([once(response, 'drain'), once(response, 'close')])
      }
      if (response.destroyed) return
    }
    if (truncate === 'none') {
      response.end()
      this.#records.answered++
    } else response.socket?.end()
  }

  #fails (share: number): boolean {
    this.#errorShare += share
    if (this.#errorShare < 1) return false
    this.#errorShare -= 1
    return true
  }

  #loses (share: number): boolean {
    this.#lostShare += share
    if (this.#lostShare < 1) return false
    this.#lostShare -= 1
    return true
  }
}

async function readAll (request: IncomingMessage): Promise<Buffer> {
  const pieces: Buffer[] = []
  for await (const piece of request) pieces.push(piece as Buffer)
  return Buffer.concat(pieces)
}

function emptyRecords (): RunnerRecords {
  return { runs: 0, answered: 0, refused: 0, active: 0, maxActive: 0, connections: 0, maxConnections: 0 }
}
