import type { BufferedResponse, HeaderFields } from '../../types.ts'

/** Encodes a response as one line of JSON with status and headers, followed by the body. */
export function encodeResponse ({ status, headers, body }: BufferedResponse): Uint8Array {
  return Buffer.concat([Buffer.from(`${JSON.stringify({ status, headers })}\n`), body])
}

/** Decodes the output of `encodeResponse`; undefined for other input. */
export function decodeResponse (bytes: Uint8Array): BufferedResponse | undefined {
  const end = bytes.indexOf(0x0a)
  if (end < 0) return undefined
  try {
    const head = JSON.parse(Buffer.from(bytes.subarray(0, end)).toString()) as { status: number, headers: HeaderFields }
    return { ...head, body: bytes.subarray(end + 1) }
  } catch {
    return undefined
  }
}
