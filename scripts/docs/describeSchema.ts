import { KindGuard, type TRecord, type TSchema } from '@sinclair/typebox'

/** A field of a schema with its path from the root of the document. */
export interface Field {
  path: string
  schema: TSchema
  isRequired: boolean
}

/**
 * Lists the fields of a schema, depth first.
 *
 * @param schema - Any schema; only objects have fields.
 * @param path - Path of the value itself. Default: the root.
 * @returns All fields. `[]` in a path stands for the items of an array, `.<name>` for the values of a map. The fields
 * of every option of a union are listed.
 *
 * @example
 * listFields(Type.Object({ a: Type.String() })) // => [{ path: 'a', ... }]
 */
export function listFields (schema: TSchema, path = ''): Field[] {
  // A schema with an id has its own reference page.
  if (path !== '' && schema.$id !== undefined) return []
  if (KindGuard.IsArray(schema)) return listFields(schema.items, `${path}[]`)
  if (KindGuard.IsUnion(schema)) return schema.anyOf.flatMap((option) => listFields(option, path))
  if (KindGuard.IsRecord(schema)) return listFields(mapValueSchema(schema), `${path}.<name>`)
  if (!KindGuard.IsObject(schema)) return []
  return Object.entries(schema.properties).flatMap(([name, property]) => {
    const fieldPath = path === '' ? name : `${path}.${name}`
    const isRequired = schema.required?.includes(name) ?? false
    return [{ path: fieldPath, schema: property, isRequired }, ...listFields(property, fieldPath)]
  })
}

/**
 * Describes the type of a schema in one line, without the fields of objects.
 *
 * @param schema - Any schema.
 * @returns The type, for example `integer` or `list of object`.
 * @throws Error when the kind of schema is not supported.
 *
 * @example
 * describeType(Type.Array(Type.String())) // => 'list of string'
 */
export function describeType (schema: TSchema): string {
  if (schema.$id !== undefined) return schema.$id
  if (KindGuard.IsUnion(schema)) return [...new Set(schema.anyOf.map(describeType))].join(' or ')
  if (KindGuard.IsIntersect(schema)) return schema.allOf.map(describeType).join(' and ')
  if (KindGuard.IsLiteral(schema)) return `\`${schema.const}\``
  if (KindGuard.IsArray(schema)) return `list of ${describeType(schema.items)}`
  if (KindGuard.IsRecord(schema)) return `map of ${describeType(mapValueSchema(schema))}`
  if (KindGuard.IsUnknown(schema)) return 'any value'
  if (typeof schema['type'] === 'string') return schema['type']
  throw new Error(`cannot describe the type of schema ${JSON.stringify(schema)}`)
}

function mapValueSchema (schema: TRecord): TSchema {
  return Object.values(schema.patternProperties)[0] as TSchema
}

/**
 * Describes how a schema limits values beyond its type.
 *
 * @param schema - Any schema.
 * @returns The range, number of items or pattern; an empty string when there are no limits.
 *
 * @example
 * describeConstraints(Type.Integer({ minimum: 1, maximum: 9 })) // => '1 to 9'
 */
export function describeConstraints (schema: TSchema): string {
  if (KindGuard.IsIntersect(schema)) {
    return schema.allOf.map(describeConstraints).filter((constraint) => constraint !== '').join('; ')
  }
  const { minimum, maximum, minItems, maxItems, pattern } = schema as Record<string, unknown>
  const parts = [describeBounds(minimum, maximum, ''), describeBounds(minItems, maxItems, ' items')]
  if (pattern !== undefined) parts.push(`matches \`${String(pattern)}\``)
  return parts.filter((part) => part !== '').join('; ')
}

function describeBounds (minimum: unknown, maximum: unknown, unit: string): string {
  if (minimum !== undefined && maximum !== undefined) return `${formatBound(minimum)} to ${formatBound(maximum)}${unit}`
  if (minimum !== undefined) return `at least ${formatBound(minimum)}${unit}`
  return maximum === undefined ? '' : `at most ${formatBound(maximum)}${unit}`
}

function formatBound (bound: unknown): string {
  return Number(bound).toLocaleString('en-US')
}
