import type { FastifyReply } from 'fastify'
import type { FailureReason, Outcome } from '@gypsumspring/protocol'

const STATUSES: Record<FailureReason, number> = {
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
 * Answers an HTTP request with the outcome of a call. A failure of certainty `unknown` stands for a lost answer: the
 * connection is closed without one.
 *
 * @param reply - Reply of the request.
 * @param outcome - Result of the call.
 * @param render - Makes the body of a success. Default: the value itself.
 * @returns The reply.
 */
export function sendOutcome<Value> (
  reply: FastifyReply, outcome: Outcome<Value>, render: (value: Value) => unknown = (value) => value
): FastifyReply {
  return outcome.caseOf({
    Right: (value) => reply.send(render(value)),
    Left: (failure) => {
      if (failure.certainty === 'unknown') return dropConnection(reply)
      if (failure.retryAfterMs !== undefined) reply.header('retry-after', Math.ceil(failure.retryAfterMs / 1000))
      return reply.code(STATUSES[failure.reason]).send(failure)
    }
  })
}

/** Closes the connection of a request without an answer. */
export function dropConnection (reply: FastifyReply): FastifyReply {
  reply.hijack()
  reply.raw.destroy()
  return reply
}
