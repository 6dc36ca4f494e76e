/**
 * Hashes a text to an integer that is the same in every process.
 *
 * @param text - Any text.
 * @returns An integer from 0 to 2^32 - 1.
 *
 * @example
 * hashText('a') // 97
 */
export function hashText (text: string): number {
  let hash = 0
  for (let position = 0; position < text.length; position++) hash = (hash * 31 + text.charCodeAt(position)) >>> 0
  return hash
}
