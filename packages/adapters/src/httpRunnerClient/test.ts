import { expect } from 'chai'
import { callControl, serveEndpoints, type EndpointsServer } from '@gypsumspring/standins'
import type { Failure } from '@gypsumspring/protocol'
import { answerRaw, type RawAnswer } from '../_lib/answerRaw.ts'
import { readBody } from '../_lib/readBody.ts'
import type { RunnerRequest, RunnerResponse } from '../types.ts'
import { HttpRunnerClient } from './index.ts'

const get: RunnerRequest = { method: 'GET', path: '/x', headers: {}, body: new Uint8Array(), timeoutMs: 2_000 }

async function readJson (response: RunnerResponse): Promise<any> {
  return JSON.parse((await readBody(response.body, 1e9))!.toString())
}

/** Resolves with the error that reading the body throws, or with undefined. */
async function readError (response: RunnerResponse): Promise<Error | undefined> {
  return await readBody(response.body, 1e9).then(() => undefined, (error: Error) => error)
}

describe('HttpRunnerClient', () => {
  let endpoints: EndpointsServer
  let client: HttpRunnerClient
  let address: string
  const behave = (behaviour: object) => callControl(endpoints.url, 'runners/runner-0/behaviour', behaviour)
  const send = (request: Partial<RunnerRequest> = {}) => client.send(address, { ...get, ...request })

  beforeEach(async () => {
    endpoints = await serveEndpoints({ count: 1 })
    address = endpoints.runners[0]!.address
    client = new HttpRunnerClient()
  })

  afterEach(async () => {
    await client.close()
    await endpoints.close()
  })

  it('passes method, path, headers and body on, and drops those of the connection', async () => {
    const raw = await answerRaw({
      bytes: 'HTTP/1.1 201 X\r\nconnection: keep-alive, x-hop\r\nx-hop: 1\r\nset-cookie: a\r\nset-cookie: b\r\ncontent-length: 0\r\n\r\n',
      then: 'hold'
    })
    const headers = {
      'x-request-id': 'r1', Connection: 'x-own', 'x-own': '1', 'transfer-encoding': 'chunked', expect: '100-continue', 'content-length': '9', host: 'a'
    }
    const body = Buffer.from('hello')
    const response = (await client.send(raw.address, { ...get, method: 'POST', headers, body })).unsafeCoerce()
    expect(response.status).to.equal(201)
    expect(response.headers).to.deep.equal({ 'set-cookie': ['a', 'b'], 'content-length': '0' })
    await raw.close()
    const echo = await readJson((await send({ method: 'POST', path: '/a?b=%20c', headers, body })).unsafeCoerce())
    expect(echo).to.include({ requestId: 'r1', method: 'POST', path: '/a?b=%20c', bodyBytes: 5 })
  })

  it('streams an answer in pieces before it is complete', async () => {
    await behave({ pieces: 4, pieceMs: 20, paddingBytes: 1_000 })
    const response = (await send()).unsafeCoerce()
    expect(endpoints.runners[0]!.records.answered, 'the head must arrive before the last piece').to.equal(0)
    expect(await readJson(response)).to.have.property('padding').with.length(1_000)
  })

  const notRun = 'HTTP/1.1 503 X\r\ngs-outcome: not-run\r\nretry-after: 3\r\ncontent-length: 2\r\n\r\n{}'
  const failures: Array<{ name: string, raw: RawAnswer, expected: Partial<Failure> }> = [
    { name: '503 with gs-outcome not-run', raw: { bytes: notRun, then: 'hold' }, expected: { certainty: 'not-done', reason: 'overloaded', retryAfterMs: 3000 } },
    { name: '503 with gs-outcome not-run whose body is cut off', raw: { bytes: notRun.slice(0, -1), then: 'end' }, expected: { certainty: 'not-done', reason: 'overloaded' } },
    { name: 'no answer', raw: { then: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
    { name: 'half a head', raw: { bytes: 'HTTP/1.1 200 OK\r\ncont', then: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
    { name: 'a reset', raw: { then: 'reset' }, expected: { certainty: 'unknown', reason: 'closed' } },
    { name: 'a close without an answer', raw: { then: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
    { name: 'an answer that is not HTTP', raw: { bytes: 'hello\r\n\r\n', then: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } }
  ]
  for (const { name, raw, expected } of failures) {
    it(`${name}: ${expected.certainty}`, async () => {
      const server = await answerRaw(raw)
      const outcome = await client.send(server.address, { ...get, timeoutMs: 300 })
      expect(outcome.extract()).to.include(expected)
      expect(server.requests(), 'a request must not be repeated by the client library').to.equal(1)
      await server.close()
    })
  }

  it('takes any other answer of a runner as an answer, 503 too', async () => {
    await behave({ errorShare: 1, errorStatus: 503 })
    expect((await send()).unsafeCoerce().status).to.equal(503)
  })

  it('a runner that is down or an invalid request: not done; a lost answer: unknown although it ran', async () => {
    await behave({ loseAnswers: 1 })
    expect((await send({ headers: { 'x-request-id': 'lost' } })).extract())
      .to.include({ certainty: 'unknown', reason: 'closed' })
    expect(endpoints.runnersByRequestId.get('lost')).to.have.length(1)
    await behave({ loseAnswers: 0, down: true })
    expect((await send()).extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    await behave({ down: false })
    expect((await send()).isRight(), 'the client must connect again').to.equal(true)
    for (const request of [{ path: '/a b' }, { path: 'a' }, { method: 'G T' }, { headers: { x: 'a\r\nb: c' } }]) {
      expect((await send(request)).extract()).to.include({ certainty: 'not-done', reason: 'invalid' })
    }
    for (const wrong of ['', 'a/b', '127.0.0.1:99999', 'x@127.0.0.1:1']) {
      expect((await client.send(wrong, get)).extract()).to.include({ certainty: 'not-done', reason: 'invalid' })
    }
  })

  const torn: Array<{ name: string, behaviour: object, request?: Partial<RunnerRequest>, message?: RegExp }> = [
    { name: 'a body shorter than its length', behaviour: { truncate: 'length' } },
    { name: 'chunks without the last one', behaviour: { truncate: 'chunked' } },
    { name: 'a truncated body in pieces', behaviour: { truncate: 'chunked', pieces: 3, pieceMs: 5 } },
    { name: 'a body later than the deadline', behaviour: { pieces: 2, pieceMs: 5_000 }, request: { timeoutMs: 300 }, message: /300 ms/ }
  ]
  for (const { name, behaviour, request, message } of torn) {
    it(`iterating throws on ${name}, so that a part is never taken for the whole`, async () => {
      await behave({ paddingBytes: 100, ...behaviour })
      const error = await readError((await send(request)).unsafeCoerce())
      expect(error).to.be.instanceOf(Error)
      if (message !== undefined) expect(error!.message).to.match(message)
      await behave({ truncate: 'none', pieces: 1 })
      expect(await readError((await send()).unsafeCoerce())).to.equal(undefined)
    })
  }

  it('aborts by signal: not done while waiting for a connection, unknown once written', async () => {
    client.limitConnections(address, 1)
    await behave({ serviceMs: 60_000 })
    const controller = new AbortController()
    const written = send({ signal: controller.signal })
    const waiting = send({ signal: controller.signal })
    while (endpoints.runners[0]!.records.active === 0) await new Promise((resolve) => setTimeout(resolve, 5))
    controller.abort()
    expect((await written).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
    expect((await waiting).extract()).to.include({ certainty: 'not-done', reason: 'closed' })
    expect((await send({ signal: controller.signal })).extract()).to.include({ certainty: 'not-done' })
    expect(endpoints.runners[0]!.records.runs).to.equal(1)
  })

  it('a time-out while the only connection is in use: not done, and the request never arrives', async () => {
    const server = await answerRaw({ then: 'hold' })
    client.limitConnections(server.address, 1)
    const held = client.send(server.address, { ...get, timeoutMs: 60_000 })
    while (server.requests() === 0) await new Promise((resolve) => setTimeout(resolve, 5))
    const outcome = await client.send(server.address, { ...get, timeoutMs: 50 })
    expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'timeout' })
    await client.close()
    expect((await held).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
    expect(server.requests()).to.equal(1)
    await server.close()
  })

  it('never opens more connections than the limit, and closes surplus idle ones when it is lowered', async () => {
    await behave({ serviceMs: 5, pieces: 2, paddingBytes: 5_000 })
    const burst = async () => {
      const outcomes = await Promise.all(Array.from({ length: 24 }, () => send()))
      return await Promise.all(outcomes.map((outcome) => readError(outcome.unsafeCoerce())))
    }
    client.limitConnections(address, 3)
    // The bodies must be read while others wait, since a connection is free only after its body.
    const read = Promise.all(Array.from({ length: 24 }, async () => await readError((await send()).unsafeCoerce())))
    expect((await read).every((error) => error === undefined)).to.equal(true)
    expect(endpoints.runners[0]!.records).to.include({ maxConnections: 3, maxActive: 3 })
    client.limitConnections(address, 1)
    while (endpoints.runners[0]!.records.connections > 1) await new Promise((resolve) => setTimeout(resolve, 5))
    client.limitConnections(address, 24)
    await burst()
    expect(endpoints.runners[0]!.records.maxConnections).to.be.within(4, 24)
    client.limitConnections(address, 0)
    expect((await send({ timeoutMs: 50 })).extract()).to.include({ certainty: 'not-done', reason: 'timeout' })
  })

  it('frees the connection of a body that is left halfway or never read', async () => {
    client.limitConnections(address, 1)
    await behave({ paddingBytes: 5_000_000 })
    const pieces = (await send()).unsafeCoerce().body[Symbol.asyncIterator]()
    expect((await pieces.next()).value).to.have.property('length').greaterThan(0)
    await pieces.return!()
    expect((await send({ timeoutMs: 300 })).isRight()).to.equal(true)
    await behave({ paddingBytes: 0 })
    expect(await readError((await send()).unsafeCoerce())).to.equal(undefined)
  })
})
