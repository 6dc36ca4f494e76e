import { createServer, type AddressInfo, type Socket } from 'node:net'

/**
 * What a raw server does once the head of a request has arrived: send `bytes` and keep the connection open (`hold`) or
 * close it (`end`), or send nothing and reset the connection (`reset`). After that it blocks the test process for
 * `pauseMs`, as a pause of the process does.
 */
export type RawResponse = { bytes?: string | Buffer, action: 'hold' | 'end' | 'reset', pauseMs?: number }

/**
 * Starts a TCP server for tests that answers every request with fixed bytes, so that it can send responses that a
 * regular HTTP server would never produce.
 *
 * @param response - Used for every request.
 * @returns The address, a counter of the requests received, and `close`.
 */
export async function startRawServer (
  response: RawResponse
): Promise<{ address: string, countRequests: () => number, close: () => Promise<void> }> {
  const sockets = new Set<Socket>()
  let requestCount = 0
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (bytes) => {
      if (!bytes.includes('\r\n\r\n')) return
      requestCount++
      if (response.action === 'reset') socket.resetAndDestroy()
      else if (response.action === 'end') socket.end(response.bytes ?? '')
      else if (response.bytes !== undefined) socket.write(response.bytes)
      const pausedUntil = performance.now() + (response.pauseMs ?? 0)
      while (performance.now() < pausedUntil);
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    countRequests: () => requestCount,
    close: () => new Promise((resolve) => {
      for (const socket of sockets) socket.destroy()
      server.close(() => resolve())
    })
  }
}
