/**
 * Parses JSON that somebody else wrote.
 *
 * @param source - Text, or its bytes in UTF-8.
 * @returns The value, or undefined when the source is not JSON.
 *
 * @example
 * parseJson('{"a":1}') // { a: 1 }
 */
export function parseJson (source: string | Uint8Array): unknown {
  try {
    return JSON.parse(typeof source === 'string' ? source : Buffer.from(source).toString())
  } catch {
    return undefined
  }
}
