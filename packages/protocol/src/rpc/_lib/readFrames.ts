import type { Socket } from 'node:net'
import split from 'split2'
import { MAX_FRAME_BYTES } from '../constants/index.ts'

export type FrameFault = 'oversized-frame' | 'torn-frame' | 'invalid-json' | 'socket-error'

/**
 * Passes on each newline-delimited JSON document of a socket. The first fault ends this connection and no other.
 */
export function readFrames (
  socket: Socket, onMessage: (message: unknown) => void, onFault: (fault: FrameFault) => void
): void {
  let lastByte = NEWLINE
  let failed = false
  const frames = split({ maxLength: MAX_FRAME_BYTES })
  const fail = (fault: FrameFault) => {
    if (failed) return
    failed = true
    frames.destroy()
    socket.destroy()
    onFault(fault)
  }
  socket.on('data', (chunk: Buffer) => { lastByte = chunk[chunk.length - 1] ?? lastByte })
  socket.on('error', () => fail('socket-error'))
  // A peer that ends in the middle of a frame was cut off; the partial frame is never interpreted.
  socket.on('end', () => { if (lastByte !== NEWLINE) fail('torn-frame') })
  frames.on('error', () => fail('oversized-frame'))
  frames.on('data', (line: string) => {
    if (line === '' || failed) return
    let message: unknown
    try {
      message = JSON.parse(line)
    } catch {
      fail('invalid-json')
      return
    }
    onMessage(message)
  })
  socket.pipe(frames)
}

const NEWLINE = 0x0a

/** Writes one message as a frame. */
export function writeFrame (socket: Socket, message: unknown): void {
  if (socket.writable) socket.write(`${JSON.stringify(message)}\n`)
}
