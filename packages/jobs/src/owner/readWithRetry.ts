import { sleep, valueOf, type Outcome } from '@gypsumspring/protocol'
import type { MetricsRecorder } from '../ports.ts'

/** Delay before a failed read is retried, in ms. */
export const READ_RETRY_DELAY_MS = 100

/**
 * Retries a read until it succeeds.
 *
 * @param what - Label of the `store_retries` metric.
 * @returns The value, or undefined when `signal` was aborted first.
 */
export async function readWithRetry<Value> (
  read: () => Promise<Outcome<Value>>, what: string, signal: AbortSignal, metrics: MetricsRecorder
): Promise<Value | undefined> {
  while (!signal.aborted) {
    const value = valueOf(await read())
    if (value !== undefined) return value
    metrics.count('store_retries', { what })
    await sleep(READ_RETRY_DELAY_MS)
  }
  return undefined
}
