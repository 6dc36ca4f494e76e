import type { TSchema } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'

/** One violation of a schema. */
export interface SchemaViolation {
  /** JSON pointer of the offending value, `/` for the whole document. */
  path: string
  /** The offending value, shortened. */
  value: string
  /** What the schema allows there. */
  allowed: string
}

interface ViolationOptions {
  limit?: number
}

const SHOWN_VALUE_LENGTH = 80

/**
 * Lists where a value violates a schema, with the value found and what is allowed.
 *
 * @param schema - TypeBox schema to check against.
 * @param value - Any value.
 * @param options.limit - Largest number of violations listed. Default: 20.
 * @returns The violations in document order; empty when the value is valid.
 *
 * @example
 * describeSchemaErrors(Type.Object({ tasks: Type.Integer() }), { tasks: 'x' })
 * // => [{ path: '/tasks', value: '"x"', allowed: 'Expected integer' }]
 */
export function describeSchemaErrors (
  schema: TSchema, value: unknown, options: ViolationOptions = {}
): SchemaViolation[] {
  const limit = options.limit ?? 20
  const violations: SchemaViolation[] = []
  for (const error of Value.Errors(schema, value)) {
    const allowed = describeAllowed(error.schema, error.message)
    violations.push({ path: error.path === '' ? '/' : error.path, value: shorten(error.value), allowed })
    if (violations.length >= limit) break
  }
  return violations
}

function describeAllowed (schema: TSchema, message: string): string {
  if (Array.isArray(schema.anyOf) && schema.anyOf.every((option: TSchema) => option.const !== undefined)) {
    return `one of ${schema.anyOf.map((option: TSchema) => JSON.stringify(option.const)).join(', ')}`
  }
  return schema.description === undefined ? message : `${message} (${schema.description})`
}

function shorten (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > SHOWN_VALUE_LENGTH ? `${text.slice(0, SHOWN_VALUE_LENGTH)}...` : text
}
