import { TypeCompiler, type TypeCheck } from '@sinclair/typebox/compiler'
import { notDone, parseJson, unknownEffect, type FailureReason, type Outcome } from '@gypsumspring/protocol'
import { FailureAnswer } from '../wire/index.ts'

let check: TypeCheck<typeof FailureAnswer> | undefined

/**
 * Turns an answer other than success into a failure. A valid failure body decides; without one the status does.
 *
 * @param status - HTTP status, 300 and above.
 * @param headers - Headers with names in lower case; `retry-after` is read in seconds.
 * @param body - The whole body, or undefined when it was not read.
 * @returns The failure. Without a valid body, 429 and the statuses by which a server rejects a request before acting on
 * it are `not-done`; all others are `unknown`.
 *
 * @example
 * readFailure(429, { 'retry-after': '1' }, undefined) // Left({ certainty: 'not-done', reason: 'overloaded', ... })
 */
export function readFailure (
  status: number, headers: Record<string, string | string[] | undefined>, body: Uint8Array | undefined
): Outcome<never> {
  const failure = parseFailure(body)
  const retryAfterMs = failure?.retryAfterMs ?? readRetryAfter(headers['retry-after'])
  const options = retryAfterMs === undefined ? {} : { retryAfterMs }
  if (failure !== undefined) {
    const build = failure.certainty === 'not-done' ? notDone : unknownEffect
    return build(failure.reason as FailureReason, failure.message, options)
  }
  const [certainty, reason] = classifyStatus(status)
  return (certainty === 'not-done' ? notDone : unknownEffect)(reason, `answered with status ${status}`, options)
}

/**
 * Reads a `retry-after` header.
 *
 * @param value - Header value in seconds; the date form is ignored, since clocks are not compared.
 * @returns Milliseconds, or undefined when absent or invalid.
 */
export function readRetryAfter (value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' && /^\d{1,9}$/.test(value) ? Number(value) * 1000 : undefined
}

const REJECTED_STATUSES = new Set([400, 401, 403, 404, 405, 406, 411, 413, 414, 415, 422, 431])

function classifyStatus (status: number): ['not-done' | 'unknown', FailureReason] {
  if (status === 429) return ['not-done', 'overloaded']
  if (REJECTED_STATUSES.has(status)) return ['not-done', 'invalid']
  return ['unknown', status === 504 || status === 408 ? 'timeout' : 'unavailable']
}

function parseFailure (body: Uint8Array | undefined): FailureAnswer | undefined {
  if (body === undefined) return undefined
  check ??= TypeCompiler.Compile(FailureAnswer)
  const value = parseJson(body)
  return check.Check(value) ? value : undefined
}
