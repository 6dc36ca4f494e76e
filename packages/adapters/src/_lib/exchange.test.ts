import { connect as connectSocket } from 'node:net'
import { expect } from 'chai'
import Client from 'undici/lib/dispatcher/client.js'
import type { ConnectionPool } from './ConnectionPool.ts'
import { exchange } from './exchange.ts'
import { startRawServer } from './startRawServer.ts'

describe('exchange', () => {
  // The request was sent again inside undici's own handling of the error, which then failed an assertion and ended the
  // process.
  for (const code of ['ECONNRESET', 'EPIPE']) {
    it(`sends a request again after a connection attempt that failed with ${code}`, async () => {
      const server = await startRawServer({ bytes: 'HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\n{}', action: 'hold' })
      let attempts = 0
      const client = new Client(`http://${server.address}`, {
        connect: ({ hostname, port }, callback) => {
          if (++attempts === 1) {
            setImmediate(callback, Object.assign(new Error('the connection attempt failed'), { code }), null)
            return
          }
          const socket = connectSocket(Number(port), hostname, () => callback(null, socket))
        }
      })
      const pool = {
        basePath: '', closed: false, tryAcquire: () => client, release: () => {}, discard: () => {}
      } as unknown as ConnectionPool
      const outcome = await exchange(pool, { method: 'GET', path: '/', timeoutMs: 1_000 }, 1_024)
      expect(outcome.map(({ status }) => status).extract()).to.equal(200)
      expect(attempts).to.equal(2)
      await client.destroy()
      await server.close()
    })
  }
})
