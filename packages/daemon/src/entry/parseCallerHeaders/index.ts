import { randomUUID } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { describeSchemaErrors, type SchemaViolation } from '@gypsumspring/protocol'
import { Type, type Static } from '@sinclair/typebox'
import { Left, Right, type Either } from 'purify-ts/Either'
import { DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS } from '../constants/index.ts'

const CallerHeaders = Type.Object({
  'x-request-id': Type.String({
    pattern: '^[A-Za-z0-9._:-]{1,128}$', description: '1 to 128 letters, digits and ._:-; required when not repeatable'
  }),
  'gs-team': Type.String({ pattern: '^[a-z0-9][a-z0-9-]{0,62}$', description: 'id of a team' }),
  'gs-class': Type.Union([Type.Literal('interactive'), Type.Literal('normal'), Type.Literal('bulk')]),
  'gs-deadline-ms': Type.Integer({ minimum: 1, maximum: MAX_DEADLINE_MS, description: `1 to ${MAX_DEADLINE_MS} ms` }),
  'gs-attempt': Type.Optional(Type.Integer({ minimum: 1, maximum: 1000, description: '1 for the first time the request is sent' })),
  'gs-repeatable': Type.Union([Type.Literal('true'), Type.Literal('false')])
}, { additionalProperties: false })

const HEADER_NAMES = Object.keys(CallerHeaders.properties)
const NUMBER_HEADERS = new Set(['gs-deadline-ms', 'gs-attempt'])
const REPEATABLE_METHODS = new Set(['GET', 'HEAD'])

/** Options of a request, parsed from its headers. */
export interface ParsedCallerHeaders {
  requestId: string
  team: string
  class: Static<typeof CallerHeaders>['gs-class']
  deadlineMs: number
  repeatable: boolean
  /** Whether the caller states that it has not sent this request before. */
  firstAttempt: boolean
}

/**
 * Parses and validates the request headers that are meant for gypsumspring.
 *
 * @param method - HTTP method; determines whether the request is repeatable unless a header says so.
 * @param headers - Headers of the request, with lower-case names.
 * @returns The options with defaults filled in, or all violations; `path` is the name of the header. Unknown `gs-`
 * headers are violations, since a misspelt header would otherwise silently have no effect.
 *
 * @example
 * parseCallerHeaders('GET', { 'gs-team': 'demo' })
 */
export function parseCallerHeaders (
  method: string, headers: IncomingHttpHeaders
): Either<SchemaViolation[], ParsedCallerHeaders> {
  const repeatable = headers['gs-repeatable'] ?? String(REPEATABLE_METHODS.has(method))
  const candidate: Record<string, unknown> = {
    'gs-class': 'normal',
    'gs-deadline-ms': DEFAULT_DEADLINE_MS,
    ...(repeatable === 'true' ? { 'x-request-id': randomUUID() } : {}),
    'gs-repeatable': repeatable
  }
  for (const [name, value] of Object.entries(headers)) {
    if (name.startsWith('gs-') || HEADER_NAMES.includes(name)) candidate[name] = parseNumberHeader(name, value)
  }
  const violations = describeSchemaErrors(CallerHeaders, candidate)
  if (violations.length > 0) return Left(violations.map(toHeaderViolation))
  const valid = candidate as Static<typeof CallerHeaders>
  return Right({
    requestId: valid['x-request-id'],
    team: valid['gs-team'],
    class: valid['gs-class'],
    deadlineMs: valid['gs-deadline-ms'],
    repeatable: valid['gs-repeatable'] === 'true',
    firstAttempt: valid['gs-attempt'] === 1
  })
}

function parseNumberHeader (name: string, value: unknown): unknown {
  return NUMBER_HEADERS.has(name) && typeof value === 'string' && /^\d{1,9}$/.test(value) ? Number(value) : value
}

function toHeaderViolation ({ path, value, allowed }: SchemaViolation): SchemaViolation {
  const name = path.slice(1)
  return { path: name, value, allowed: HEADER_NAMES.includes(name) ? allowed : `one of ${HEADER_NAMES.join(', ')}` }
}
