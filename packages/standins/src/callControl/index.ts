/**
 * Calls the control API of a stand-in, which injects faults and reads what it recorded.
 *
 * @param url - Base URL of the stand-in, as in its ready line.
 * @param path - Path below `/control/`.
 * @param body - JSON body of a POST request. Default: none, which sends a GET request.
 * @returns The parsed JSON of the response.
 * @throws Error when the stand-in rejects the request or can't be reached.
 *
 * @example
 * await callControl(platform.url, 'faults/table', { down: true })
 */
export async function callControl (url: string, path: string, body?: unknown): Promise<any> {
  const headers = { 'content-type': 'application/json' }
  const post = { method: 'POST', headers, body: JSON.stringify(body) }
  const response = await fetch(`${url}/control/${path}`, body === undefined ? {} : post)
  const text = await response.text()
  if (!response.ok) throw new Error(`control request ${path} failed with status ${response.status}: ${text}`)
  return JSON.parse(text)
}
