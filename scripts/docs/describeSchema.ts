import { KindGuard, type TRecord, type TSchema } from '@sinclair/typebox'

/** One field of a schema with the path from the root of the document. */
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
 * @returns Each field; items of an array have the path of the array with `[]`, values of a map that with `.<name>`. The
 * fields of all options of a union are listed.
 *
 * @example
 * listFields(Type.Object({ a: Type.String() })) // => [{ path: 'a', ... }]
 */
export function listFields (schema: TSchema, path = ''): Field[] {
  // A schema with an id has a page of its own.
  if (path !== '' && schema.$id !== undefined) return []
  if (KindGuard.IsArray(schema)) return listFields(schema.items, `${path}[]`)
  if (KindGuard.IsUnion(schema)) return schema.anyOf.flatMap((option) => listFields(option, path))
  if (KindGuard.IsRecord(schema)) return listFields(valueOf(schema), `${path}.<name>`)
  if (!KindGuard.IsObject(schema)) return []
  return Object.entries(schema.properties).flatMap(([name, property]) => {
    const inner = path === '' ? name : `${path}.${name}`
    const isRequired = schema.required?.includes(name) ?? false
    return [{ path: inner, schema: property, isRequired }, ...listFields(property, inner)]
  })
}

/**
 * Names the type of a schema in one line, without the fields of an object.
 *
 * @param schema - Any schema.
 * @returns The type, for example `integer` or `list of object`.
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
  if (KindGuard.IsRecord(schema)) return `map of ${describeType(valueOf(schema))}`
  if (KindGuard.IsUnknown(schema)) return 'any value'
  if (typeof schema['type'] === 'string') return schema['type']
  throw new Error(`no description of the schema ${JSON.stringify(schema)}`)
}

function valueOf (schema: TRecord): TSchema {
  return Object.values(schema.patternProperties)[0] as TSchema
}

/**
 * Tells which values a schema allows beyond its type.
 *
 * @param schema - Any schema.
 * @returns The range, length or pattern; an empty text when there is none.
 *
 * @example
 * describeRange(Type.Integer({ minimum: 1, maximum: 9 })) // => '1 to 9'
 */
export function describeRange (schema: TSchema): string {
  if (KindGuard.IsIntersect(schema)) return schema.allOf.map(describeRange).filter((range) => range !== '').join('; ')
  const { minimum, maximum, minItems, maxItems, pattern } = schema as Record<string, unknown>
  const parts = [describeBounds(minimum, maximum, ''), describeBounds(minItems, maxItems, ' items')]
  if (pattern !== undefined) parts.push(`matches \`${String(pattern)}\``)
  return parts.filter((part) => part !== '').join('; ')
}

function describeBounds (least: unknown, most: unknown, unit: string): string {
  if (least !== undefined && most !== undefined) return `${format(least)} to ${format(most)}${unit}`
  if (least !== undefined) return `at least ${format(least)}${unit}`
  return most === undefined ? '' : `at most ${format(most)}${unit}`
}

function format (bound: unknown): string {
  return Number(bound).toLocaleString('en-US')
}
