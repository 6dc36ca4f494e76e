import type { HeaderFields, WholeAnswer } from '../../types.ts'

/** Encodes an answer as one line of JSON with status and headers, followed by the body. */
export function encodeAnswer ({ status, headers, body }: WholeAnswer): Uint8Array {
  return Buffer.concat([Buffer.from(`${JSON.stringify({ status, headers })}\n`), body])
}

/** Decodes what `encodeAnswer` made; undefined for anything else. */
export function decodeAnswer (bytes: Uint8Array): WholeAnswer | undefined {
  const end = bytes.indexOf(0x0a)
  if (end < 0) return undefined
  try {
    const head = JSON.parse(Buffer.from(bytes.subarray(0, end)).toString()) as { status: number, headers: HeaderFields }
    return { ...head, body: bytes.subarray(end + 1) }
  } catch {
    return undefined
  }
}
