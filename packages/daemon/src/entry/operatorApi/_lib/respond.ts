import type { SchemaViolation } from '@gypsumspring/protocol'
import type { FastifyReply } from 'fastify'
import { STORE_RETRY_AFTER_MS } from '../../constants/index.ts'
import type { ChangeResult } from '../../configurationWriter/index.ts'

/** Responds to an operator's change; `refuse` sends the response if the change itself was refused. */
export function respondToChange<Refusal> (
  reply: FastifyReply, result: ChangeResult<Refusal>, refuse: (refusal: Refusal) => FastifyReply, scope?: string
): FastifyReply {
  switch (result.kind) {
    case 'accepted': {
      const scopeVersion = scope === undefined ? undefined : result.index.scopes[scope]?.version
      return reply.send({ outcome: 'accepted', version: result.index.version, scopeVersion, changed: result.changed })
    }
    case 'refused':
      return refuse(result.refusal)
    case 'not-done':
      return respondNotDone(reply, result.reason)
    case 'unknown':
      return reply.code(504).header('retry-after', String(STORE_RETRY_AFTER_MS / 1000)).send({
        outcome: 'unknown',
        reason: 'store-unavailable',
        retryAfterMs: STORE_RETRY_AFTER_MS,
        detail: 'the change may be in force; repeat it with the same expected version to find out'
      })
  }
}

export function respondNotDone (reply: FastifyReply, reason: string): FastifyReply {
  return reply.code(503).header('retry-after', String(STORE_RETRY_AFTER_MS / 1000))
    .send({ outcome: 'not-run', reason, retryAfterMs: STORE_RETRY_AFTER_MS })
}

export function respondInvalid (reply: FastifyReply, status: number, violations: SchemaViolation[]): FastifyReply {
  return reply.code(status).send({ outcome: 'not-run', reason: 'invalid', violations })
}

/** Parses a query parameter that is a version number. */
export function parseVersion (value: unknown): number | undefined {
  return typeof value === 'string' && /^\d{1,15}$/.test(value) ? Number(value) : undefined
}
