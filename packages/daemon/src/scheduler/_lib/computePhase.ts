import { createHash } from 'node:crypto'

/**
 * Spreads periodic work of many instances over a period.
 *
 * @param key - Identifies the instance.
 * @param periodMs - Length of the period in ms.
 * @returns An offset within the period in ms, the same for the same key.
 *
 * @example
 * computePhase('worker-7', 5_000)
 */
export function computePhase (key: string, periodMs: number): number {
  return createHash('sha1').update(key).digest().readUInt32BE(0) % Math.max(1, Math.round(periodMs))
}
