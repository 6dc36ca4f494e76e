import type { TSchema } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'

/** A violation of a schema. */
export interface SchemaViolation {
  /** JSON pointer to the invalid value; `/` for the whole document. */
  path: string
  /** The invalid value as JSON, truncated. */
  value: string
  /** Description of the values that the schema allows. */
  allowed: string
}

interface ViolationOptions {
  limit?: number
}

const MAX_VALUE_LENGTH = 80

/**
 * Lists the violations of a schema, each with the invalid value and a description of the allowed values.
 *
 * @param schema - TypeBox schema to check against.
 * @param value - Value to check.
 * @param options.limit - Maximum number of violations returned. Default: 20.
 * @returns The violations in document order; empty if the value is valid.
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
    violations.push({ path: error.path === '' ? '/' : error.path, value: formatValue(error.value), allowed })
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

function formatValue (value: unknown): string {
  const text = stringifyValue(value) ?? 'nothing'
  return text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}...` : text
}

/** `JSON.stringify` is recursive, unlike `JSON.parse`, and throws a RangeError for deeply nested values. */
function stringifyValue (value: unknown): string | undefined {
  try {
    return JSON.stringify(value)
  } catch {
    return 'a deeply nested value'
  }
}
