import type { IncomingHttpHeaders } from 'node:http'
import type { HeaderFields } from '../types.ts'

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the next hop sets itself. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'host'
])

/**
 * Copies the headers to forward to the next hop: all but the hop-by-hop headers and those listed in `connection`.
 *
 * @param headers - Headers of a request or response, with lower-case names.
 * @param options.drop - Names of further headers to omit. Default: none.
 * @returns A new object.
 *
 * @example
 * forwardHeaders({ connection: 'x-trace', 'x-trace': '1', accept: 'text/html' }) // => { accept: 'text/html' }
 */
export function forwardHeaders (
  headers: IncomingHttpHeaders | HeaderFields, options: { drop?: string[] } = {}
): HeaderFields {
  const dropped = new Set([...(options.drop ?? []), ...listConnectionHeaders(headers.connection)])
  const kept: HeaderFields = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_BY_HOP.has(name) && !dropped.has(name)) kept[name] = value
  }
  return kept
}

function listConnectionHeaders (connection: string | string[] | undefined): string[] {
  return [connection ?? []].flat().flatMap((value) => value.split(',')).map((name) => name.trim().toLowerCase())
}
