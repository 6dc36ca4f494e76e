import type { Client, Dispatcher } from 'undici'
import request from 'undici/lib/api/api-request.js'
import { done, notDone, unknownEffect, type FailureReason, type Outcome } from '@gypsumspring/protocol'
import type { ConnectionPool } from './ConnectionPool.ts'
import { AbortedExchange, Deadline } from './Deadline.ts'

export interface ExchangeRequest {
  method: string
  path: string
  headers?: Record<string, string | string[]>
  body?: Uint8Array | string
  /** Limits the whole exchange, body of the answer included, in ms. */
  timeoutMs: number
  signal?: AbortSignal
}

export type Exchange = Pick<Dispatcher.ResponseData, 'headers' | 'body'> & { status: number }

type Handler = Dispatcher.DispatchHandler & { onConnect: (...args: unknown[]) => void }

/**
 * Runs one HTTP exchange up to the head of the answer. The connection stays in use until the body is read or destroyed.
 *
 * @param pool - Connections to the other side.
 * @param message - What to send.
 * @returns The head and the body as a stream, which fails when cut off or late. Failures are `not-done` when the
 * request was not written to a connection, else `unknown`.
 *
 * @example
 * await exchange(pool, { method: 'GET', path: '/healthz', timeoutMs: 500 })
 */
export async function exchange (pool: ConnectionPool, message: ExchangeRequest): Promise<Outcome<Exchange>> {
  const deadline = new Deadline(message.timeoutMs, message.signal)
  const client = await pool.acquire(deadline.signal)
  if (client === undefined) {
    deadline.clear()
    if (pool.closed) return notDone('closed', 'the client was closed')
    return notDone(deadline.reason, `no connection became free: ${deadline.text}`)
  }
  return await exchangeOn(client, pool, message, deadline)
}

function exchangeOn (
  client: Client, pool: ConnectionPool, message: ExchangeRequest, deadline: Deadline
): Promise<Outcome<Exchange>> {
  let written = false
  // undici calls onConnect just before it writes the first byte.
  const dispatch = (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) => {
    const { onConnect } = handler as Handler
    const recordWrite = (...args: unknown[]) => {
      if (!deadline.signal.aborted) written = true
      onConnect.apply(handler, args)
    }
    return client.dispatch(options, Object.assign(handler, { onConnect: recordWrite }))
  }
  const { method, headers, body } = message
  const path = pool.basePath + message.path
  const options = { method: method as Dispatcher.HttpMethod, path, headers, body, signal: deadline.signal }
  return new Promise((resolve) => {
    const onAbort = () => {
      if (written) return
      // The connection is still being made. The request is dropped before it is written.
      pool.discard(client)
      resolve(notDone(deadline.reason, `no connection was made: ${deadline.text}`))
    }
    deadline.signal.addEventListener('abort', onAbort, { once: true })
    const onAnswer = (answer: Dispatcher.ResponseData) => {
      answer.body.on('error', () => {})
      answer.body.once('close', () => {
        deadline.clear()
        pool.release(client)
      })
      resolve(done({ status: answer.statusCode, headers: answer.headers, body: answer.body }))
    }
    const onError = (error: Error) => {
      deadline.signal.removeEventListener('abort', onAbort)
      deadline.clear()
      pool.release(client)
      const reason = toReason(error)
      resolve(written ? unknownEffect(reason, error.message) : notDone(reason, error.message))
    }
    const send = () => request.call({ dispatch }, options)
    // An idle connection that turns out to be broken fails the request before it is written; a new one is made then.
    const sendAgain = (error: Error & { code?: string }) => {
      if (written || deadline.signal.aborted || !BROKEN_CONNECTION.has(error.code ?? '')) throw error
      return send()
    }
    send().catch(sendAgain).then(onAnswer, onError)
  })
}

const BROKEN_CONNECTION = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'])

const REASONS: Record<string, FailureReason> = {
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
 * Finds the reason of a failure for an error of an exchange or of its body.
 *
 * @param error - What was thrown.
 * @returns `timeout` or `closed` when aborted from this side; else by the error's code, `closed` for unknown ones.
 */
export function toReason (error: Error & { code?: string }): FailureReason {
  if (error instanceof AbortedExchange) return error.reason
  const { code = '' } = error
  return error.name === 'HTTPParserError' ? 'invalid' : REASONS[code] ?? 'closed'
}
