import type { Client, Dispatcher } from 'undici'
import { done, notDone, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import type { ConnectionPool } from './ConnectionPool.ts'
import { Deadline } from './Deadline.ts'
import { BROKEN_CONNECTION_CODES, classifyError, type HttpRequest } from './sendRequest.ts'

export interface ExchangeRequest extends HttpRequest {
  /**
   * Sends the request only over a connection that was opened by this monotonic time, in ms. Otherwise it fails as not
   * done with the reason `closed`: the server may have been replaced since. Default: over any connection.
   */
  connectedBefore?: number
  /** Called right before the request is written. */
  onWrite?: () => void
}

/** A response whose body was read. */
export interface BufferedResponse {
  status: number
  /** The body; undefined if it is larger than the limit. */
  bytes: Buffer | undefined
}

/** Parts of a response as they arrive. */
interface PartialResponse {
  /** 0 until the response begins. */
  status: number
  chunks: Buffer[]
  size: number
}

/**
 * Sends an HTTP request and reads the response into memory. It does what `sendRequest` and `readBody` do together, but
 * without a stream, an abort signal and decoded headers for each response: an owner of 380 workers makes 2,000 calls a
 * second, and these took more processor time than the calls themselves.
 *
 * @param pool - Connections to the server.
 * @param request - The request to send; without `stallTimeoutMs`, `timeoutMs` includes reading the whole response.
 * @param maxBytes - Largest body, in bytes.
 * @returns The response. A failure is `not-done` if the request was not written to a connection, else `unknown`.
 *
 * @example
 * await exchange(pool, { method: 'GET', path: '/healthz', timeoutMs: 500 }, 1024)
 */
export async function exchange (
  pool: ConnectionPool, request: ExchangeRequest, maxBytes: number
): Promise<Outcome<BufferedResponse>> {
  const deadline = new Deadline(request.timeoutMs, request.signal)
  const client = (deadline.isAborted ? undefined : pool.tryAcquire()) ?? await pool.acquire(deadline.signal)
  if (client === undefined) {
    deadline.clear()
    if (pool.closed) return notDone('closed', 'the client was closed')
    return notDone(deadline.reason, `no connection became available: ${deadline.message}`)
  }
  return await new Promise((resolve) => new Exchange(client, pool, request, deadline, maxBytes, resolve).send())
}

/**
 * One request on one connection, as undici's handler of the response. undici calls it while it updates its own state,
 * so that whatever uses the connection again waits for the next microtask.
 */
class Exchange implements Dispatcher.DispatchHandler {
  readonly #client: Client
  readonly #pool: ConnectionPool
  readonly #request: ExchangeRequest
  readonly #deadline: Deadline
  readonly #maxBytes: number
  readonly #resolve: (outcome: Outcome<BufferedResponse>) => void
  readonly #response: PartialResponse = { status: 0, chunks: [], size: 0 }
  /** Ends the request; undefined until it is written to the connection. */
  #abort: ((error: Error) => void) | undefined
  #written = false
  #isRetry = false
  #settled = false

  constructor (
    client: Client, pool: ConnectionPool, request: ExchangeRequest, deadline: Deadline, maxBytes: number,
    resolve: (outcome: Outcome<BufferedResponse>) => void
  ) {
    this.#client = client
    this.#pool = pool
    this.#request = request
    this.#deadline = deadline
    this.#maxBytes = maxBytes
    this.#resolve = resolve
    deadline.onAbort = (error) => this.#handleDeadline(error)
  }

  send (): void {
    const { method, headers, body } = this.#request
    const path = this.#pool.basePath + this.#request.path
    this.#client.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body }, this)
  }

  /** Called right before the first byte of the request is written, which an error prevents. */
  onConnect (abort: (error?: Error) => void): void {
    const { connectedBefore } = this.#request
    if (connectedBefore !== undefined && !this.#pool.isConnectedBefore(this.#client, connectedBefore)) {
      throw new Error('the connection was opened too late for the request')
    }
    this.#abort = abort
    if (this.#settled) {
      abort()
      return
    }
    this.#written = true
    this.#request.onWrite?.()
  }

  onHeaders (status: number): boolean {
    this.#response.status = status
    this.#recordProgress()
    return true
  }

  onData (chunk: Buffer): boolean {
    const { chunks } = this.#response
    this.#response.size += chunk.length
    this.#recordProgress()
    if (this.#response.size > this.#maxBytes) {
      this.#settle(done({ status: this.#response.status, bytes: undefined }))
      queueMicrotask(() => this.#abort?.(new Error('the response body is too large')))
      return false
    }
    chunks.push(chunk)
    return true
  }

  onComplete (): void {
    const { status, chunks, size } = this.#response
    const [first = Buffer.alloc(0)] = chunks
    queueMicrotask(() => {
      this.#settle(done({ status, bytes: chunks.length > 1 ? Buffer.concat(chunks, size) : first }))
      this.#pool.release(this.#client)
    })
  }

  onError (error: Error & { code?: string }): void {
    queueMicrotask(() => this.#handleError(error))
  }

  #handleError (error: Error & { code?: string }): void {
    if (this.#settled) {
      this.#pool.release(this.#client)
      return
    }
    // The server may have closed an idle connection. A request that fails on it before being written is safe to resend
    // on a new connection.
    if (!this.#written && !this.#isRetry && BROKEN_CONNECTION_CODES.has(error.code ?? '')) {
      this.#isRetry = true
      this.send()
      return
    }
    const reason = classifyError(error)
    const message = this.#response.status > 0 ? `the response was truncated: ${error.message}` : error.message
    this.#settle(this.#written ? unknownEffect(reason, message) : notDone(reason, message))
    this.#pool.release(this.#client)
  }

  #handleDeadline (error: Error): void {
    if (this.#written) {
      this.#abort?.(error)
      return
    }
    // The connection is still being established, so the request has not been written.
    this.#settle(notDone(this.#deadline.reason, `the connection was not established: ${this.#deadline.message}`))
    this.#pool.discard(this.#client)
  }

  #recordProgress (): void {
    const { stallTimeoutMs, onProgress } = this.#request
    const { status } = this.#response
    if (stallTimeoutMs !== undefined) this.#deadline.restart(stallTimeoutMs)
    if (status >= 200 && status < 300) onProgress?.()
  }

  #settle (outcome: Outcome<BufferedResponse>): void {
    if (this.#settled) return
    this.#settled = true
    this.#deadline.clear()
    this.#resolve(outcome)
  }
}
