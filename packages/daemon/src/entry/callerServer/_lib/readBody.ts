import type { IncomingMessage } from 'node:http'

/** Why a request body could not be read. */
export type BodyReadError = 'too-large' | 'cut-off'

/**
 * Reads the body of a request without parsing it, since only the runner interprets its content type.
 *
 * @param request - Request whose body has not been read.
 * @param limitBytes - Maximum size of the body, in bytes.
 * @returns The body, or the reason why it could not be read.
 */
export async function readBody (request: IncomingMessage, limitBytes: number): Promise<Uint8Array | BodyReadError> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) return 'too-large'
  const chunks: Uint8Array[] = []
  let size = 0
  try {
    // Leaving the loop must not destroy the request, since the refusal is still sent over its socket.
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      size += chunk.byteLength
      if (size > limitBytes) return 'too-large'
      chunks.push(chunk)
    }
  } catch {
    return 'cut-off'
  }
  return request.complete ? Buffer.concat(chunks) : 'cut-off'
}
