import type { AttemptEnd } from '../recordTypes.ts'
import type { WorkloadKind } from '@gypsumspring/protocol'

export interface RetryPolicy {
  kind: WorkloadKind
  restart: 'always' | 'on-failure' | 'never'
  retryLimit: number
}

export type AfterEnd =
  | { kind: 'retry', delayMs: number }
  | { kind: 'over', succeeded: boolean }

/** First delay before a failed task runs again; it doubles with each failure. */
const FIRST_BACKOFF_MS = 500

/** Longest delay before a failed task runs again. */
const LONGEST_BACKOFF_MS = 30_000

/**
 * Decides what follows the end of a task's attempt.
 *
 * @param result - How the attempt ended.
 * @param failures - Failures of the task so far, this one included.
 * @param policy - The workload's policy.
 * @returns A new attempt after a delay in ms, or the end of the task. Attempts that were refused, stopped or
 * checkpointed don't count as failures; services are retried without a limit.
 *
 * @example
 * decideAfterEnd('failed', 1, { kind: 'batch', restart: 'on-failure', retryLimit: 3 })
 * // => { kind: 'retry', delayMs: 500 }
 */
export function decideAfterEnd (result: AttemptEnd, failures: number, policy: RetryPolicy): AfterEnd {
  if (result === 'succeeded') {
    return policy.kind === 'service' && policy.restart === 'always'
      ? { kind: 'retry', delayMs: FIRST_BACKOFF_MS }
      : { kind: 'over', succeeded: true }
  }
  // Without a delay a worker that refuses a start would be asked again with each journal flush.
  if (result === 'refused') return { kind: 'retry', delayMs: FIRST_BACKOFF_MS }
  if (!isFailure(result)) return { kind: 'retry', delayMs: 0 }
  const exhausted = policy.restart === 'never' || (policy.kind !== 'service' && failures > policy.retryLimit)
  if (exhausted) return { kind: 'over', succeeded: false }
  return { kind: 'retry', delayMs: Math.min(FIRST_BACKOFF_MS * 2 ** Math.max(0, failures - 1), LONGEST_BACKOFF_MS) }
}

/** Ends that count against the retry limit. */
export function isFailure (result: AttemptEnd): boolean {
  return result === 'failed' || result === 'lost'
}
