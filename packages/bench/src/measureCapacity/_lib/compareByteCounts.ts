import { once } from 'node:events'
import { connect, createServer, type AddressInfo } from 'node:net'
import { readUsage, subtractUsage } from './readUsage.ts'

const WRITES = 1000
const BYTES_PER_WRITE = 1000

/**
 * Sends a known number of bytes over a TCP connection of this process, to compare it with the counts in /proc/<pid>/io.
 *
 * @returns The bytes sent, and the bytes that /proc counted as read and as written.
 *
 * @example
 * await compareByteCounts() // => { sentBytes: 1000000, countedReadBytes: 1000130, countedWrittenBytes: 1000032 }
 */
export async function compareByteCounts () {
  const server = createServer((socket) => socket.resume())
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const accepted = once(server, 'connection')
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const [socket] = await accepted
  const before = await readUsage(process.pid)
  for (let index = 0; index < WRITES; index++) {
    await new Promise((resolve) => client.write(Buffer.alloc(BYTES_PER_WRITE), resolve))
  }
  const ended = once(socket, 'end')
  client.end()
  await ended
  const usage = subtractUsage(await readUsage(process.pid), before)
  server.close()
  return {
    sentBytes: WRITES * BYTES_PER_WRITE, countedReadBytes: usage.receivedBytes, countedWrittenBytes: usage.sentBytes
  }
}
