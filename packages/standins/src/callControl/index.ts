/**
 * Calls the `/control/...` API of a stand-in.
 *
 * @param url - Base URL from the ready line.
 * @param path - Path below `/control/`.
 * @param body - Sent by POST as JSON. Default: none, the call is a GET.
 * @returns The answer's JSON.
 * @throws Error when the stand-in rejects the call or does not answer.
 *
 * @example
 * await callControl(platform.url, 'faults/table', { down: true })
 */
export async function callControl (url: string, path: string, body?: unknown): Promise<any> {
  const headers = { 'content-type': 'application/json' }
  const post = { method: 'POST', headers, body: JSON.stringify(body) }
  const response = await fetch(`${url}/control/${path}`, body === undefined ? {} : post)
  const text = await response.text()
  if (!response.ok) throw new Error(`${path}: ${response.status} ${text}`)
  return JSON.parse(text)
}
