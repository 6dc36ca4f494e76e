import type { Client, Dispatcher } from 'undici'
import undiciRequest from 'undici/lib/api/api-request.js'
import { done, notDone, unknownEffect, type FailureReason, type Outcome } from '@gypsumspring/protocol'
import type { ConnectionPool } from './ConnectionPool.ts'
import { Deadline, RequestAbortedError } from './Deadline.ts'

export interface HttpRequest {
  method: string
  path: string
  headers?: Record<string, string | string[]>
  body?: Uint8Array | string
  /** Time limit in ms: for the whole exchange, or with `stallTimeoutMs` until the response begins. */
  timeoutMs: number
  /** Longest pause between two parts of the response, in ms. Default: no such limit; `timeoutMs` ends the exchange. */
  stallTimeoutMs?: number
  /** Called when a part of a response with a status of 2xx arrives. */
  onProgress?: () => void
  signal?: AbortSignal
}

export type HttpResponse = Pick<Dispatcher.ResponseData, 'headers' | 'body'> & { status: number }

/** The callbacks of undici's request handler that are observed here. */
type RequestHandler = Dispatcher.DispatchHandler & {
  onConnect: (...args: unknown[]) => void
  onHeaders: (...args: [statusCode: number, ...unknown[]]) => boolean
  onData: (...args: unknown[]) => boolean
}

/**
 * Sends an HTTP request and resolves once the response head has arrived. The connection stays in use until the response
 * body is read or destroyed.
 *
 * @param pool - Connections to the server.
 * @param request - The request to send.
 * @returns The response with its body as a stream, which fails if the body is truncated or the deadline passes. A
 * failure is `not-done` if the request was not written to a connection, else `unknown`.
 *
 * @example
 * await sendRequest(pool, { method: 'GET', path: '/healthz', timeoutMs: 500 })
 */
export async function sendRequest (pool: ConnectionPool, request: HttpRequest): Promise<Outcome<HttpResponse>> {
  const deadline = new Deadline(request.timeoutMs, request.signal)
  const client = await pool.acquire(deadline.signal)
  if (client === undefined) {
    deadline.clear()
    if (pool.closed) return notDone('closed', 'the client was closed')
    return notDone(deadline.reason, `no connection became available: ${deadline.message}`)
  }
  return await sendOnConnection(client, pool, request, deadline)
}

function sendOnConnection (
  client: Client, pool: ConnectionPool, request: HttpRequest, deadline: Deadline
): Promise<Outcome<HttpResponse>> {
  let written = false
  let isSuccessful = false
  const recordProgress = () => {
    if (request.stallTimeoutMs !== undefined) deadline.restart(request.stallTimeoutMs)
    if (isSuccessful) request.onProgress?.()
  }
  // undici calls onConnect right before it writes the first byte of the request.
  const dispatch = (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) => {
    const { onConnect, onHeaders, onData } = handler as RequestHandler
    return client.dispatch(options, Object.assign(handler, {
      onConnect: (...args: unknown[]) => {
        if (!deadline.signal.aborted) written = true
        onConnect.apply(handler, args)
      },
      onHeaders: (...args: [statusCode: number, ...unknown[]]) => {
        isSuccessful = args[0] >= 200 && args[0] < 300
        recordProgress()
        return onHeaders.apply(handler, args)
      },
      onData: (...args: unknown[]) => {
        recordProgress()
        return onData.apply(handler, args)
      }
    }))
  }
  const { method, headers, body } = request
  const path = pool.basePath + request.path
  const options = { method: method as Dispatcher.HttpMethod, path, headers, body, signal: deadline.signal }
  return new Promise((resolve) => {
    const onAbort = () => {
      if (written) return
      // The connection is still being established, so the request has not been written.
      pool.discard(client)
      resolve(notDone(deadline.reason, `the connection was not established: ${deadline.message}`))
    }
    deadline.signal.addEventListener('abort', onAbort, { once: true })
    const onResponse = (response: Dispatcher.ResponseData) => {
      response.body.on('error', () => {})
      response.body.once('close', () => {
        deadline.clear()
        pool.release(client)
      })
      resolve(done({ status: response.statusCode, headers: response.headers, body: response.body }))
    }
    const onError = (error: Error) => {
      deadline.signal.removeEventListener('abort', onAbort)
      deadline.clear()
      pool.release(client)
      const reason = classifyError(error)
      resolve(written ? unknownEffect(reason, error.message) : notDone(reason, error.message))
    }
    const send = () => undiciRequest.call({ dispatch }, options)
    // The server may have closed an idle connection. A request that fails on it before being written is safe to resend
    // on a new connection.
    const retryBrokenConnection = (error: Error & { code?: string }) => {
      if (written || deadline.signal.aborted || !BROKEN_CONNECTION_CODES.has(error.code ?? '')) throw error
      return send()
    }
    send().catch(retryBrokenConnection).then(onResponse, onError)
  })
}

/** Error codes of a connection that the server has closed. */
export const BROKEN_CONNECTION_CODES = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'])

const REASONS_BY_ERROR_CODE: Record<string, FailureReason> = {
  ECONNREFUSED: 'unavailable',
  EHOSTUNREACH: 'unavailable',
  ENETUNREACH: 'unavailable',
  EADDRNOTAVAIL: 'unavailable',
  UND_ERR_CONNECT_TIMEOUT: 'timeout',
  UND_ERR_INVALID_ARG: 'invalid',
  UND_ERR_NOT_SUPPORTED: 'invalid',
  UND_ERR_HEADERS_OVERFLOW: 'invalid'
}

/**
 * Maps an error from a request or its response body to a failure reason.
 *
 * @param error - The error thrown.
 * @returns The reason given by the `Deadline` if it aborted the request, else the one for the error code; `closed` for
 * unknown codes.
 */
export function classifyError (error: Error & { code?: string }): FailureReason {
  if (error instanceof RequestAbortedError) return error.reason
  const { code = '' } = error
  return error.name === 'HTTPParserError' ? 'invalid' : REASONS_BY_ERROR_CODE[code] ?? 'closed'
}
