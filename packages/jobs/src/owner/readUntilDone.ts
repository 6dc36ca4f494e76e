import { sleep, valueOf, type Outcome } from '@gypsumspring/protocol'
import type { MetricsRecorder } from '../ports.ts'

/** Wait before a read that failed is repeated, in ms. */
export const READ_RETRY_MS = 100

/** Repeats a read until it succeeds; undefined when the owner has ended before. */
export async function readUntilDone<Value> (
  read: () => Promise<Outcome<Value>>, what: string, ended: AbortSignal, counters: MetricsRecorder
): Promise<Value | undefined> {
  while (!ended.aborted) {
    const value = valueOf(await read())
    if (value !== undefined) return value
    counters.count('store_retries', { what })
    await sleep(READ_RETRY_MS)
  }
  return undefined
}
