import type { Static, TSchema } from '@sinclair/typebox'
import { TypeCompiler, type TypeCheck } from '@sinclair/typebox/compiler'
import {
  describeSchemaErrors, done, notDone, unknownEffect, type Outcome
} from '@gypsumspring/protocol'
import { MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES } from '../constants/index.ts'
import type { ConnectionPool } from './ConnectionPool.ts'
import { parseFailureResponse } from './parseFailureResponse.ts'
import { readBody } from './readBody.ts'
import { classifyError, sendRequest } from './sendRequest.ts'

interface ValidatedJsonRequest {
  method: 'GET' | 'POST'
  path: string
  /** Encoded as JSON. */
  body?: unknown
  timeoutMs: number
  /** As for `sendRequest`. */
  stallTimeoutMs?: number
}

const compiledSchemas = new WeakMap<TSchema, TypeCheck<TSchema>>()

/**
 * Sends a JSON request and validates the JSON response against a schema.
 *
 * @param pool - Connections to the server.
 * @param schema - Schema of a successful response.
 * @param request - The request; without `stallTimeoutMs`, `timeoutMs` includes reading the whole response.
 * @returns The parsed body. The failure is `unknown` if the response is truncated, too large or does not match the
 * schema.
 *
 * @example
 * await requestValidatedJson(pool, ReadResponse, { method: 'GET', path: '/v1/table/row?key=a', timeoutMs: 1000 })
 */
export async function requestValidatedJson<Schema extends TSchema> (
  pool: ConnectionPool, schema: Schema, request: ValidatedJsonRequest
): Promise<Outcome<Static<Schema>>> {
  const body = stringifyBody(request.body)
  if (body instanceof Error) return notDone('invalid', `the request body can't be encoded as JSON: ${body.message}`)
  if (body !== undefined && Buffer.byteLength(body) > MAX_REQUEST_BYTES) {
    return notDone('invalid', `the request body is larger than ${MAX_REQUEST_BYTES} bytes`)
  }
  const headers = body === undefined ? undefined : { 'content-type': 'application/json' }
  const outcome = await sendRequest(pool, { ...request, headers, body })
  if (outcome.isLeft()) return outcome as Outcome<never>
  const response = outcome.unsafeCoerce()
  let bytes: Buffer | undefined
  try {
    bytes = await readBody(response.body, MAX_RESPONSE_BYTES)
  } catch (error) {
    return unknownEffect(classifyError(error as Error), `the response was truncated: ${(error as Error).message}`)
  }
  if (response.status >= 300) return parseFailureResponse(response.status, response.headers, bytes)
  if (bytes === undefined) return unknownEffect('invalid', `the response body is larger than ${MAX_RESPONSE_BYTES} bytes`)
  return parseResponse(schema, bytes)
}

function stringifyBody (body: unknown): string | undefined | Error {
  try {
    return JSON.stringify(body)
  } catch (error) {
    return error as Error
  }
}

function parseResponse<Schema extends TSchema> (schema: Schema, bytes: Buffer): Outcome<Static<Schema>> {
  let value: unknown
  try {
    value = JSON.parse(bytes.toString())
  } catch {
    return unknownEffect('invalid', 'the response body is not valid JSON')
  }
  let check = compiledSchemas.get(schema)
  if (check === undefined) compiledSchemas.set(schema, check = TypeCompiler.Compile(schema))
  if (check.Check(value)) return done(value as Static<Schema>)
  const [violation] = describeSchemaErrors(schema, value, { limit: 1 })
  return unknownEffect('invalid', `invalid response: ${violation?.path} is ${violation?.value}: ${violation?.allowed}`)
}
