/**
 * Reads a whole response body into memory.
 *
 * @param body - Chunks in order; iterating throws if the body is truncated.
 * @param limit - Maximum size in bytes.
 * @returns The bytes, or undefined if the body is larger.
 *
 * @example
 * await readBody(response.body, 1024)
 */
export async function readBody (body: AsyncIterable<Uint8Array>, limit: number): Promise<Buffer | undefined> {
  const chunks: Uint8Array[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > limit) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks, size)
}
