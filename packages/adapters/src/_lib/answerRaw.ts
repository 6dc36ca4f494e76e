import { createServer, type AddressInfo, type Socket } from 'node:net'

/** What a raw server does once the head of a request has arrived. */
export type RawAnswer = { bytes?: string | Buffer, then: 'hold' | 'end' | 'reset' }

/**
 * Serves TCP connections with prepared bytes, for answers that no HTTP server would send.
 *
 * @param answer - Sent on each request.
 * @returns The address, how many requests arrived, and `close`.
 */
export async function answerRaw (
  answer: RawAnswer
): Promise<{ address: string, requests: () => number, close: () => Promise<void> }> {
  const sockets = new Set<Socket>()
  let requests = 0
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (bytes) => {
      if (!bytes.includes('\r\n\r\n')) return
      requests++
      if (answer.then === 'reset') socket.resetAndDestroy()
      else if (answer.then === 'end') socket.end(answer.bytes ?? '')
      else if (answer.bytes !== undefined) socket.write(answer.bytes)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests: () => requests,
    close: () => new Promise((resolve) => {
      for (const socket of sockets) socket.destroy()
      server.close(() => resolve())
    })
  }
}
