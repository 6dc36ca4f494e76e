import { done, parseJson, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import type { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { exchange, toReason, type ExchangeRequest } from '../_lib/exchange.ts'
import { readBody } from '../_lib/readBody.ts'
import { MAX_ANSWER_BYTES } from '../constants/index.ts'

export interface JsonAnswer {
  status: number
  /** Parsed body; undefined when the body is empty or not JSON. */
  body: unknown
}

interface JsonRequest extends Omit<ExchangeRequest, 'body'> {
  /** Sent as JSON. */
  body?: unknown
}

/**
 * Makes a call with JSON bodies and leaves the meaning of the status to the caller.
 *
 * @param pool - Connections to the other side.
 * @param request - The call; `timeoutMs` covers the whole answer.
 * @returns The answer. Failures are `not-done` when the request was not written to a connection, else `unknown`.
 *
 * @example
 * await requestJson(pool, { method: 'GET', path: '/v1/machines', timeoutMs: 1000 })
 */
export async function requestJson (pool: ConnectionPool, request: JsonRequest): Promise<Outcome<JsonAnswer>> {
  const body = request.body === undefined ? undefined : JSON.stringify(request.body)
  const headers = body === undefined ? request.headers : { ...request.headers, 'content-type': 'application/json' }
  const outcome = await exchange(pool, { ...request, headers, body })
  if (outcome.isLeft()) return outcome as Outcome<never>
  const answer = outcome.unsafeCoerce()
  try {
    const bytes = await readBody(answer.body, MAX_ANSWER_BYTES)
    return done({ status: answer.status, body: bytes === undefined ? undefined : parseJson(bytes) })
  } catch (error) {
    return unknownEffect(toReason(error as Error), `the answer was cut off: ${(error as Error).message}`)
  }
}
