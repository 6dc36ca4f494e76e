/**
 * Encodes a key for use in a path segment or a query.
 *
 * @param key - Any text.
 * @returns The percent-encoded key, or undefined when it is not well-formed (has a lone surrogate), since such a key
 * would silently name another one.
 *
 * @example
 * encodeKey('shard/a b') // 'shard%2Fa%20b'
 */
export function encodeKey (key: string): string | undefined {
  try {
    return encodeURIComponent(key)
  } catch {
    return undefined
  }
}
