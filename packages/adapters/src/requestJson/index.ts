import { parseJson, type Outcome } from '@gypsumspring/protocol'
import type { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { exchange, type ExchangeRequest } from '../_lib/exchange.ts'
import { MAX_RESPONSE_BYTES } from '../constants/index.ts'

export interface JsonResponse {
  status: number
  /** Parsed body; undefined if the body is empty, too large or not JSON. */
  body: unknown
}

interface JsonRequest extends Omit<ExchangeRequest, 'body'> {
  /** Encoded as JSON. */
  body?: unknown
}

/**
 * Sends a JSON request and returns the response whatever its status; the caller interprets the status.
 *
 * @param pool - Connections to the server.
 * @param request - The request; without `stallTimeoutMs`, `timeoutMs` includes reading the whole response.
 * @returns The response. A failure is `not-done` if the request was not written to a connection, else `unknown`.
 *
 * @example
 * await requestJson(pool, { method: 'GET', path: '/v1/machines', timeoutMs: 1000 })
 */
export async function requestJson (pool: ConnectionPool, request: JsonRequest): Promise<Outcome<JsonResponse>> {
  const body = request.body === undefined ? undefined : JSON.stringify(request.body)
  const headers = body === undefined ? request.headers : { ...request.headers, 'content-type': 'application/json' }
  const outcome = await exchange(pool, { ...request, headers, body }, MAX_RESPONSE_BYTES)
  return outcome.map(({ status, bytes }) => ({ status, body: bytes === undefined ? undefined : parseJson(bytes) }))
}
