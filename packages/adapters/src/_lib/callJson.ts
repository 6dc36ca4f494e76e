import type { Static, TSchema } from '@sinclair/typebox'
import { TypeCompiler, type TypeCheck } from '@sinclair/typebox/compiler'
import {
  describeSchemaErrors, done, notDone, unknownEffect, type Outcome
} from '@gypsumspring/protocol'
import { MAX_ANSWER_BYTES, MAX_REQUEST_BYTES } from '../constants/index.ts'
import type { ConnectionPool } from './ConnectionPool.ts'
import { exchange, toReason } from './exchange.ts'
import { readBody } from './readBody.ts'
import { readFailure } from './readFailure.ts'

interface JsonCall {
  method: 'GET' | 'POST'
  path: string
  /** Sent as JSON. */
  body?: unknown
  timeoutMs: number
}

const checks = new WeakMap<TSchema, TypeCheck<TSchema>>()

/**
 * Makes a call with JSON bodies.
 *
 * @param pool - Connections to the other side.
 * @param schema - What a successful answer holds.
 * @param call - The call; `timeoutMs` covers the whole answer.
 * @returns The answer. An answer that is cut off, too large or against the schema is `unknown`.
 *
 * @example
 * await callJson(pool, ReadAnswer, { method: 'GET', path: '/v1/table/row?key=a', timeoutMs: 1000 })
 */
export async function callJson<Schema extends TSchema> (
  pool: ConnectionPool, schema: Schema, call: JsonCall
): Promise<Outcome<Static<Schema>>> {
  const body = encode(call.body)
  if (body instanceof Error) return notDone('invalid', `the request can't be sent as JSON: ${body.message}`)
  if (body !== undefined && Buffer.byteLength(body) > MAX_REQUEST_BYTES) {
    return notDone('invalid', `the request is larger than ${MAX_REQUEST_BYTES} bytes`)
  }
  const headers = body === undefined ? undefined : { 'content-type': 'application/json' }
  const outcome = await exchange(pool, { ...call, headers, body })
  if (outcome.isLeft()) return outcome as Outcome<never>
  const answer = outcome.unsafeCoerce()
  let bytes: Buffer | undefined
  try {
    bytes = await readBody(answer.body, MAX_ANSWER_BYTES)
  } catch (error) {
    return unknownEffect(toReason(error as Error), `the answer was cut off: ${(error as Error).message}`)
  }
  if (answer.status >= 300) return readFailure(answer.status, answer.headers, bytes)
  if (bytes === undefined) return unknownEffect('invalid', `the answer is larger than ${MAX_ANSWER_BYTES} bytes`)
  return decode(schema, bytes)
}

function encode (body: unknown): string | undefined | Error {
  try {
    return JSON.stringify(body)
  } catch (error) {
    return error as Error
  }
}

function decode<Schema extends TSchema> (schema: Schema, bytes: Buffer): Outcome<Static<Schema>> {
  let value: unknown
  try {
    value = JSON.parse(bytes.toString())
  } catch {
    return unknownEffect('invalid', 'the answer is not JSON')
  }
  let check = checks.get(schema)
  if (check === undefined) checks.set(schema, check = TypeCompiler.Compile(schema))
  if (check.Check(value)) return done(value as Static<Schema>)
  const [violation] = describeSchemaErrors(schema, value, { limit: 1 })
  return unknownEffect('invalid', `the answer's ${violation?.path} is ${violation?.value}: ${violation?.allowed}`)
}
