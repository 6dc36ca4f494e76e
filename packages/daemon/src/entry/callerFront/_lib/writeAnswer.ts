import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { forwardHeaders } from '../../forwardHeaders/index.ts'
import type { HeaderFields, StreamedAnswer, WholeAnswer } from '../../types.ts'

/**
 * Writes a whole answer of a runner.
 *
 * @param response - Response with no header sent.
 * @param answer - Status, headers and body of the runner.
 * @param own - Headers added by this entry.
 */
export function writeWhole (response: ServerResponse, answer: WholeAnswer, own: HeaderFields): void {
  const bodyless = response.req.method === 'HEAD' || answer.status === 204 || answer.status === 304
  const length: HeaderFields = bodyless ? {} : { 'content-length': String(answer.body.byteLength) }
  if (!writeHead(response, answer.status, { ...forwardHeaders(answer.headers), ...length, ...own })) return
  response.end(bodyless ? undefined : answer.body)
}

/**
 * Passes a streamed answer on as it comes. An answer that breaks off destroys the caller's connection, so that a part
 * is never taken for the whole. The body is read to its end even when the caller has gone away, unless it breaks: the
 * exchange of a repeatable request is aborted elsewhere.
 *
 * @param response - Response with no header sent.
 * @param answer - Status, headers and body of the runner.
 * @param own - Headers added by this entry.
 */
export async function writeStream (response: ServerResponse, answer: StreamedAnswer, own: HeaderFields): Promise<void> {
  // `once` rejects on an error of the response, which its close reports too.
  const closed = once(response, 'close').catch(() => {})
  const open = writeHead(response, answer.status, { ...forwardHeaders(answer.headers), ...own })
  try {
    for await (const chunk of answer.body) {
      if (!open || response.destroyed) continue
      if (!response.write(chunk)) await Promise.race([once(response, 'drain'), closed])
    }
    response.end()
  } catch {
    response.destroy()
  }
}

/** Headers that Node rejects can only come from the runner; the caller must not take the answer for another one. */
function writeHead (response: ServerResponse, status: number, headers: HeaderFields): boolean {
  try {
    response.writeHead(status, headers)
    return true
  } catch {
    response.destroy()
    return false
  }
}
