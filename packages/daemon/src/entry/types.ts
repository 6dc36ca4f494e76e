import type { RequestClass } from '@gypsumspring/core'

export type HeaderFields = Record<string, string | string[]>

/** The part of a caller's request that goes to a runner. */
export interface ForwardedRequest {
  method: string
  /** Path with the query, starting with a slash. */
  path: string
  headers: HeaderFields
  body: Uint8Array
}

/** A checked request of a caller. Times are ms on this process's monotonic clock. */
export interface CallerCall {
  endpoint: string
  team: string
  class: RequestClass
  /** The caller's own id, or one made here when the caller gave none. */
  requestId: string
  repeatable: boolean
  /** The caller says that no copy of this request was sent before. */
  firstAttempt: boolean
  arrivedAt: number
  deadline: number
  forwarded: ForwardedRequest
}

export interface WholeAnswer {
  status: number
  headers: HeaderFields
  body: Uint8Array
}

export interface StreamedAnswer {
  status: number
  headers: HeaderFields
  /** Throws when the runner's answer ends early. Must be iterated to its end or returned from. */
  body: AsyncIterable<Uint8Array>
}

/** How the route task ended a request. */
export type RouteResult =
  | { kind: 'answered', answer: WholeAnswer }
  | { kind: 'streaming', answer: StreamedAnswer }
  | { kind: 'not-run', reason: string, retryAfterMs: number }
  | { kind: 'unknown', retryAfterMs: number, reason?: string }

/** What a caller is told. */
export type CallResult =
  | RouteResult
  | { kind: 'in-flight', retryAfterMs: number }
  /** The request id was used before with another method, path or body. */
  | { kind: 'mismatch' }

/** A request on its way. */
export interface Call<Result> {
  result: Promise<Result>
  /** The caller has gone away. */
  abandon (): void
}
