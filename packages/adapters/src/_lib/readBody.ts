/**
 * Reads a whole body into memory.
 *
 * @param body - Pieces in order; iterating throws when the body is cut off.
 * @param limit - Largest body in bytes.
 * @returns The bytes, or undefined when the body is larger.
 *
 * @example
 * await readBody(answer.body, 1024)
 */
export async function readBody (body: AsyncIterable<Uint8Array>, limit: number): Promise<Buffer | undefined> {
  const pieces: Uint8Array[] = []
  let size = 0
  for await (const piece of body) {
    size += piece.length
    if (size > limit) return undefined
    pieces.push(piece)
  }
  return Buffer.concat(pieces, size)
}
