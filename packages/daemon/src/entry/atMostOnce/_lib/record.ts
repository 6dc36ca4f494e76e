import { Type, type Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'

/** Row of a non-repeatable request, stored under `once/<team>/<endpoint>/<request id>`. */
export const AtMostOnceRecord = Type.Object({
  entry: Type.String(),
  /** RPC address of the claiming entry. */
  address: Type.String(),
  incarnation: Type.String(),
  nonce: Type.String(),
  state: Type.Union([Type.Literal('claimed'), Type.Literal('done')]),
  fingerprint: Type.String(),
  /** Time of the claim, in minutes since 1970 by the clock of the claiming entry. */
  minute: Type.Integer({ minimum: 0 }),
  /** Key of the object that holds the response; absent if the response was too large to store. */
  answer: Type.Optional(Type.String())
})
export type AtMostOnceRecord = Static<typeof AtMostOnceRecord>

const MS_PER_MINUTE = 60_000

export function recordKey (request: { team: string, endpoint: string, requestId: string }): string {
  return `once/${request.team}/${request.endpoint}/${request.requestId}`
}

/** Key of the row that lists a record for its deletion; written and deleted in one transaction with the record. */
export function expiryKey (key: string, minute: number): string {
  return `${expiryPrefix(minute)}${key}`
}

/** Key of the object that holds the response of an attempt. */
export function responseKey (key: string, nonce: string): string {
  return `${key}/${nonce}`
}

/** Key prefix of the rows that list the records of one minute; expired records are found by it without a full scan. */
export function expiryPrefix (minute: number): string {
  return `once-expiry/${String(minute).padStart(10, '0')}/`
}

export function toMinute (wallClockMs: number): number {
  return Math.floor(wallClockMs / MS_PER_MINUTE)
}

export function parseRecord (value: unknown): AtMostOnceRecord | undefined {
  return Value.Check(AtMostOnceRecord, value) ? value : undefined
}
