const LATE = Symbol('late')

export type ReadAnswer =
  | { kind: 'whole', body: Uint8Array }
  | {
    kind: 'stream'
    body: AsyncIterable<Uint8Array>
    /** Resolves when the body was consumed: true when whole, false when it broke or was given up. */
    ended: Promise<boolean>
    /** Closes a body that nobody consumes. */
    discard: () => Promise<void>
  }

/**
 * Reads a body whole, or turns it into a stream when it is longer or slower than allowed.
 *
 * @param body - The body; its iterator throws when it ends early.
 * @param limits.wholeBytes - Largest body read whole.
 * @param limits.streamAfterMs - Longest time to read it; `Infinity` for no limit.
 * @returns The whole body, or a stream that starts with what was read. Rejects when the body breaks before either.
 */
export async function readAnswer (
  body: AsyncIterable<Uint8Array>, limits: { wholeBytes: number, streamAfterMs: number }
): Promise<ReadAnswer> {
  const iterator = body[Symbol.asyncIterator]()
  const chunks: Uint8Array[] = []
  let size = 0
  const alarm = startAlarm(limits.streamAfterMs)
  try {
    for (;;) {
      const next = iterator.next()
      const result = await Promise.race([next, alarm.rung])
      if (result === LATE) return toStream(chunks, next, iterator)
      if (result.done === true) return { kind: 'whole', body: Buffer.concat(chunks) }
      chunks.push(result.value)
      size += result.value.byteLength
      if (size > limits.wholeBytes) return toStream(chunks, iterator.next(), iterator)
    }
  } finally {
    alarm.stop()
  }
}

function startAlarm (delayMs: number): { rung: Promise<typeof LATE>, stop: () => void } {
  let timer: ReturnType<typeof setTimeout> | undefined
  const rung = new Promise<typeof LATE>((resolve) => {
    if (delayMs !== Infinity) timer = setTimeout(() => resolve(LATE), delayMs)
  })
  return { rung, stop: () => clearTimeout(timer) }
}

function toStream (
  chunks: Uint8Array[], pending: Promise<IteratorResult<Uint8Array>>, iterator: AsyncIterator<Uint8Array>
): ReadAnswer {
  // The pending read may fail before the consumer reaches it.
  pending.catch(() => {})
  let settle: (whole: boolean) => void = () => {}
  const ended = new Promise<boolean>((resolve) => { settle = resolve })
  async function * generate (): AsyncGenerator<Uint8Array> {
    let whole = false
    try {
      yield * chunks
      for (let next = await pending; next.done !== true; next = await iterator.next()) yield next.value
      whole = true
    } finally {
      if (!whole) await iterator.return?.().catch(() => {})
      settle(whole)
    }
  }
  const stream = generate()
  const discard = async () => { await iterator.return?.().catch(() => {}) }
  return { kind: 'stream', body: stream, ended, discard }
}
