import { expect } from 'chai'
import { callControl, serveEndpoints, type EndpointsServer } from '@gypsumspring/standins'
import type { Failure } from '@gypsumspring/protocol'
import { startRawServer, type RawResponse } from '../_lib/startRawServer.ts'
import { readBody } from '../_lib/readBody.ts'
import type { RunnerRequest, RunnerResponse } from '../types.ts'
import { HttpRunnerClient } from './index.ts'

const getRequest: RunnerRequest = { method: 'GET', path: '/x', headers: {}, body: new Uint8Array(), timeoutMs: 2_000 }

async function readJson (response: RunnerResponse): Promise<any> {
  return JSON.parse((await readBody(response.body, 1e9))!.toString())
}

/** Returns the error thrown while reading the body, or undefined. */
async function readBodyError (response: RunnerResponse): Promise<Error | undefined> {
  return await readBody(response.body, 1e9).then(() => undefined, (error: Error) => error)
}

describe('HttpRunnerClient', () => {
  let endpoints: EndpointsServer
  let client: HttpRunnerClient
  let address: string
  const setBehaviour = (behaviour: object) => callControl(endpoints.url, 'runners/runner-0/behaviour', behaviour)
  const send = (request: Partial<RunnerRequest> = {}) => client.send(address, { ...getRequest, ...request })

  beforeEach(async () => {
    endpoints = await serveEndpoints({ count: 1 })
    address = endpoints.runners[0]!.address
    client = new HttpRunnerClient()
  })

  afterEach(async () => {
    await client.close()
    await endpoints.close()
  })

  it('forwards method, path, headers and body, and removes hop-by-hop headers', async () => {
    const raw = await startRawServer({
      bytes: 'HTTP/1.1 201 X\r\nconnection: keep-alive, x-hop\r\nx-hop: 1\r\nset-cookie: a\r\nset-cookie: b\r\ncontent-length: 0\r\n\r\n',
      action: 'hold'
    })
    const headers = {
      'x-request-id': 'r1', Connection: 'x-own', 'x-own': '1', 'transfer-encoding': 'chunked', expect: '100-continue', 'content-length': '9', host: 'a'
    }
    const body = Buffer.from('hello')
    const response = (await client.send(raw.address, { ...getRequest, method: 'POST', headers, body })).unsafeCoerce()
    expect(response.status).to.equal(201)
    expect(response.headers).to.deep.equal({ 'set-cookie': ['a', 'b'], 'content-length': '0' })
    await raw.close()
    const echo = await readJson((await send({ method: 'POST', path: '/a?b=%20c', headers, body })).unsafeCoerce())
    expect(echo).to.include({ requestId: 'r1', method: 'POST', path: '/a?b=%20c', bodyBytes: 5 })
  })

  it('streams a response before its body is complete', async () => {
    await setBehaviour({ pieces: 4, pieceMs: 20, paddingBytes: 1_000 })
    const response = (await send()).unsafeCoerce()
    expect(endpoints.runners[0]!.records.answered, 'the head must arrive before the last chunk').to.equal(0)
    expect(await readJson(response)).to.have.property('padding').with.length(1_000)
  })

  const notRunResponse = 'HTTP/1.1 503 X\r\ngs-outcome: not-run\r\nretry-after: 3\r\ncontent-length: 2\r\n\r\n{}'
  const failures: Array<{ name: string, raw: RawResponse, expected: Partial<Failure> }> = [
    { name: '503 with gs-outcome not-run', raw: { bytes: notRunResponse, action: 'hold' }, expected: { certainty: 'not-done', reason: 'overloaded', retryAfterMs: 3000 } },
    { name: '503 with gs-outcome not-run and a truncated body', raw: { bytes: notRunResponse.slice(0, -1), action: 'end' }, expected: { certainty: 'not-done', reason: 'overloaded' } },
    { name: 'no response', raw: { action: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
    { name: 'incomplete response headers', raw: { bytes: 'HTTP/1.1 200 OK\r\ncont', action: 'hold' }, expected: { certainty: 'unknown', reason: 'timeout' } },
    { name: 'a connection reset', raw: { action: 'reset' }, expected: { certainty: 'unknown', reason: 'closed' } },
    { name: 'a connection closed without a response', raw: { action: 'end' }, expected: { certainty: 'unknown', reason: 'closed' } },
    { name: 'a response that is not HTTP', raw: { bytes: 'hello\r\n\r\n', action: 'hold' }, expected: { certainty: 'unknown', reason: 'invalid' } }
  ]
  for (const { name, raw, expected } of failures) {
    it(`reports ${name} as ${expected.certainty}`, async () => {
      const server = await startRawServer(raw)
      const outcome = await client.send(server.address, { ...getRequest, timeoutMs: 300 })
      expect(outcome.extract()).to.include(expected)
      expect(server.countRequests(), 'a request must not be repeated by the client library').to.equal(1)
      await server.close()
    })
  }

  it('returns any other response of a runner as a success, including 503 without gs-outcome', async () => {
    await setBehaviour({ errorShare: 1, errorStatus: 503 })
    expect((await send()).unsafeCoerce().status).to.equal(503)
  })

  it('reports an unavailable runner or an invalid request as not-done, and a lost response as unknown', async () => {
    await setBehaviour({ loseAnswers: 1 })
    expect((await send({ headers: { 'x-request-id': 'lost' } })).extract())
      .to.include({ certainty: 'unknown', reason: 'closed' })
    expect(endpoints.runnersByRequestId.get('lost')).to.have.length(1)
    await setBehaviour({ loseAnswers: 0, down: true })
    expect((await send()).extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    await setBehaviour({ down: false })
    expect((await send()).isRight(), 'the client must connect again').to.equal(true)
    for (const request of [{ path: '/a b' }, { path: 'a' }, { method: 'G T' }, { headers: { x: 'a\r\nb: c' } }]) {
      expect((await send(request)).extract()).to.include({ certainty: 'not-done', reason: 'invalid' })
    }
    for (const invalidAddress of ['', 'a/b', '127.0.0.1:99999', 'x@127.0.0.1:1']) {
      expect((await client.send(invalidAddress, getRequest)).extract()).to.include({ certainty: 'not-done', reason: 'invalid' })
    }
  })

  const incompleteBodies: Array<{
    name: string, behaviour: object, request?: Partial<RunnerRequest>, message?: RegExp
  }> = [
    { name: 'a body shorter than its content-length', behaviour: { truncate: 'length' } },
    { name: 'a chunked body without the last chunk', behaviour: { truncate: 'chunked' } },
    { name: 'a truncated body in several chunks', behaviour: { truncate: 'chunked', pieces: 3, pieceMs: 5 } },
    { name: 'a body that arrives after the deadline', behaviour: { pieces: 2, pieceMs: 5_000 }, request: { timeoutMs: 300 }, message: /300 ms/ }
  ]
  for (const { name, behaviour, request, message } of incompleteBodies) {
    it(`throws while iterating ${name}, so that a partial body is never mistaken for a complete one`, async () => {
      await setBehaviour({ paddingBytes: 100, ...behaviour })
      const error = await readBodyError((await send(request)).unsafeCoerce())
      expect(error).to.be.instanceOf(Error)
      if (message !== undefined) expect(error!.message).to.match(message)
      await setBehaviour({ truncate: 'none', pieces: 1 })
      expect(await readBodyError((await send()).unsafeCoerce())).to.equal(undefined)
    })
  }

  it('reports an aborted request as not-done while it waits for a connection and as unknown once written', async () => {
    client.limitConnections(address, 1)
    await setBehaviour({ serviceMs: 60_000 })
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

  it('reports a timeout while the only connection is in use as not-done and never sends the request', async () => {
    const server = await startRawServer({ action: 'hold' })
    client.limitConnections(server.address, 1)
    const pendingCall = client.send(server.address, { ...getRequest, timeoutMs: 60_000 })
    while (server.countRequests() === 0) await new Promise((resolve) => setTimeout(resolve, 5))
    const outcome = await client.send(server.address, { ...getRequest, timeoutMs: 50 })
    expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'timeout' })
    await client.close()
    expect((await pendingCall).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
    expect(server.countRequests()).to.equal(1)
    await server.close()
  })

  it('never opens more connections than the limit, and closes surplus idle ones when it is lowered', async () => {
    await setBehaviour({ serviceMs: 5, pieces: 2, paddingBytes: 5_000 })
    const burst = async () => {
      const outcomes = await Promise.all(Array.from({ length: 24 }, () => send()))
      return await Promise.all(outcomes.map((outcome) => readBodyError(outcome.unsafeCoerce())))
    }
    client.limitConnections(address, 3)
    // Each body must be read while other requests wait, since its connection is in use until then.
    const read = Promise.all(Array.from({ length: 24 }, async () => await readBodyError((await send()).unsafeCoerce())))
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

  it('frees the connection if the body is abandoned halfway, or never read before the deadline', async () => {
    client.limitConnections(address, 1)
    await setBehaviour({ paddingBytes: 5_000_000 })
    const chunks = (await send()).unsafeCoerce().body[Symbol.asyncIterator]()
    expect((await chunks.next()).value).to.have.property('length').greaterThan(0)
    await chunks.return!()
    expect((await send({ timeoutMs: 300 })).isRight()).to.equal(true)
    await setBehaviour({ paddingBytes: 0 })
    expect(await readBodyError((await send()).unsafeCoerce())).to.equal(undefined)
  })
})
