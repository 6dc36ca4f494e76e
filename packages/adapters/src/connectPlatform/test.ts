import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { expect } from 'chai'
import { callControl, servePlatform, startProcess, type PlatformServer } from '@gypsumspring/standins'
import type { Failure } from '@gypsumspring/protocol'
import { answerRaw, type RawAnswer } from '../_lib/answerRaw.ts'
import { MAX_ANSWER_BYTES, MAX_REQUEST_BYTES, PLATFORM_CONNECTIONS } from '../constants/index.ts'
import { connectPlatform } from './index.ts'

type Connected = ReturnType<typeof connectPlatform>

const transaction = { checks: [{ key: 'a', version: 0 }], writes: [{ kind: 'put' as const, key: 'a', value: 1 }] }

function answer (status: number, body: string, headers = ''): string {
  return `HTTP/1.1 ${status} X\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`
}

function failureBody (failure: Failure): string {
  return JSON.stringify(failure)
}

describe('connectPlatform', () => {
  let platform: Connected

  afterEach(async () => { await platform.close() })

  describe('certainty of failures', () => {
    const chunked = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    const tooLarge = Buffer.concat([
      Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${MAX_ANSWER_BYTES + 1}\r\n\r\n`),
      Buffer.alloc(MAX_ANSWER_BYTES + 1, 0x20)
    ])
    const cases: Array<{ name: string, raw: RawAnswer, expected: Partial<Failure> }> = [
      { name: 'no answer', raw: { then: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
      { name: 'a reset after the request', raw: { then: 'reset' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: 'a connection closed without an answer', raw: { then: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: '429', raw: { bytes: answer(429, '', 'retry-after: 2\r\n'), then: 'hold' }, expected: { certainty: 'not-done', reason: 'overloaded', retryAfterMs: 2000 } },
      { name: '400', raw: { bytes: answer(400, 'no'), then: 'hold' }, expected: { certainty: 'not-done', reason: 'invalid' } },
      { name: '408', raw: { bytes: answer(408, ''), then: 'end' }, expected: { certainty: 'unknown', reason: 'timeout' } },
      { name: '500', raw: { bytes: answer(500, 'no'), then: 'hold' }, expected: { certainty: 'unknown', reason: 'unavailable' } },
      { name: '503 from a proxy in between', raw: { bytes: answer(503, '<html>'), then: 'hold' }, expected: { certainty: 'unknown', reason: 'unavailable' } },
      { name: '503 that says it was not done', raw: { bytes: answer(503, failureBody({ certainty: 'not-done', reason: 'unavailable', message: 'x', retryAfterMs: 40 })), then: 'hold' }, expected: { certainty: 'not-done', reason: 'unavailable', retryAfterMs: 40 } },
      { name: '409 that says the effect is unknown', raw: { bytes: answer(409, failureBody({ certainty: 'unknown', reason: 'conflict', message: 'x' })), then: 'hold' }, expected: { certainty: 'unknown', reason: 'conflict' } },
      { name: '504', raw: { bytes: answer(504, ''), then: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
      { name: 'a redirect', raw: { bytes: answer(307, '', 'location: /x\r\n'), then: 'hold' }, expected: { certainty: 'unknown', reason: 'unavailable' } },
      { name: 'a body shorter than its length', raw: { bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{"versions":[1]}', then: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: 'chunks without the last one', raw: { bytes: `${chunked}10\r\n{"versions":[1]}\r\n`, then: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: 'a rejection whose body is cut off', raw: { bytes: 'HTTP/1.1 400 X\r\ncontent-length: 99\r\n\r\n{', then: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
      { name: 'a body that stops arriving', raw: { bytes: `${chunked}1\r\n{\r\n`, then: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
      { name: 'an answer that is too large', raw: { bytes: tooLarge, then: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } },
      { name: 'a success that is not JSON', raw: { bytes: answer(200, 'ok'), then: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } },
      { name: 'a success against the schema', raw: { bytes: answer(200, '{"versions":["1"]}'), then: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } },
      { name: 'an answer that is not HTTP', raw: { bytes: 'hello\r\n\r\n', then: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } },
      { name: 'a head that is too large', raw: { bytes: answer(200, '', `x: ${'x'.repeat(70_000)}\r\n`), then: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } }
    ]
    for (const { name, raw, expected } of cases) {
      it(`${name}: ${expected.certainty}`, async () => {
        const server = await answerRaw(raw)
        // Only a case that is about time may run out of it: 32 MiB take longer than 400 ms on a busy machine.
        const storeTimeoutMs = expected.reason === 'timeout' ? 400 : 10_000
        platform = connectPlatform({ platformUrl: `http://${server.address}`, storeTimeoutMs })
        const outcome = await platform.table.transact(transaction)
        expect(outcome.extract()).to.include(expected)
        expect(server.requests(), 'a write must not be repeated by the client library').to.equal(1)
        await server.close()
      })
    }

    it('a refused connection: not done', async () => {
      const server = await answerRaw({ then: 'hold' })
      await server.close()
      platform = connectPlatform({ platformUrl: `http://${server.address}`, storeTimeoutMs: 400 })
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'not-done', reason: 'unavailable' })
    })

    it('a time-out before the connection is made: not done; after the request is written: unknown', async () => {
      const script = `require('net').createServer().listen({ port: 0, host: '127.0.0.1', backlog: 1 }, function () {
        console.log(JSON.stringify({ ready: true, port: this.address().port })) })`
      const server = await startProcess('-e', { args: [script] })
      server.pause()
      platform = connectPlatform({ platformUrl: `http://127.0.0.1:${server.ready.port}`, storeTimeoutMs: 300 })
      // The kernel accepts the first connections for the paused process.
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'unknown', reason: 'timeout' })
      const fill: Socket[] = []
      for (let index = 0; index < 4; index++) {
        fill.push(connect(server.ready.port, '127.0.0.1').on('error', () => {}))
      }
      await once(fill[0]!, 'connect')
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'not-done', reason: 'timeout' })
      for (const socket of fill) socket.destroy()
      await server.kill()
    })

    it('a time-out while all connections are in use: not done only for calls that never arrive', async () => {
      const server = await answerRaw({ then: 'hold' })
      platform = connectPlatform({ platformUrl: `http://${server.address}`, storeTimeoutMs: 400 })
      const calls = Array.from({ length: PLATFORM_CONNECTIONS + 5 }, () => platform.table.transact(transaction))
      const certainties = (await Promise.all(calls)).map((outcome) => (outcome.extract() as Failure).certainty)
      // A waiting call may get the connection of one that timed out a moment earlier.
      const unknown = certainties.filter((certainty) => certainty === 'unknown').length
      expect(unknown).to.be.within(PLATFORM_CONNECTIONS, calls.length)
      expect(server.requests()).to.be.at.most(unknown)
      await server.close()
    })

    it('close during a call: unknown when written; calls afterwards: not done', async () => {
      const server = await answerRaw({ then: 'hold' })
      platform = connectPlatform({ platformUrl: `http://${server.address}` })
      const pending = platform.table.transact(transaction)
      while (server.requests() === 0) await new Promise((resolve) => setTimeout(resolve, 5))
      await platform.close()
      expect((await pending).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'not-done', reason: 'closed' })
      await server.close()
    })
  })

  describe('against the platform stand-in', () => {
    let server: PlatformServer

    beforeEach(async () => {
      server = await servePlatform({ writesPerSecond: Infinity, readsPerSecond: Infinity })
      platform = connectPlatform({ platformUrl: `${server.url}/`, storeTimeoutMs: 400 })
    })

    afterEach(async () => { await server.close() })

    it('compares versions, deletes and scans', async () => {
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
      // A row written again must not look like the old one to a writer that still holds version 1.
      expect((await platform.table.transact(transaction)).extract()).to.deep.equal({ versions: [2] })
    })

    it('rejects what can not be sent, without sending it', async () => {
      const put = (value: unknown) => platform.table.transact({ checks: [], writes: [{ kind: 'put', key: 'a', value }] })
      for (const outcome of [
        await put(1n), await put('x'.repeat(MAX_REQUEST_BYTES)), await put(undefined),
        await platform.table.read('\ud800'), await platform.objects.get('..'), await platform.objects.remove('')
      ]) expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'invalid' })
      expect(server.table.writeCount).to.equal(0)
    })

    it('keeps objects byte for byte, and tells absent from empty', async () => {
      const bytes = Uint8Array.from({ length: 300_000 }, (_, index) => index % 256)
      for (const [key, value] of [['snapshots/a b%.1', bytes], ['empty', new Uint8Array()]] as const) {
        expect((await platform.objects.put(key, value)).isRight()).to.equal(true)
        expect(Buffer.compare((await platform.objects.get(key)).unsafeCoerce()!, value)).to.equal(0)
      }
      await platform.objects.remove('empty')
      expect((await platform.objects.get('empty')).unsafeCoerce()).to.equal(undefined)
    })

    it('shows an outdated list of VMs while it lags', async () => {
      const machine = { id: 'w', kind: 'worker', failureDomain: 'a', rack: 'r', address: '127.0.0.1:1', state: 'live' }
      await callControl(server.url, 'machines', { machines: [machine] })
      expect((await platform.inventory.list()).extract()).to.deep.equal([machine])
      await callControl(server.url, 'faults/inventory', { lagMs: 60_000 })
      expect((await platform.inventory.list()).extract()).to.deep.equal([])
    })

    it('a lost answer is unknown although the write took effect', async () => {
      await callControl(server.url, 'faults/table', { loseAnswers: 1 })
      expect((await platform.table.transact(transaction)).extract())
        .to.include({ certainty: 'unknown', reason: 'closed' })
      await callControl(server.url, 'clear', {})
      expect((await platform.table.read('a')).extract()).to.have.property('version', 1)
    })

    it('a store that hangs is unknown, one that says that it is down not done; the other services go on', async () => {
      await callControl(server.url, 'faults/table', { hang: true })
      expect((await platform.table.read('a')).extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
      expect((await platform.objects.get('a')).isRight()).to.equal(true)
      await callControl(server.url, 'faults/all', { hang: false, down: true })
      for (const outcome of [
        await platform.table.transact(transaction), await platform.objects.put('a', new Uint8Array(1)),
        await platform.inventory.list()
      ]) expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    })

    it('beyond the limits of the stores answers overloaded with the time to wait', async () => {
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
