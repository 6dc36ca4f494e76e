import type { FastifyReply } from 'fastify'
import type { FailureReason, Outcome } from '@gypsumspring/protocol'

const STATUS_BY_REASON: Record<FailureReason, number> = {
  conflict: 409,
  invalid: 400,
  'not-found': 404,
  'stale-epoch': 409,
  'session-expired': 409,
  'no-capacity': 409,
  overloaded: 429,
  unavailable: 503,
  timeout: 504,
  closed: 503
}

/**
 * Sends the outcome of a call as an HTTP response. A failure of certainty `unknown` simulates a lost response: the
 * connection is closed without one.
 *
 * @param reply - Fastify reply to send.
 * @param outcome - Result of the call.
 * @param toBody - Converts the value of a successful call to the response body. Default: the value itself.
 * @returns The reply.
 */
export function sendOutcome<Value> (
  reply: FastifyReply, outcome: Outcome<Value>, toBody: (value: Value) => unknown = (value) => value
): FastifyReply {
  return outcome.caseOf({
    Right: (value) => reply.send(toBody(value)),
    Left: (failure) => {
      if (failure.certainty === 'unknown') return dropConnection(reply)
      if (failure.retryAfterMs !== undefined) reply.header('retry-after', Math.ceil(failure.retryAfterMs / 1000))
      return reply.code(STATUS_BY_REASON[failure.reason]).send(failure)
    }
  })
}

/** Closes the connection of a request without a response. */
export function dropConnection (reply: FastifyReply): FastifyReply {
  reply.hijack()
  reply.raw.destroy()
  return reply
}
