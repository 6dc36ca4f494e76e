import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { forwardHeaders } from '../../forwardHeaders/index.ts'
import type { BufferedResponse, HeaderFields, StreamedResponse } from '../../types.ts'

/**
 * Writes a buffered response of a runner.
 *
 * @param response - Response with no header sent.
 * @param runnerResponse - Status, headers and body of the runner.
 * @param entryHeaders - Headers added by this entry.
 */
export function writeBufferedResponse (
  response: ServerResponse, runnerResponse: BufferedResponse, entryHeaders: HeaderFields
): void {
  const bodyless = response.req.method === 'HEAD' || runnerResponse.status === 204 || runnerResponse.status === 304
  const length: HeaderFields = bodyless ? {} : { 'content-length': String(runnerResponse.body.byteLength) }
  const headers = { ...forwardHeaders(runnerResponse.headers), ...length, ...entryHeaders }
  if (!writeHead(response, runnerResponse.status, headers)) return
  response.end(bodyless ? undefined : runnerResponse.body)
}

/**
 * Writes a streamed response of a runner. If its body ends early, the caller's connection is destroyed, so that the
 * caller can't mistake a partial response for a complete one. The body is read to its end even after the caller has
 * disconnected, unless the dispatcher aborts the exchange, as it does for a repeatable request.
 *
 * @param response - Response with no header sent.
 * @param runnerResponse - Status, headers and body of the runner.
 * @param entryHeaders - Headers added by this entry.
 */
export async function writeStreamedResponse (
  response: ServerResponse, runnerResponse: StreamedResponse, entryHeaders: HeaderFields
): Promise<void> {
  // `once` rejects on an `error` event. It can be ignored, since `close` follows.
  const closed = once(response, 'close').catch(() => {})
  const headers = { ...forwardHeaders(runnerResponse.headers), ...entryHeaders }
  const open = writeHead(response, runnerResponse.status, headers)
  try {
    for await (const chunk of runnerResponse.body) {
      if (!open || response.destroyed) continue
      if (!response.write(chunk)) await Promise.race([once(response, 'drain'), closed])
    }
    response.end()
  } catch {
    response.destroy()
  }
}

/**
 * Writes the status line and headers. Node rejects only headers that came from the runner; then the connection is
 * destroyed and false returned.
 */
function writeHead (response: ServerResponse, status: number, headers: HeaderFields): boolean {
  try {
    response.writeHead(status, headers)
    return true
  } catch {
    response.destroy()
    return false
  }
}
