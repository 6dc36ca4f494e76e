import { connect } from 'node:net'
import { once } from 'node:events'
import { expect } from 'chai'
import { Metrics } from '../../metrics/index.ts'
import { MAX_REQUEST_BYTES } from '../constants/index.ts'
import { makeBody, silentLogger } from '../testSupport/index.ts'
import type { IncomingRequest, RequestResult } from '../types.ts'
import { CallerServer } from './index.ts'

const bufferedResult: RequestResult = {
  kind: 'answered',
  response: { status: 201, headers: { 'x-own': 'kept', connection: 'x-hop', 'x-hop': '1', 'gs-outcome': 'unknown' }, body: Buffer.from('ok') }
}

describe('CallerServer', () => {
  let server: CallerServer
  let metrics: Metrics
  let url: string
  let calls: IncomingRequest[]
  let abandoned: Promise<void>
  let abandon: () => void
  let result: Promise<RequestResult> | RequestResult
  let ready: boolean

  beforeEach(async () => {
    metrics = new Metrics()
    calls = []
    abandoned = new Promise((resolve) => { abandon = resolve })
    result = bufferedResult
    ready = true
    server = new CallerServer({
      admission: { ready: () => ready, hasEndpoint: (id) => id === 'origem', hasTeam: (id) => id === 'demo' },
      serve: (call) => {
        calls.push(call)
        return { result: Promise.resolve(result), abandon }
      },
      log: silentLogger,
      metrics
    })
    url = `http://127.0.0.1:${await server.listen(0, '127.0.0.1')}`
  })
  afterEach(async () => { await server.close() })

  const ask = async (path: string, options: RequestInit = {}) => {
    const response = await fetch(`${url}${path}`, { ...options, headers: { 'gs-team': 'demo', ...options.headers as object } })
    return { response, text: await response.text() }
  }

  it('forwards requests and responses without hop-by-hop headers', async () => {
    const { response, text } = await ask('/e/origem/a%2Fb?c=d', {
      method: 'POST', body: 'data', headers: { 'x-request-id': 'r-1', 'x-trace': 't', te: 'trailers', 'content-type': 'no/type; x' }
    })
    expect([response.status, text]).to.deep.equal([201, 'ok'])
    expect(Object.fromEntries(response.headers)).to.include({ 'gs-outcome': 'answered', 'x-own': 'kept', 'x-request-id': 'r-1' })
    expect(response.headers.has('x-hop')).to.equal(false)
    const { path, headers, body } = calls[0]!.forwarded
    expect([path, Buffer.from(body).toString()]).to.deep.equal(['/a%2Fb?c=d', 'data'])
    expect(headers).to.include({ 'x-trace': 't', 'x-request-id': 'r-1' })
    expect(headers).not.to.have.any.keys('te', 'connection', 'host', 'content-length')
  })

  it('accepts all methods and forwards their bodies', async () => {
    for (const method of ['GET', 'PROPFIND', 'DELETE']) {
      const socket = connect(Number(new URL(url).port), '127.0.0.1')
      socket.write(`${method} /e/origem/ HTTP/1.1\r\nhost: x\r\ngs-team: demo\r\nx-request-id: r\r\ncontent-length: 2\r\nconnection: close\r\n\r\nhi`)
      socket.resume()
      await once(socket, 'close')
    }
    expect(calls.map(({ forwarded }) => `${forwarded.method} ${Buffer.from(forwarded.body).toString()}`))
      .to.deep.equal(['GET hi', 'PROPFIND hi', 'DELETE hi'])
  })

  const refusals = [
    { name: 'an invalid header', path: '/e/origem/', headers: { 'gs-class': 'vip' }, status: 400, field: 'gs-class', reason: 'invalid-headers' },
    { name: 'an unknown team', path: '/e/origem/', headers: { 'gs-team': 'nobody' }, status: 400, field: 'gs-team', reason: 'invalid-headers' },
    { name: 'an unknown endpoint', path: '/e/nowhere/', status: 404, field: 'endpoint', reason: 'unknown-endpoint' },
    { name: 'an unknown path', path: '/f', status: 404, field: 'path', reason: 'unknown-path' },
    { name: 'a body that is too long', path: '/e/origem/', method: 'PUT', bytes: MAX_REQUEST_BYTES + 1, status: 413, field: 'body', reason: 'body-too-large' },
    { name: 'a broken escape', path: '/e/%zz/', status: 400, reason: 'malformed' }
  ]
  for (const { name, path, headers = {}, method = 'GET', bytes, status, field, reason } of refusals) {
    it(`refuses ${name} with an outcome, the violated field and a metric`, async () => {
      const body = bytes === undefined ? undefined : new Uint8Array(bytes)
      const { response, text } = await ask(path, { method, body, headers: { 'x-request-id': 'r', ...headers } })
      expect([response.status, response.headers.get('gs-outcome')]).to.deep.equal([status, 'not-run'])
      const refusal = JSON.parse(text) as { reason: string, violations?: Array<{ path: string, allowed: string }> }
      expect(refusal.reason).to.equal(reason)
      expect(refusal.violations?.[0]?.path).to.equal(field)
      expect(calls).to.deep.equal([])
      expect(await metrics.render()).to.include(`gypsumspring_refusals_total{reason="${reason}"} 1`)
    })
  }

  it('accepts a body of exactly the maximum size, even without a content-length header', async () => {
    const body = new ReadableStream({
      start (controller) {
        controller.enqueue(new Uint8Array(MAX_REQUEST_BYTES))
        controller.close()
      }
    })
    const { response } = await ask('/e/origem/', { method: 'PUT', body, duplex: 'half', headers: { 'x-request-id': 'r' } } as RequestInit)
    expect(response.status).to.equal(201)
  })

  it('answers malformed HTTP with an outcome', async () => {
    const socket = connect(Number(new URL(url).port), '127.0.0.1')
    socket.write('garbage\r\n\r\n')
    const [reply] = await once(socket, 'data') as [Buffer]
    expect(reply.toString()).to.match(/^HTTP\/1.1 400 [^]*gs-outcome: not-run/)
  })

  const outcomes: Array<{ result: RequestResult, status: number, outcome: string, retryAfter: string | null }> = [
    { result: { kind: 'not-run', reason: 'queue-full', retryAfterMs: 1200 }, status: 429, outcome: 'not-run', retryAfter: '2' },
    { result: { kind: 'not-run', reason: 'store-unavailable', retryAfterMs: 5000 }, status: 503, outcome: 'not-run', retryAfter: '5' },
    { result: { kind: 'in-flight', retryAfterMs: 1000 }, status: 409, outcome: 'in-flight', retryAfter: '1' },
    { result: { kind: 'unknown', retryAfterMs: 10 }, status: 504, outcome: 'unknown', retryAfter: '1' },
    { result: { kind: 'mismatch' }, status: 422, outcome: 'not-run', retryAfter: null }
  ]
  for (const each of outcomes) {
    it(`reports ${each.result.kind} by status code, outcome and retry-after header`, async () => {
      result = each.result
      const { response, text } = await ask('/e/origem/')
      expect([response.status, response.headers.get('gs-outcome'), response.headers.get('retry-after')])
        .to.deep.equal([each.status, each.outcome, each.retryAfter])
      expect(JSON.parse(text)).to.have.property('outcome', each.outcome)
    })
  }

  it('destroys the connection when a streamed response fails, so that a partial response does not look complete', async () => {
    result = { kind: 'streaming', response: { status: 200, headers: {}, body: makeBody('part', 'cut') } }
    const outcome = await ask('/e/origem/').then(() => 'whole', () => 'broken')
    expect(outcome).to.equal('broken')
  })

  it('answers that the request was not run before a configuration is in force', async () => {
    ready = false
    const { response } = await ask('/e/origem/')
    expect([response.status, response.headers.get('gs-outcome')]).to.deep.equal([503, 'not-run'])
  })

  it('closes connections that have never carried a request on shutdown, instead of waiting for them', async () => {
    const socket = connect(Number(new URL(url).port), '127.0.0.1')
    await once(socket, 'connect')
    socket.resume()
    await Promise.all([server.close(), once(socket, 'close')])
  })

  it('abandons the request when the caller disconnects', async () => {
    let resolve: (result: RequestResult) => void = () => {}
    result = new Promise((_resolve) => { resolve = _resolve })
    const controller = new AbortController()
    const asked = ask('/e/origem/', { signal: controller.signal }).catch(() => {})
    while (calls.length === 0) await new Promise((resolve) => setTimeout(resolve, 1))
    controller.abort()
    await abandoned
    resolve({ kind: 'not-run', reason: 'caller-gone', retryAfterMs: 1 })
    await asked
  })
})
