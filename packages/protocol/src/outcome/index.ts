import { Left, Right, type Either } from 'purify-ts/Either'

/**
 * Whether a failed call certainly had no effect (`not-done`) or may have had one (`unknown`), for example if it took
 * effect and the response was lost.
 */
export type Certainty = 'not-done' | 'unknown'

/** Reason for a failed call. The values are also used as metric labels. */
export type FailureReason =
  | 'conflict'
  | 'invalid'
  | 'not-found'
  | 'stale-epoch'
  | 'session-expired'
  | 'no-capacity'
  | 'overloaded'
  | 'unavailable'
  | 'timeout'
  | 'closed'

/** Failure of a call to another process or an external service. */
export interface Failure {
  certainty: Certainty
  reason: FailureReason
  /** Short description for logs and operators. */
  message: string
  /** Minimum delay before a retry, in ms; absent if a retry can't help. */
  retryAfterMs?: number
}

/** Result of a call: a `Right` with the value or a `Left` with the failure. */
export type Outcome<Value> = Either<Failure, Value>

interface FailureOptions {
  retryAfterMs?: number
}

/**
 * Creates the outcome of a failed call that certainly had no effect.
 *
 * @param reason - Why the call failed.
 * @param message - Short description for logs.
 * @param options.retryAfterMs - Minimum delay before a retry, in ms. Default: none.
 * @returns A `Left` with certainty `not-done`.
 *
 * @example
 * notDone('conflict', 'row version is 4, expected 3')
 */
export function notDone (reason: FailureReason, message: string, options: FailureOptions = {}): Either<Failure, never> {
  return Left({ certainty: 'not-done' as const, reason, message, ...options })
}

/**
 * Creates the outcome of a failed call that may have taken effect.
 *
 * @param reason - Why the outcome is unknown.
 * @param message - Short description for logs.
 * @param options.retryAfterMs - Minimum delay before a retry, in ms. Default: none.
 * @returns A `Left` with certainty `unknown`.
 *
 * @example
 * unknownEffect('timeout', 'no response from the table within 500 ms')
 */
export function unknownEffect (
  reason: FailureReason, message: string, options: FailureOptions = {}
): Either<Failure, never> {
  return Left({ certainty: 'unknown' as const, reason, message, ...options })
}

/**
 * Creates the outcome of a successful call.
 *
 * @param value - The result.
 * @returns A `Right`.
 *
 * @example
 * done({ version: 3 })
 */
export function done<Value> (value: Value): Outcome<Value> {
  return Right(value)
}

/**
 * Returns the value of an outcome.
 *
 * @param outcome - An outcome.
 * @returns The value, or undefined for a failure.
 *
 * @example
 * valueOf(done(4)) // 4
 */
export function valueOf<Value> (outcome: Outcome<Value>): Value | undefined {
  return outcome.isRight() ? outcome.unsafeCoerce() : undefined
}

/**
 * Returns the failure of an outcome.
 *
 * @param outcome - An outcome.
 * @returns The failure, or undefined for a value.
 *
 * @example
 * failureOf(notDone('closed', 'the client was closed'))?.reason // 'closed'
 */
export function failureOf (outcome: Outcome<unknown>): Failure | undefined {
  return outcome.swap().isRight() ? outcome.swap().unsafeCoerce() : undefined
}
