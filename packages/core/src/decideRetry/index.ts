import type { AttemptResult } from '../recordTypes.ts'
import type { WorkloadKind } from '@gypsumspring/protocol'

export interface RetryPolicy {
  kind: WorkloadKind
  restart: 'always' | 'on-failure' | 'never'
  retryLimit: number
}

export type RetryDecision =
  | { kind: 'retry', delayMs: number }
  | { kind: 'over', succeeded: boolean }

/** Delay before the first retry of a failed task; it doubles with each failure. */
const FIRST_BACKOFF_MS = 500

/** Maximum delay before a retry. */
const LONGEST_BACKOFF_MS = 30_000

/**
 * Decides whether a task runs again after an attempt has ended.
 *
 * @param result - How the attempt ended.
 * @param failures - Failures of the task so far, including this one.
 * @param policy - Retry policy of the workload.
 * @returns A retry after a delay in ms, or the final outcome of the task. Attempts that were refused, stopped or
 * checkpointed don't count as failures; services are retried without limit.
 *
 * @example
 * decideRetry('failed', 1, { kind: 'batch', restart: 'on-failure', retryLimit: 3 })
 * // => { kind: 'retry', delayMs: 500 }
 */
export function decideRetry (result: AttemptResult, failures: number, policy: RetryPolicy): RetryDecision {
  if (result === 'succeeded') {
    return policy.kind === 'service' && policy.restart === 'always'
      ? { kind: 'retry', delayMs: FIRST_BACKOFF_MS }
      : { kind: 'over', succeeded: true }
  }
  // Without a delay, a start that a worker refuses would be repeated with each flush of the journal.
  if (result === 'refused') return { kind: 'retry', delayMs: FIRST_BACKOFF_MS }
  if (!isFailure(result)) return { kind: 'retry', delayMs: 0 }
  const exhausted = policy.restart === 'never' || (policy.kind !== 'service' && failures > policy.retryLimit)
  if (exhausted) return { kind: 'over', succeeded: false }
  return { kind: 'retry', delayMs: Math.min(FIRST_BACKOFF_MS * 2 ** Math.max(0, failures - 1), LONGEST_BACKOFF_MS) }
}

/** Whether a result counts against the retry limit. */
export function isFailure (result: AttemptResult): boolean {
  return result === 'failed' || result === 'lost'
}
