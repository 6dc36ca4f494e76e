import type { EndpointRouter, ExchangeResult, RouteAction } from '@gypsumspring/core'
import { createEndpointRouter } from '@gypsumspring/core'
import FakeTimers from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { MAX_WHOLE_ANSWER_BYTES } from '../constants/index.ts'
import { answer, bodyOf, callOf, hang, openRoute, refused, reset, ScriptedRunners } from '../testSupport/index.ts'
import type { RouteResult, StreamedAnswer } from '../types.ts'
import type { RouteTask } from './index.ts'

function textOf (result: RouteResult): string {
  return result.kind === 'answered' ? Buffer.from(result.answer.body).toString() : result.kind
}

async function readAll ({ body }: StreamedAnswer): Promise<number> {
  let size = 0
  for await (const chunk of body) size += chunk.byteLength
  return size
}

function grantOne (route: RouteTask): void {
  route.setSlotExpiry('home', performance.now() + 1_800_000)
  route.grantSlots('a', 1)
}

/** A router that sends to a and b at once, takes the first answer and would retry whatever breaks. */
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

describe('RouteTask', () => {
  const failures = [
    { name: 'an answer cut in the middle of its body', first: () => answer(bodyOf('half', 'cut')), repeatable: true, result: 'whole', sent: 2 },
    { name: 'an answer cut in the middle, not repeatable', first: () => answer(bodyOf('half', 'cut')), repeatable: false, result: 'unknown', sent: 1 },
    { name: 'a refused connection', first: () => refused, repeatable: true, result: 'whole', sent: 2 },
    { name: 'a refused connection, not repeatable', first: () => refused, repeatable: false, result: 'whole', sent: 2 },
    { name: 'a reset after the request was read', first: () => reset, repeatable: true, result: 'whole', sent: 2 },
    { name: 'a reset after the request was read, not repeatable', first: () => reset, repeatable: false, result: 'unknown', sent: 1 }
  ]
  for (const { name, first, repeatable, result, sent } of failures) {
    it(`never passes a part off as the whole nor runs twice what must not: ${name}`, async () => {
      const runners = new ScriptedRunners((_address, _request, position) => position === 1 ? first() : answer('whole'))
      const { result: outcome } = openRoute(runners).submit(callOf({ repeatable }))
      expect(textOf(await outcome)).to.equal(result)
      expect(runners.sent.length).to.equal(sent)
    })
  }

  it('uses exactly one of two answers, and frees the slot of the other', async () => {
    let release: () => void = () => {}
    const held = new Promise<void>((resolve) => { release = resolve })
    const runners = new ScriptedRunners((address) => answer(bodyOf(...(address === 'a' ? [held] : []), `from ${address}`)))
    const router = createHedgingRouter()
    const route = openRoute(runners, 0, router)
    const { result } = route.submit(callOf())
    expect(textOf(await result)).to.equal('from b')
    release()
    await new Promise((resolve) => setImmediate(resolve))
    expect(router.finished).to.deep.equal(['b answered', 'a answered'])
    expect(route.inFlight).to.equal(0)
  })

  it('gives a stream no second answer, hedge or retry, and breaks it when the runner does', async () => {
    const big = new Uint8Array(MAX_WHOLE_ANSWER_BYTES + 1)
    const runners = new ScriptedRunners((address, request) => address === 'a' ? answer(bodyOf(big, 'cut')) : hang(request))
    const router = createHedgingRouter()
    const route = openRoute(runners, 0, router)
    const result = await route.submit(callOf()).result
    if (result.kind !== 'streaming') throw new Error(`expected a stream, got ${result.kind}`)
    const broken = await readAll(result.answer).then(() => 'whole', () => 'broken')
    await new Promise((resolve) => setImmediate(resolve))
    expect(broken).to.equal('broken')
    expect(runners.sent.map(({ address }) => address)).to.deep.equal(['a', 'b'])
    expect(route.inFlight).to.equal(0)
  })

  it('does not hedge or retry a request while its answer is being passed on', async () => {
    const clock = FakeTimers.install()
    const after = async (delayMs: number) => await new Promise((resolve) => setTimeout(resolve, delayMs))
    const runners = new ScriptedRunners(() => answer(bodyOf(after(50), 'ok')))
    const router = createEndpointRouter()
    const results: ExchangeResult[] = []
    const finish = router.finish.bind(router)
    router.finish = (request, runner, result, now) => {
      results.push(result)
      return finish(request, runner, result, now)
    }
    const route = openRoute(runners, 4, router)
    // The router hedges only when it knows how long answers take.
    for (let count = 0; count < 100; count++) {
      const { result } = route.submit(callOf())
      await clock.tickAsync(50)
      await result
    }
    results.length = 0
    runners.script = () => answer(bodyOf('one', after(500), 'cut'))
    const { result } = route.submit(callOf(), { streamAfterMs: 10 })
    await clock.tickAsync(10)
    const streaming = await result
    if (streaming.kind !== 'streaming') throw new Error(`expected a stream, got ${streaming.kind}`)
    const broken = readAll(streaming.answer).then(() => 'whole', () => 'broken')
    await clock.tickAsync(1000)
    expect(await broken).to.equal('broken')
    // A hedge or retry that is refused here would count against a healthy runner.
    expect(results).to.deep.equal(['unknown'])
    expect(route.inFlight).to.equal(0)
    clock.uninstall()
  })

  it('passes a slow answer on as it comes, in order and whole', async () => {
    const runners = new ScriptedRunners(() =>
      answer(bodyOf('one ', new Promise((resolve) => setTimeout(resolve, 30)), 'two')))
    const result = await openRoute(runners).submit(callOf(), { streamAfterMs: 1 }).result
    if (result.kind !== 'streaming') throw new Error(`expected a stream, got ${result.kind}`)
    expect(await readAll(result.answer)).to.equal('one two'.length)
  })

  describe('when the caller goes away', () => {
    it('aborts a repeatable request', async () => {
      const runners = new ScriptedRunners((_address, request) => hang(request))
      const route = openRoute(runners)
      const call = route.submit(callOf())
      call.abandon()
      await call.result
      expect(runners.sent[0]?.request.signal?.aborted).to.equal(true)
      expect(route.inFlight).to.equal(0)
    })

    it('lets one that must not be repeated run to its end, so that its record gets the answer', async () => {
      let respond: () => void = () => {}
      const gate = new Promise<void>((resolve) => { respond = resolve })
      const runners = new ScriptedRunners(() => answer(bodyOf(gate, 'booked')))
      const call = openRoute(runners).submit(callOf({ repeatable: false }))
      call.abandon()
      respond()
      expect(textOf(await call.result)).to.equal('booked')
      expect(runners.sent[0]?.request.signal?.aborted).to.equal(false)
    })

    it('never sends a request that was still waiting, and says so', async () => {
      const runners = new ScriptedRunners(() => answer('late'))
      const route = openRoute(runners, 0)
      const call = route.submit(callOf({ repeatable: false }))
      call.abandon()
      grantOne(route)
      expect(await call.result).to.include({ kind: 'not-run', reason: 'caller-gone' })
      expect(runners.sent).to.deep.equal([])
    })
  })

  describe('with a deadline', () => {
    let clock: FakeTimers.Clock
    beforeEach(() => { clock = FakeTimers.install() })
    afterEach(() => { clock.uninstall() })

    it('answers a request that waits past it as not run, and never sends it', async () => {
      const runners = new ScriptedRunners(() => answer('late'))
      const route = openRoute(runners, 0)
      const { result } = route.submit(callOf({ deadline: performance.now() + 500 }))
      await clock.tickAsync(500)
      grantOne(route)
      expect((await result).kind).to.equal('not-run')
      expect(runners.sent).to.deep.equal([])
    })

    it('ends a body that trickles past it, since withheld tokens are freed after the longest deadline', async () => {
      const runners = new ScriptedRunners((_address, request) => answer(bodyOf('a', hang(request), 'cut')))
      const { result } = openRoute(runners).submit(callOf({ deadline: performance.now() + 2000 }))
      await clock.tickAsync(1000)
      const streaming = await result
      if (streaming.kind !== 'streaming') throw new Error(`expected a stream, got ${streaming.kind}`)
      const broken = readAll(streaming.answer).then(() => 'whole', () => 'broken')
      await clock.tickAsync(1001)
      expect(await broken).to.equal('broken')
    })
  })

  it('ends an exchange at the deadline although nobody waits for it, since it holds a token', async () => {
    const clock = FakeTimers.install()
    const runners = new ScriptedRunners((_address, request) => hang(request))
    const route = openRoute(runners)
    const call = route.submit(callOf({ repeatable: false, deadline: performance.now() + 2000 }))
    call.abandon()
    await clock.tickAsync(2001)
    expect(await call.result).to.have.property('kind', 'unknown')
    expect(route.inFlight).to.equal(0)
    clock.uninstall()
  })

  it('takes the answer of a runner that was removed or has moved while it worked', async () => {
    let respond: () => void = () => {}
    const gate = new Promise<void>((resolve) => { respond = resolve })
    const runners = new ScriptedRunners(() => answer(bodyOf(gate, 'done')))
    const route = openRoute(runners, 1)
    const calls = [route.submit(callOf()), route.submit(callOf())]
    route.setRunners([{ id: 'b', address: 'b2', failureDomain: 'home', slots: 8, leaving: false }])
    respond()
    expect((await Promise.all(calls.map(async ({ result }) => textOf(await result))))).to.deep.equal(['done', 'done'])
    route.trimConnections()
    // The token of the removed runner is held until the allocator recalls it.
    expect([runners.limits.get('a'), runners.limits.get('b'), runners.limits.get('b2')]).to.deep.equal([1, 0, 1])
  })

  it('keeps no more connections to a runner than tokens, and fewer before a release is reported', () => {
    const runners = new ScriptedRunners(() => answer(''))
    const route = openRoute(runners, 3)
    expect(runners.limits.get('a')).to.equal(3)
    route.releaseSlots('a', 2)
    route.trimConnections()
    expect(runners.limits.get('a')).to.equal(1)
  })
})
