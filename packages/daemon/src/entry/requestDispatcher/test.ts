import type { EndpointRouter, ExchangeResult, RouteAction } from '@gypsumspring/core'
import { createEndpointRouter } from '@gypsumspring/core'
import FakeTimers from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../constants/index.ts'
import {
  connectionRefused, connectionReset, createDispatcher, hangUntilAborted, makeBody, makeRequest, makeResponse,
  ScriptedRunners
} from '../testSupport/index.ts'
import type { DispatchResult, StreamedResponse } from '../types.ts'
import type { RequestDispatcher } from './index.ts'

function textOf (result: DispatchResult): string {
  return result.kind === 'answered' ? Buffer.from(result.response.body).toString() : result.kind
}

async function readAll ({ body }: StreamedResponse): Promise<number> {
  let size = 0
  for await (const chunk of body) size += chunk.byteLength
  return size
}

function grantOne (dispatcher: RequestDispatcher): void {
  dispatcher.setSlotExpiry('home', performance.now() + 1_800_000)
  dispatcher.grantSlots('a', 1)
}

/** Creates a router that sends to a and b at once, uses the first response and retries exchanges that fail. */
function createHedgingRouter (): EndpointRouter & { finished: string[] } {
  const finished: string[] = []
  let answered = false
  const inner = createEndpointRouter()
  const send = (request: string, runner: string): RouteAction => ({ kind: 'send', request, runner, hedge: runner === 'b' })
  const hedging = {
    finished,
    submit: ({ id }: { id: string }) => [send(id, 'a'), send(id, 'b')],
    finish: (request: string, runner: string, result: ExchangeResult): RouteAction[] => {
      finished.push(`${runner} ${result}`)
      if (result === 'unknown' && finished.length < 4) return [send(request, 'b')]
      if (result !== 'answered' || answered) return []
      answered = true
      return [
        { kind: 'answer', request, outcome: 'answered', runner }, { kind: 'abort', request, runner: runner === 'a' ? 'b' : 'a' }
      ]
    },
    commit: (request: string, runner: string): RouteAction[] =>
      [{ kind: 'abort', request, runner: runner === 'a' ? 'b' : 'a' }],
    nextTickAt: () => undefined,
    waiting: () => 0
  }
  return Object.assign(inner, hedging)
}

describe('RequestDispatcher', () => {
  const failures = [
    { name: 'a response that ends in the middle of its body', first: () => makeResponse(makeBody('half', 'cut')), repeatable: true, result: 'whole', sent: 2 },
    { name: 'a response that ends in the middle of its body, not repeatable', first: () => makeResponse(makeBody('half', 'cut')), repeatable: false, result: 'unknown', sent: 1 },
    { name: 'a refused connection', first: () => connectionRefused, repeatable: true, result: 'whole', sent: 2 },
    { name: 'a refused connection, not repeatable', first: () => connectionRefused, repeatable: false, result: 'whole', sent: 2 },
    { name: 'a reset after the request was read', first: () => connectionReset, repeatable: true, result: 'whole', sent: 2 },
    { name: 'a reset after the request was read, not repeatable', first: () => connectionReset, repeatable: false, result: 'unknown', sent: 1 }
  ]
  for (const { name, first, repeatable, result, sent } of failures) {
    it(`never returns a partial response as complete nor runs a non-repeatable request twice: ${name}`, async () => {
      const runners = new ScriptedRunners((_address, _request, position) => position === 1 ? first() : makeResponse('whole'))
      const { result: outcome } = createDispatcher(runners).submit(makeRequest({ repeatable }))
      expect(textOf(await outcome)).to.equal(result)
      expect(runners.sent.length).to.equal(sent)
    })
  }

  it('uses exactly one of two responses, and frees the slot of the other', async () => {
    let release: () => void = () => {}
    const held = new Promise<void>((resolve) => { release = resolve })
    const runners = new ScriptedRunners((address) => makeResponse(makeBody(...(address === 'a' ? [held] : []), `from ${address}`)))
    const router = createHedgingRouter()
    const dispatcher = createDispatcher(runners, 0, router)
    const { result } = dispatcher.submit(makeRequest())
    expect(textOf(await result)).to.equal('from b')
    release()
    await new Promise((resolve) => setImmediate(resolve))
    expect(router.finished).to.deep.equal(['b answered', 'a answered'])
    expect(dispatcher.inFlight).to.equal(0)
  })

  it('sends no second response, hedge or retry once it streams, and fails the stream if the runner fails', async () => {
    const big = new Uint8Array(MAX_BUFFERED_RESPONSE_BYTES + 1)
    const runners = new ScriptedRunners((address, request) => address === 'a' ? makeResponse(makeBody(big, 'cut')) : hangUntilAborted(request))
    const router = createHedgingRouter()
    const dispatcher = createDispatcher(runners, 0, router)
    const result = await dispatcher.submit(makeRequest()).result
    if (result.kind !== 'streaming') throw new Error(`expected a stream, got ${result.kind}`)
    const broken = await readAll(result.response).then(() => 'whole', () => 'broken')
    await new Promise((resolve) => setImmediate(resolve))
    expect(broken).to.equal('broken')
    expect(runners.sent.map(({ address }) => address)).to.deep.equal(['a', 'b'])
    expect(dispatcher.inFlight).to.equal(0)
  })

  it('does not hedge or retry a request while its response is being streamed', async () => {
    const clock = FakeTimers.install()
    const after = async (delayMs: number) => await new Promise((resolve) => setTimeout(resolve, delayMs))
    const runners = new ScriptedRunners(() => makeResponse(makeBody(after(50), 'ok')))
    const router = createEndpointRouter()
    const results: ExchangeResult[] = []
    const finish = router.finish.bind(router)
    router.finish = (request, runner, result, now) => {
      results.push(result)
      return finish(request, runner, result, now)
    }
    const dispatcher = createDispatcher(runners, 4, router)
    // The router hedges only after it has measured enough response times.
    for (let count = 0; count < 100; count++) {
      const { result } = dispatcher.submit(makeRequest())
      await clock.tickAsync(50)
      await result
    }
    results.length = 0
    runners.script = () => makeResponse(makeBody('one', after(500), 'cut'))
    const { result } = dispatcher.submit(makeRequest(), { streamAfterMs: 10 })
    await clock.tickAsync(10)
    const streaming = await result
    if (streaming.kind !== 'streaming') throw new Error(`expected a stream, got ${streaming.kind}`)
    const broken = readAll(streaming.response).then(() => 'whole', () => 'broken')
    await clock.tickAsync(1000)
    expect(await broken).to.equal('broken')
    // If the dispatcher had refused a hedge or retry here, its result would count against a healthy runner.
    expect(results).to.deep.equal(['unknown'])
    expect(dispatcher.inFlight).to.equal(0)
    clock.uninstall()
  })

  it('streams a slow response completely and in order', async () => {
    const runners = new ScriptedRunners(() =>
      makeResponse(makeBody('one ', new Promise((resolve) => setTimeout(resolve, 30)), 'two')))
    const result = await createDispatcher(runners).submit(makeRequest(), { streamAfterMs: 1 }).result
    if (result.kind !== 'streaming') throw new Error(`expected a stream, got ${result.kind}`)
    expect(await readAll(result.response)).to.equal('one two'.length)
  })

  describe('when the caller disconnects', () => {
    it('aborts a repeatable request', async () => {
      const runners = new ScriptedRunners((_address, request) => hangUntilAborted(request))
      const dispatcher = createDispatcher(runners)
      const call = dispatcher.submit(makeRequest())
      call.abandon()
      await call.result
      expect(runners.sent[0]?.request.signal?.aborted).to.equal(true)
      expect(dispatcher.inFlight).to.equal(0)
    })

    it('lets a non-repeatable request run to completion, so that its record gets the response', async () => {
      let respond: () => void = () => {}
      const gate = new Promise<void>((resolve) => { respond = resolve })
      const runners = new ScriptedRunners(() => makeResponse(makeBody(gate, 'booked')))
      const call = createDispatcher(runners).submit(makeRequest({ repeatable: false }))
      call.abandon()
      respond()
      expect(textOf(await call.result)).to.equal('booked')
      expect(runners.sent[0]?.request.signal?.aborted).to.equal(false)
    })

    it('never sends a request that was still waiting, and reports it as not run', async () => {
      const runners = new ScriptedRunners(() => makeResponse('late'))
      const dispatcher = createDispatcher(runners, 0)
      const call = dispatcher.submit(makeRequest({ repeatable: false }))
      call.abandon()
      grantOne(dispatcher)
      expect(await call.result).to.include({ kind: 'not-run', reason: 'caller-gone' })
      expect(runners.sent).to.deep.equal([])
    })
  })

  describe('with a deadline', () => {
    let clock: FakeTimers.Clock
    beforeEach(() => { clock = FakeTimers.install() })
    afterEach(() => { clock.uninstall() })

    it('reports a request that waits past its deadline as not run, and never sends it', async () => {
      const runners = new ScriptedRunners(() => makeResponse('late'))
      const dispatcher = createDispatcher(runners, 0)
      const { result } = dispatcher.submit(makeRequest({ deadline: performance.now() + 500 }))
      await clock.tickAsync(500)
      grantOne(dispatcher)
      expect((await result).kind).to.equal('not-run')
      expect(runners.sent).to.deep.equal([])
    })

    it('ends a slow body at the deadline, since withheld tokens are freed after the maximum deadline', async () => {
      const runners = new ScriptedRunners((_address, request) => makeResponse(makeBody('a', hangUntilAborted(request), 'cut')))
      const { result } = createDispatcher(runners).submit(makeRequest({ deadline: performance.now() + 2000 }))
      await clock.tickAsync(1000)
      const streaming = await result
      if (streaming.kind !== 'streaming') throw new Error(`expected a stream, got ${streaming.kind}`)
      const broken = readAll(streaming.response).then(() => 'whole', () => 'broken')
      await clock.tickAsync(1001)
      expect(await broken).to.equal('broken')
    })
  })

  it('ends an abandoned exchange at the deadline, since it holds a token', async () => {
    const clock = FakeTimers.install()
    const runners = new ScriptedRunners((_address, request) => hangUntilAborted(request))
    const dispatcher = createDispatcher(runners)
    const call = dispatcher.submit(makeRequest({ repeatable: false, deadline: performance.now() + 2000 }))
    call.abandon()
    await clock.tickAsync(2001)
    expect(await call.result).to.have.property('kind', 'unknown')
    expect(dispatcher.inFlight).to.equal(0)
    clock.uninstall()
  })

  it('accepts the response of a runner that was removed or changed its address during the exchange', async () => {
    let respond: () => void = () => {}
    const gate = new Promise<void>((resolve) => { respond = resolve })
    const runners = new ScriptedRunners(() => makeResponse(makeBody(gate, 'done')))
    const dispatcher = createDispatcher(runners, 1)
    const calls = [dispatcher.submit(makeRequest()), dispatcher.submit(makeRequest())]
    dispatcher.setRunners([{ id: 'b', address: 'b2', failureDomain: 'home', slots: 8, leaving: false }])
    respond()
    expect((await Promise.all(calls.map(async ({ result }) => textOf(await result))))).to.deep.equal(['done', 'done'])
    dispatcher.trimConnections()
    // The token of the removed runner is held until the allocator recalls it.
    expect([runners.limits.get('a'), runners.limits.get('b'), runners.limits.get('b2')]).to.deep.equal([1, 0, 1])
  })

  it('allows no more connections to a runner than tokens, and lowers the limit before a release is reported', () => {
    const runners = new ScriptedRunners(() => makeResponse(''))
    const dispatcher = createDispatcher(runners, 3)
    expect(runners.limits.get('a')).to.equal(3)
    dispatcher.releaseSlots('a', 2)
    dispatcher.trimConnections()
    expect(runners.limits.get('a')).to.equal(1)
  })
})
