import { createServer, type AddressInfo } from 'node:net'
import { expect } from 'chai'
import type { Failure } from '@gypsumspring/protocol'
import { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { startRawServer, type RawResponse } from '../_lib/startRawServer.ts'
import { requestJson } from './index.ts'

const TIMEOUT_MS = 300

type Changes = Partial<Omit<Parameters<typeof requestJson>[1], 'method' | 'path' | 'body'>>

function send (pool: ConnectionPool, changes: Changes = {}) {
  return requestJson(pool, { method: 'POST', path: '/x', body: { a: 1 }, timeoutMs: TIMEOUT_MS, ...changes })
}

function respond (head: string, body: string): string {
  return `HTTP/1.1 ${head}\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

const chunked = 'HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{"b":\r\n2\r\n2}\r\n0\r\n\r\n'

describe('requestJson', () => {
  const answered: Array<{ name: string, raw: RawResponse, expected: unknown }> = [
    { name: 'a response', raw: { bytes: respond('200 X', '{"b":2}'), action: 'hold' }, expected: { status: 200, body: { b: 2 } } },
    { name: 'a response in chunks', raw: { bytes: chunked, action: 'hold' }, expected: { status: 200, body: { b: 2 } } },
    { name: 'an error status', raw: { bytes: respond('409 X', '{"reason":"old"}'), action: 'hold' }, expected: { status: 409, body: { reason: 'old' } } },
    { name: 'a response without a body', raw: { bytes: respond('503 X', ''), action: 'hold' }, expected: { status: 503, body: undefined } },
    { name: 'a body that is not JSON', raw: { bytes: respond('200 X', '<p>'), action: 'hold' }, expected: { status: 200, body: undefined } },
    { name: 'a body that ends with the connection', raw: { bytes: 'HTTP/1.1 200 X\r\n\r\n{"b":2}', action: 'end' }, expected: { status: 200, body: { b: 2 } } }
  ]
  for (const { name, raw, expected } of answered) {
    it(`returns ${name}`, async () => {
      const server = await startRawServer(raw)
      const pool = new ConnectionPool(`http://${server.address}`, 1)
      // The second request needs the connection that the first one has released.
      for (let request = 0; request < 2; request++) expect((await send(pool)).extract()).to.deep.equal(expected)
      await pool.close()
      await server.close()
    })
  }

  const failures: Array<{ name: string, raw: RawResponse, changes?: Changes, expected: Partial<Failure> }> = [
    { name: 'no response', raw: { action: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
    { name: 'a body that stops', raw: { bytes: respond('200 X', '{}').slice(0, -1), action: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
    {
      name: 'a body that stalls',
      raw: { bytes: respond('200 X', '{}').slice(0, -1), action: 'hold' },
      changes: { timeoutMs: 5_000, stallTimeoutMs: 100 },
      expected: { certainty: 'unknown', reason: 'timeout' }
    },
    { name: 'a truncated body', raw: { bytes: respond('200 X', '{}').slice(0, -1), action: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
    { name: 'a connection reset', raw: { action: 'reset' }, expected: { certainty: 'unknown', reason: 'closed' } },
    { name: 'a connection closed without a response', raw: { action: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
    { name: 'a response that is not HTTP', raw: { bytes: 'hello\r\n\r\n', action: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } }
  ]
  for (const { name, raw, changes, expected } of failures) {
    // A call that may have been carried out must never be reported as not done, and must not be sent twice.
    it(`reports ${name} as ${expected.certainty}, and uses the pool again`, async () => {
      const server = await startRawServer(raw)
      const pool = new ConnectionPool(`http://${server.address}`, 1)
      for (let request = 1; request <= 2; request++) {
        expect((await send(pool, changes)).extract()).to.include(expected)
        expect(server.countRequests()).to.equal(request)
      }
      await pool.close()
      await server.close()
    })
  }

  it('reports a refused connection as not done', async () => {
    const server = await startRawServer({ action: 'hold' })
    await server.close()
    const pool = new ConnectionPool(`http://${server.address}`, 1)
    expect((await send(pool)).extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    await pool.close()
  })

  it('reports a call that found no free connection as not done', async () => {
    const server = await startRawServer({ action: 'hold' })
    const pool = new ConnectionPool(`http://${server.address}`, 1)
    const first = send(pool)
    expect((await send(pool, { timeoutMs: 100 })).extract()).to.include({ certainty: 'not-done', reason: 'timeout' })
    expect((await first).extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
    await pool.close()
    expect((await send(pool)).extract()).to.include({ certainty: 'not-done', reason: 'closed' })
    await server.close()
  })

  it('ends a call that its caller aborts', async () => {
    const server = await startRawServer({ action: 'hold' })
    const pool = new ConnectionPool(`http://${server.address}`, 1)
    const controller = new AbortController()
    setTimeout(() => controller.abort(), 50)
    expect((await send(pool, { timeoutMs: 5_000, signal: controller.signal })).extract())
      .to.include({ certainty: 'unknown', reason: 'closed' })
    expect((await send(pool, { signal: AbortSignal.abort() })).extract())
      .to.include({ certainty: 'not-done', reason: 'closed' })
    await pool.close()
    await server.close()
  })

  // The server closes idle connections, and a request that meets the end of one was not written to it.
  it('sends a request again on a new connection when the server has closed the idle one', async () => {
    const server = createServer((socket) => {
      socket.on('error', () => {})
      socket.on('data', () => {
        socket.write(respond('200 X', '{"b":2}'))
        setTimeout(() => socket.destroy(), 20)
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const pool = new ConnectionPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1)
    for (let request = 0; request < 3; request++) {
      expect((await send(pool)).extract()).to.deep.equal({ status: 200, body: { b: 2 } })
      await new Promise((resolve) => setTimeout(resolve, 60))
    }
    await pool.close()
    server.close()
  })

  // A server may be replaced by another at its address, which must not get what was meant for the one before.
  describe('with a latest time for the connection', () => {
    const ok = respond('200 X', '{"b":2}')

    it('uses a connection that was opened by then', async () => {
      const server = await startRawServer({ bytes: ok, action: 'hold' })
      const pool = new ConnectionPool(`http://${server.address}`, 1)
      let writtenAt = 0
      await send(pool, { onWrite: () => { writtenAt = performance.now() } })
      expect((await send(pool, { connectedBefore: writtenAt })).isRight()).to.equal(true)
      await pool.close()
      await server.close()
    })

    const tooLate = [
      { name: 'a new connection', requests: 0, pauseMs: 0 },
      { name: 'one that replaces a closed one', requests: 1, pauseMs: 60 }
    ]
    for (const { name, requests, pauseMs } of tooLate) {
      it(`sends nothing over ${name}, which stays open for others`, async () => {
        const server = await startRawServer({ bytes: ok, action: requests > 0 ? 'end' : 'hold' })
        const pool = new ConnectionPool(`http://${server.address}`, 1)
        for (let request = 0; request < requests; request++) await send(pool)
        const connectedBefore = performance.now()
        await new Promise((resolve) => setTimeout(resolve, pauseMs))
        const opened = (await send(pool, { connectedBefore })).extract()
        expect(opened).to.include({ certainty: 'not-done', reason: 'closed' })
        expect(server.countRequests()).to.equal(requests)
        let writtenAt = 0
        expect((await send(pool, { onWrite: () => { writtenAt = performance.now() } })).isRight()).to.equal(true)
        expect(server.countRequests()).to.equal(requests + 1)
        if (requests === 0) expect((await send(pool, { connectedBefore: writtenAt })).isRight()).to.equal(true)
        await pool.close()
        await server.close()
      })
    }
  })
})
