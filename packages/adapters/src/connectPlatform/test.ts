import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { expect } from 'chai'
import { callControl, LinkProxy, servePlatform, startProcess, type PlatformServer } from '@gypsumspring/standins'
import type { Failure } from '@gypsumspring/protocol'
import { startRawServer, type RawResponse } from '../_lib/startRawServer.ts'
import { MAX_RESPONSE_BYTES, MAX_REQUEST_BYTES, MAX_PLATFORM_CONNECTIONS } from '../constants/index.ts'
import { connectPlatform } from './index.ts'

type PlatformClient = ReturnType<typeof connectPlatform>

const transaction = { checks: [{ key: 'a', version: 0 }], writes: [{ kind: 'put' as const, key: 'a', value: 1 }] }

function rawHttpResponse (status: number, body: string, headers = ''): string {
  return `HTTP/1.1 ${status} X\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`
}

function failureJson (failure: Failure): string {
  return JSON.stringify(failure)
}

describe('connectPlatform', () => {
  let platform: PlatformClient

  afterEach(async () => { await platform.close() })

  describe('a read whose transfer over a slow link takes longer than the timeout', () => {
    // A stalled machine must not count as a stalled transfer: the timeout is far above pauses of the test process.
    const storeTimeoutMs = 1_000
    const size = 1_600_000
    const put = { checks: [], writes: [{ kind: 'put' as const, key: 'a', value: 'x'.repeat(size) }] }
    const reads: Array<{ name: string, read: () => Promise<{ isRight: () => boolean }> }> = [
      { name: 'an object', read: () => platform.objects.get('large') },
      { name: 'a row', read: () => platform.table.read('a') },
      { name: 'rows', read: () => platform.table.scan('') }
    ]
    for (const { name, read } of reads) {
      it(`returns ${name}`, async () => {
        const server = await servePlatform()
        await server.objects.put('large', new Uint8Array(size))
        await server.table.transact(put)
        const link = new LinkProxy(new URL(server.url).host)
        platform = connectPlatform({ platformUrl: `http://${await link.listen()}`, storeTimeoutMs })
        link.setRate(800_000)
        expect((await read()).isRight()).to.equal(true)
        await link.close()
        await server.close()
      })
    }
  })

  describe('certainty of a failed table transaction', () => {
    const chunked = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    const tooLarge = Buffer.concat([
      Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${MAX_RESPONSE_BYTES + 1}\r\n\r\n`),
      Buffer.alloc(MAX_RESPONSE_BYTES + 1, 0x20)
    ])
    const cases: Array<{ name: string, raw: RawResponse, expected: Partial<Failure> }> = [
      { name: 'no response', raw: { action: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
      { name: 'a connection reset after the request', raw: { action: 'reset' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: 'a connection closed without a response', raw: { action: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: '429', raw: { bytes: rawHttpResponse(429, '', 'retry-after: 2\r\n'), action: 'hold' }, expected: { certainty: 'not-done', reason: 'overloaded', retryAfterMs: 2000 } },
      { name: '400', raw: { bytes: rawHttpResponse(400, 'no'), action: 'hold' }, expected: { certainty: 'not-done', reason: 'invalid' } },
      { name: '408', raw: { bytes: rawHttpResponse(408, ''), action: 'end' }, expected: { certainty: 'unknown', reason: 'timeout' } },
      { name: '500', raw: { bytes: rawHttpResponse(500, 'no'), action: 'hold' }, expected: { certainty: 'unknown', reason: 'unavailable' } },
      { name: '503 with an HTML body from an intermediate proxy', raw: { bytes: rawHttpResponse(503, '<html>'), action: 'hold' }, expected: { certainty: 'unknown', reason: 'unavailable' } },
      { name: '503 whose body says not-done', raw: { bytes: rawHttpResponse(503, failureJson({ certainty: 'not-done', reason: 'unavailable', message: 'x', retryAfterMs: 40 })), action: 'hold' }, expected: { certainty: 'not-done', reason: 'unavailable', retryAfterMs: 40 } },
      { name: '409 whose body says unknown', raw: { bytes: rawHttpResponse(409, failureJson({ certainty: 'unknown', reason: 'conflict', message: 'x' })), action: 'hold' }, expected: { certainty: 'unknown', reason: 'conflict' } },
      { name: '504', raw: { bytes: rawHttpResponse(504, ''), action: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
      { name: 'a redirect', raw: { bytes: rawHttpResponse(307, '', 'location: /x\r\n'), action: 'hold' }, expected: { certainty: 'unknown', reason: 'unavailable' } },
      { name: 'a body shorter than its content-length', raw: { bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{"versions":[1]}', action: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: 'a chunked body without the last chunk', raw: { bytes: `${chunked}10\r\n{"versions":[1]}\r\n`, action: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: '400 with a truncated body', raw: { bytes: 'HTTP/1.1 400 X\r\ncontent-length: 99\r\n\r\n{', action: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: 'a body that stops arriving', raw: { bytes: `${chunked}1\r\n{\r\n`, action: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
      { name: 'a body that exceeds the size limit', raw: { bytes: tooLarge, action: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } },
      { name: '200 with a body that is not JSON', raw: { bytes: rawHttpResponse(200, 'ok'), action: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } },
      { name: '200 with a body that violates the schema', raw: { bytes: rawHttpResponse(200, '{"versions":["1"]}'), action: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } },
      { name: 'a response that is not HTTP', raw: { bytes: 'hello\r\n\r\n', action: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } },
      { name: 'response headers that exceed the size limit', raw: { bytes: rawHttpResponse(200, '', `x: ${'x'.repeat(70_000)}\r\n`), action: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } }
    ]
    for (const { name, raw, expected } of cases) {
      it(`reports ${name} as ${expected.certainty}`, async () => {
        const server = await startRawServer(raw)
        // Only the timeout cases use a short timeout: 32 MiB take longer than 400 ms on a busy machine.
        const storeTimeoutMs = expected.reason === 'timeout' ? 400 : 10_000
        platform = connectPlatform({ platformUrl: `http://${server.address}`, storeTimeoutMs })
        const outcome = await platform.table.transact(transaction)
        expect(outcome.extract()).to.include(expected)
        expect(server.countRequests(), 'a write must not be repeated by the client library').to.equal(1)
        await server.close()
      })
    }

    // Guards against giving up answers that arrived while the process was paused, because timers run before input.
    for (const { name, storeTimeoutMs, pauseMs } of [
      { name: 'longer than the timeout', storeTimeoutMs: 300, pauseMs: 400 },
      { name: 'several times the timeout', storeTimeoutMs: 300, pauseMs: 1_500 }
    ]) {
      it(`reports an answer that arrives while the process pauses for ${name}`, async () => {
        const server = await startRawServer({ bytes: rawHttpResponse(200, '{"versions":[1]}'), action: 'hold', pauseMs })
        platform = connectPlatform({ platformUrl: `http://${server.address}`, storeTimeoutMs })
        expect((await platform.table.transact(transaction)).extract()).to.deep.equal({ versions: [1] })
        await server.close()
      })
    }

    it('reports a refused connection as not-done', async () => {
      const server = await startRawServer({ action: 'hold' })
      await server.close()
      platform = connectPlatform({ platformUrl: `http://${server.address}`, storeTimeoutMs: 400 })
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'not-done', reason: 'unavailable' })
    })

    it('reports a timeout while connecting as not-done, and after the request was written as unknown', async () => {
      const script = `require('net').createServer().listen({ port: 0, host: '127.0.0.1', backlog: 1 }, function () {
        console.log(JSON.stringify({ ready: true, port: this.address().port })) })`
      const server = await startProcess('-e', { args: [script] })
      server.pause()
      platform = connectPlatform({ platformUrl: `http://127.0.0.1:${server.ready.port}`, storeTimeoutMs: 300 })
      // The kernel accepts connections on behalf of the paused process until the backlog is full.
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'unknown', reason: 'timeout' })
      const backlogSockets: Socket[] = []
      for (let index = 0; index < 4; index++) {
        backlogSockets.push(connect(server.ready.port, '127.0.0.1').on('error', () => {}))
      }
      await once(backlogSockets[0]!, 'connect')
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'not-done', reason: 'timeout' })
      for (const socket of backlogSockets) socket.destroy()
      await server.kill()
    })

    it('reports a timeout while waiting for a free connection as not-done only if the request was never sent', async () => {
      const server = await startRawServer({ action: 'hold' })
      platform = connectPlatform({ platformUrl: `http://${server.address}`, storeTimeoutMs: 400 })
      const calls = Array.from({ length: MAX_PLATFORM_CONNECTIONS + 5 }, () => platform.table.transact(transaction))
      const certainties = (await Promise.all(calls)).map((outcome) => (outcome.extract() as Failure).certainty)
      // A waiting call may get the connection of a call that timed out slightly earlier, and then counts as unknown.
      const unknown = certainties.filter((certainty) => certainty === 'unknown').length
      expect(unknown).to.be.within(MAX_PLATFORM_CONNECTIONS, calls.length)
      expect(server.countRequests()).to.be.at.most(unknown)
      await server.close()
    })

    it('reports calls interrupted by close as unknown once written, and calls after close as not-done', async () => {
      const server = await startRawServer({ action: 'hold' })
      platform = connectPlatform({ platformUrl: `http://${server.address}` })
      const pending = platform.table.transact(transaction)
      while (server.countRequests() === 0) await new Promise((resolve) => setTimeout(resolve, 5))
      await platform.close()
      expect((await pending).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'not-done', reason: 'closed' })
      await server.close()
    })
  })

  describe('with the platform stand-in', () => {
    let server: PlatformServer

    beforeEach(async () => {
      server = await servePlatform({ writesPerSecond: Infinity, readsPerSecond: Infinity })
      platform = connectPlatform({ platformUrl: `${server.url}/`, storeTimeoutMs: 400 })
    })

    afterEach(async () => { await server.close() })

    it('checks row versions in transactions, deletes rows and scans by prefix', async () => {
      expect((await platform.table.transact(transaction)).extract()).to.deep.equal({ versions: [1] })
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'not-done', reason: 'conflict' })
      await platform.table.transact({ checks: [], writes: [{ kind: 'put', key: 'a b%2F&/ü', value: { x: [null] } }] })
      expect((await platform.table.scan('a')).extract()).to.deep.equal([
        { key: 'a', version: 1, value: 1 }, { key: 'a b%2F&/ü', version: 1, value: { x: [null] } }
      ])
      expect((await platform.table.read('a b%2F&/ü')).extract()).to.have.property('version', 1)
      await platform.table.transact({ checks: [{ key: 'a', version: 1 }], writes: [{ kind: 'delete', key: 'a' }] })
      expect((await platform.table.read('a')).unsafeCoerce()).to.equal(undefined)
      // Versions must not restart after a delete: a writer that still expects version 1 would overwrite the new row.
      expect((await platform.table.transact(transaction)).extract()).to.deep.equal({ versions: [2] })
    })

    it('rejects invalid requests as not-done without sending them', async () => {
      const put = (value: unknown) => platform.table.transact({ checks: [], writes: [{ kind: 'put', key: 'a', value }] })
      for (const outcome of [
        await put(1n), await put('x'.repeat(MAX_REQUEST_BYTES)), await put(undefined),
        await platform.table.read('\ud800'), await platform.objects.get('..'), await platform.objects.remove('')
      ]) expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'invalid' })
      expect(server.table.writeCount).to.equal(0)
    })

    it('stores objects unchanged and distinguishes absent objects from empty ones', async () => {
      const bytes = Uint8Array.from({ length: 300_000 }, (_, index) => index % 256)
      for (const [key, value] of [['snapshots/a b%.1', bytes], ['empty', new Uint8Array()]] as const) {
        expect((await platform.objects.put(key, value)).isRight()).to.equal(true)
        expect(Buffer.compare((await platform.objects.get(key)).unsafeCoerce()!, value)).to.equal(0)
      }
      await platform.objects.remove('empty')
      expect((await platform.objects.get('empty')).unsafeCoerce()).to.equal(undefined)
    })

    it('returns an outdated inventory while the platform delays updates', async () => {
      const machine = { id: 'w', kind: 'worker', failureDomain: 'a', rack: 'r', address: '127.0.0.1:1', state: 'live' }
      await callControl(server.url, 'machines', { machines: [machine] })
      expect((await platform.inventory.list()).extract()).to.deep.equal([machine])
      await callControl(server.url, 'faults/inventory', { lagMs: 60_000 })
      expect((await platform.inventory.list()).extract()).to.deep.equal([])
    })

    it('reports a lost response as unknown although the write took effect', async () => {
      await callControl(server.url, 'faults/table', { loseAnswers: 1 })
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'unknown', reason: 'closed' })
      await callControl(server.url, 'clear', {})
      expect((await platform.table.read('a')).extract()).to.have.property('version', 1)
    })

    it('reports an unresponsive store as unknown and an unavailable one as not-done, without affecting other services', async () => {
      await callControl(server.url, 'faults/table', { hang: true })
      expect((await platform.table.read('a')).extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
      expect((await platform.objects.get('a')).isRight()).to.equal(true)
      await callControl(server.url, 'faults/all', { hang: false, down: true })
      for (const outcome of [
        await platform.table.transact(transaction), await platform.objects.put('a', new Uint8Array(1)),
        await platform.inventory.list()
      ]) expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    })

    it('reports calls above the rate limits as overloaded with a retry delay', async () => {
      await callControl(server.url, 'limits', { writesPerSecond: 0.01, readsPerSecond: 0.01 })
      const calls = [
        () => platform.table.transact(transaction), () => platform.objects.put('a', new Uint8Array(1)),
        () => platform.table.scan(''), () => platform.objects.get('a')
      ]
      for (const call of calls) await call()
      for (const call of calls) {
        const failure = (await call()).extract() as Failure
        expect(failure).to.include({ certainty: 'not-done', reason: 'overloaded' })
        expect(failure.retryAfterMs).to.be.within(1, 100_000)
      }
    })
  })
})
