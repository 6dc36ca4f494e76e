import { createHash } from 'node:crypto'
import type { ForwardedRequest } from '../types.ts'

/**
 * Identifies what a request asks for, so that a request id used for something else is noticed.
 *
 * @param request - Method, path and body count; headers do not, since a repeat may carry others.
 * @returns 64 hexadecimal digits.
 *
 * @example
 * fingerprintRequest({ method: 'POST', path: '/book', headers: {}, body: new Uint8Array() })
 */
export function fingerprintRequest ({ method, path, body }: ForwardedRequest): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex')
}
