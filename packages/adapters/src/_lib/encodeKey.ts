/**
 * Percent-encodes a key for use in a path segment or a query.
 *
 * @param key - Any text.
 * @returns The encoded key, or undefined if the key contains a lone surrogate. UTF-8 can't represent one, and replacing
 * it would silently address a different key.
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
