import { TypeCompiler, type TypeCheck } from '@sinclair/typebox/compiler'
import { notDone, parseJson, unknownEffect, type FailureReason, type Outcome } from '@gypsumspring/protocol'
import { FailureResponse } from '../wire/index.ts'

let failureResponseCheck: TypeCheck<typeof FailureResponse> | undefined

/**
 * Converts an error response to a failure. Uses the body if it matches `FailureResponse`, else the status code.
 *
 * @param status - HTTP status, 300 and above.
 * @param headers - Headers with names in lower case; `retry-after` is read in seconds.
 * @param body - The whole body, or undefined if it was not read.
 * @returns The failure. Without a valid body, it is `not-done` for 429 and for the status codes with which a server
 * rejects a request before processing it, and `unknown` for all others.
 *
 * @example
 * readFailure(429, { 'retry-after': '1' }, undefined) // Left({ certainty: 'not-done', reason: 'overloaded', ... })
 */
export function parseFailureResponse (
  status: number, headers: Record<string, string | string[] | undefined>, body: Uint8Array | undefined
): Outcome<never> {
  const failure = parseFailureBody(body)
  const retryAfterMs = failure?.retryAfterMs ?? parseRetryAfter(headers['retry-after'])
  const options = retryAfterMs === undefined ? {} : { retryAfterMs }
  if (failure !== undefined) {
    const createFailure = failure.certainty === 'not-done' ? notDone : unknownEffect
    return createFailure(failure.reason as FailureReason, failure.message, options)
  }
  const [certainty, reason] = classifyStatus(status)
  return (certainty === 'not-done' ? notDone : unknownEffect)(reason, `unexpected HTTP status ${status}`, options)
}

/**
 * Parses a `retry-after` header.
 *
 * @param value - Header value in seconds. The date form is ignored, since it would compare the clocks of two machines.
 * @returns The delay in ms, or undefined if the header is absent or invalid.
 */
export function parseRetryAfter (value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' && /^\d{1,9}$/.test(value) ? Number(value) * 1000 : undefined
}

/** Status codes that reject a request before it is processed. */
const REJECTED_STATUSES = new Set([400, 401, 403, 404, 405, 406, 411, 413, 414, 415, 422, 431])

function classifyStatus (status: number): ['not-done' | 'unknown', FailureReason] {
  if (status === 429) return ['not-done', 'overloaded']
  if (REJECTED_STATUSES.has(status)) return ['not-done', 'invalid']
  return ['unknown', status === 504 || status === 408 ? 'timeout' : 'unavailable']
}

function parseFailureBody (body: Uint8Array | undefined): FailureResponse | undefined {
  if (body === undefined) return undefined
  failureResponseCheck ??= TypeCompiler.Compile(FailureResponse)
  const value = parseJson(body)
  return failureResponseCheck.Check(value) ? value : undefined
}
