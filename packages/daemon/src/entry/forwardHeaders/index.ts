import type { IncomingHttpHeaders } from 'node:http'
import type { HeaderFields } from '../types.ts'

/** Headers that concern one connection only (RFC 9110, section 7.6.1), or that the next hop sets by itself. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'host'
])

/**
 * Copies the headers that may pass to the next hop: all but the hop-by-hop ones and those named by `connection`.
 *
 * @param headers - Headers of a request or an answer, with lower-case names.
 * @param options.drop - Further names to leave out. Default: none.
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
