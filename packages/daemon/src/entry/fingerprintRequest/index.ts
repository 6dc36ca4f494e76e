import { createHash } from 'node:crypto'
import type { ForwardedRequest } from '../types.ts'

/**
 * Computes a fingerprint of a request, to detect that a request id is reused for a different request.
 *
 * @param request - The request. Headers are ignored, since a retry may carry different ones.
 * @returns 64 hexadecimal digits.
 *
 * @example
 * fingerprintRequest({ method: 'POST', path: '/book', headers: {}, body: new Uint8Array() })
 */
export function fingerprintRequest ({ method, path, body }: ForwardedRequest): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex')
}
