import { createHash } from 'node:crypto'

/**
 * Computes a phase offset from a hash, so that the periodic work of many instances is spread over the period.
 *
 * @param key - Identifies the instance.
 * @param periodMs - Length of the period in ms.
 * @returns Offset within the period in ms; equal keys give equal offsets.
 *
 * @example
 * computePhase('worker-7', 5_000)
 */
export function computePhase (key: string, periodMs: number): number {
  return createHash('sha1').update(key).digest().readUInt32BE(0) % Math.max(1, Math.round(periodMs))
}
