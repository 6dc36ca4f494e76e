import { Left, Right, type Either } from 'purify-ts/Either'

/** Whether a failed call certainly had no effect or may have had one (took effect, answer lost). */
export type Certainty = 'not-done' | 'unknown'

/** Closed list of reasons for a failed call; each is also the label of a counter. */
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

/** The failure side of every call to another process or external system. */
export interface Failure {
  certainty: Certainty
  reason: FailureReason
  /** One short sentence for logs and operators. */
  message: string
  /** Earliest useful retry, in ms; absent when a retry can't help. */
  retryAfterMs?: number
}

export type Outcome<Value> = Either<Failure, Value>

interface FailureOptions {
  retryAfterMs?: number
}

/**
 * Builds the outcome of a call that certainly had no effect.
 *
 * @param reason - Why the call failed.
 * @param message - One short sentence for logs.
 * @param options.retryAfterMs - Earliest useful retry in ms. Default: none.
 * @returns A `Left` with certainty `not-done`.
 *
 * @example
 * notDone('conflict', 'row version is 4, expected 3')
 */
export function notDone (reason: FailureReason, message: string, options: FailureOptions = {}): Either<Failure, never> {
  return Left({ certainty: 'not-done' as const, reason, message, ...options })
}

/**
 * Builds the outcome of a call that may have taken effect although no answer arrived.
 *
 * @param reason - Why the answer is missing.
 * @param message - One short sentence for logs.
 * @param options.retryAfterMs - Earliest useful retry in ms. Default: none.
 * @returns A `Left` with certainty `unknown`.
 *
 * @example
 * unknownEffect('timeout', 'no answer from the table within 500 ms')
 */
export function unknownEffect (
  reason: FailureReason, message: string, options: FailureOptions = {}
): Either<Failure, never> {
  return Left({ certainty: 'unknown' as const, reason, message, ...options })
}

/**
 * Builds the outcome of a call that succeeded.
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
