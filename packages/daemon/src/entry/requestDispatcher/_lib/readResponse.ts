const TIMED_OUT = Symbol('timed out')

export type ReadResult =
  | { kind: 'buffered', body: Uint8Array }
  | {
    kind: 'stream'
    body: AsyncIterable<Uint8Array>
    /** Resolves when the body is no longer read: true if it was complete, false if it failed or was closed early. */
    ended: Promise<boolean>
    /** Closes a body that is not going to be read. */
    discard: () => Promise<void>
  }

/**
 * Buffers a complete body, or turns it into a stream if it exceeds the limits.
 *
 * @param body - The body; its iterator throws if the body ends early.
 * @param limits.maxBufferedBytes - Maximum size of a buffered body.
 * @param limits.streamAfterMs - Maximum time to read a buffered body, in ms; `Infinity` for no limit.
 * @returns The complete body, or a stream that starts with the bytes read so far. Rejects if the body fails before.
 */
export async function readResponse (
  body: AsyncIterable<Uint8Array>, limits: { maxBufferedBytes: number, streamAfterMs: number }
): Promise<ReadResult> {
  const iterator = body[Symbol.asyncIterator]()
  const chunks: Uint8Array[] = []
  let size = 0
  const timeout = startTimeout(limits.streamAfterMs)
  try {
    for (;;) {
      const next = iterator.next()
      const result = await Promise.race([next, timeout.expired])
      if (result === TIMED_OUT) return toStream(chunks, next, iterator)
      if (result.done === true) return { kind: 'buffered', body: Buffer.concat(chunks) }
      chunks.push(result.value)
      size += result.value.byteLength
      if (size > limits.maxBufferedBytes) return toStream(chunks, iterator.next(), iterator)
    }
  } finally {
    timeout.stop()
  }
}

function startTimeout (delayMs: number): { expired: Promise<typeof TIMED_OUT>, stop: () => void } {
  let timer: ReturnType<typeof setTimeout> | undefined
  const expired = new Promise<typeof TIMED_OUT>((resolve) => {
    if (delayMs !== Infinity) timer = setTimeout(() => resolve(TIMED_OUT), delayMs)
  })
  return { expired, stop: () => clearTimeout(timer) }
}

function toStream (
  chunks: Uint8Array[], pending: Promise<IteratorResult<Uint8Array>>, iterator: AsyncIterator<Uint8Array>
): ReadResult {
  // Avoids an unhandled rejection if the pending read fails before the consumer reaches it.
  pending.catch(() => {})
  let resolveEnded: (complete: boolean) => void = () => {}
  const ended = new Promise<boolean>((resolve) => { resolveEnded = resolve })
  async function * generate (): AsyncGenerator<Uint8Array> {
    let complete = false
    try {
      yield * chunks
      for (let next = await pending; next.done !== true; next = await iterator.next()) yield next.value
      complete = true
    } finally {
      if (!complete) await iterator.return?.().catch(() => {})
      resolveEnded(complete)
    }
  }
  const stream = generate()
  const discard = async () => { await iterator.return?.().catch(() => {}) }
  return { kind: 'stream', body: stream, ended, discard }
}
