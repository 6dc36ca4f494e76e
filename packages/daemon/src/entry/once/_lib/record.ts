import { Type, type Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'

/** Row of a not-repeatable request: `once/<team>/<endpoint>/<request id>`. */
export const OnceRecord = Type.Object({
  entry: Type.String(),
  /** RPC address of the claiming entry. */
  address: Type.String(),
  incarnation: Type.String(),
  nonce: Type.String(),
  state: Type.Union([Type.Literal('claimed'), Type.Literal('done')]),
  fingerprint: Type.String(),
  /** When the claim was made, in minutes since 1970 by the clock of the claiming entry. */
  minute: Type.Integer({ minimum: 0 }),
  /** Object that holds the answer; absent for an answer that was too long to keep. */
  answer: Type.Optional(Type.String())
})
export type OnceRecord = Static<typeof OnceRecord>

const MS_PER_MINUTE = 60_000

export function recordKey (place: { team: string, endpoint: string, requestId: string }): string {
  return `once/${place.team}/${place.endpoint}/${place.requestId}`
}

/** Row that lists a record for its removal; written and deleted in one transaction with the record. */
export function expiryKey (key: string, minute: number): string {
  return `${expiryPrefix(minute)}${key}`
}

/** Object that holds the answer of an attempt. */
export function answerKey (key: string, nonce: string): string {
  return `${key}/${nonce}`
}

/** Prefix of the rows that list one minute's records (since 1970), so that old ones are found without a full scan. */
export function expiryPrefix (minute: number): string {
  return `once-expiry/${String(minute).padStart(10, '0')}/`
}

export function toMinute (wallClockMs: number): number {
  return Math.floor(wallClockMs / MS_PER_MINUTE)
}

export function parseRecord (value: unknown): OnceRecord | undefined {
  return Value.Check(OnceRecord, value) ? value : undefined
}
