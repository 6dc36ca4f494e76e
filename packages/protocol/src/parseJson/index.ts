/**
 * Parses untrusted JSON without throwing.
 *
 * @param source - JSON text, or its UTF-8 bytes.
 * @returns The value, or undefined if the source is not valid JSON.
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
