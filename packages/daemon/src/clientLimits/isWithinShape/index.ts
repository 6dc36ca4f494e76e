/** Limits on the structure of a JSON text. */
export interface JsonShapeLimits {
  maxDepth: number
  /** Values in all objects and arrays. */
  maxValues: number
  /** Objects and arrays. */
  maxContainers: number
}

const QUOTE = 0x22
const BACKSLASH = 0x5c
const COMMA = 0x2c
const OPEN_BRACKET = 0x5b
const CLOSE_BRACKET = 0x5d
const OPEN_BRACE = 0x7b
const CLOSE_BRACE = 0x7d

/**
 * Whether a JSON text has few enough values, so that parsing it is cheap. Counts them before any value is built, and
 * does not check whether the text is valid.
 *
 * @param bytes - The text in UTF-8.
 * @param limits - Limits on its nesting, its values, and its objects and arrays.
 *
 * @example
 * isWithinShape(Buffer.from('{"a":[1,2]}'), { maxDepth: 2, maxValues: 4, maxContainers: 2 }) // true
 */
export function isWithinShape (bytes: Uint8Array, { maxDepth, maxValues, maxContainers }: JsonShapeLimits): boolean {
  let depth = 0
  // Each container counts as a value, and so does each comma, since it separates two.
  let values = 0
  let containers = 0
  for (let index = 0; index < bytes.length; index++) {
    const byte = bytes[index]!
    if (byte === QUOTE) {
      index = findEndOfString(bytes, index)
    } else if (byte === COMMA) {
      if (++values > maxValues) return false
    } else if (byte === OPEN_BRACE || byte === OPEN_BRACKET) {
      if (++values > maxValues || ++depth > maxDepth || ++containers > maxContainers) return false
    } else if (byte === CLOSE_BRACE || byte === CLOSE_BRACKET) depth--
  }
  return true
}

/** Returns the index of the quote that ends a string, or the length of the text. */
function findEndOfString (bytes: Uint8Array, start: number): number {
  let end = start
  for (;;) {
    end = bytes.indexOf(QUOTE, end + 1)
    if (end < 0) return bytes.length
    let backslashes = 0
    while (bytes[end - 1 - backslashes] === BACKSLASH) backslashes++
    if (backslashes % 2 === 0) return end
  }
}
