import type { IncomingMessage } from 'node:http'

/** Why a request's body could not be used. */
export type BodyFault = 'too-large' | 'cut-off'

/**
 * Reads the body of a request. The content type is the runner's concern, so no content type parser takes part.
 *
 * @param request - The request, not read yet.
 * @param limitBytes - Largest body accepted, in bytes.
 * @returns The body, or why there is none.
 */
export async function readBody (request: IncomingMessage, limitBytes: number): Promise<Uint8Array | BodyFault> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) return 'too-large'
  const chunks: Uint8Array[] = []
  let size = 0
  try {
    // Leaving the loop must not destroy the request: its socket still carries the refusal.
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
