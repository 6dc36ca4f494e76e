import { expect } from 'chai'
import fc from 'fast-check'
import type { CallerRequest, EndpointRouter, ExchangeResult, RouteAction } from '../types.ts'
import { createEndpointRouter } from './index.ts'

const DOMAIN = 'hall-imanta'
type Send = Extract<RouteAction, { kind: 'send' }>
type Answer = Extract<RouteAction, { kind: 'answer' }>

function setUp (tokens: Record<string, number>, options: { queueLimit?: number } = {}): EndpointRouter {
  const router = createEndpointRouter({ seed: 5, ...options })
  router.setRunners(Object.keys(tokens).map((id) => ({ id, failureDomain: DOMAIN, slots: 8, leaving: false })), 0)
  router.setSlotExpiry(DOMAIN, 1e9)
  for (const [runner, slots] of Object.entries(tokens)) if (slots > 0) router.grantSlots(runner, slots, 0)
  return router
}

let count = 0
function request (fields: Partial<CallerRequest> = {}): CallerRequest {
  const arrivedAt = fields.arrivedAt ?? 0
  return {
    id: `q${count++}`, team: 'a', class: 'normal', arrivedAt, deadline: arrivedAt + 30_000, repeatable: true, ...fields
  }
}

const sends = (actions: RouteAction[]): Send[] => actions.filter((action) => action.kind === 'send')
const answers = (actions: RouteAction[]): Answer[] => actions.filter((action) => action.kind === 'answer')

/** Serves requests one after another with the duration and result given by `serve`; returns the chosen runners. */
function serveMany (
  router: EndpointRouter, number: number, from: number,
  serve: (runner: string) => { ms: number, result: ExchangeResult }
): string[] {
  const chosen: string[] = []
  let now = from
  for (let index = 0; index < number; index++) {
    let next = sends(router.submit(request({ arrivedAt: now }), now))
    while (next.length > 0) {
      const { request: id, runner } = next[0] as Send
      chosen.push(runner)
      const { ms, result } = serve(runner)
      now += ms
      next = sends(router.finish(id, runner, result, now))
    }
    now += 10
  }
  return chosen
}

describe('createEndpointRouter', () => {
  it('prefers interactive requests and does not starve bulk ones', () => {
    const router = setUp({ r1: 1 })
    let [current] = sends(router.submit(request(), 0))
    const bulk = request({ class: 'bulk' })
    router.submit(bulk, 0)
    const order: string[] = []
    for (let index = 0; index < 20; index++) {
      router.submit(request({ class: 'interactive' }), index)
      current = sends(router.finish(current?.request ?? '', 'r1', 'answered', index + 1))[0]
      order.push(current?.request === bulk.id ? 'bulk' : 'interactive')
    }
    expect(order.indexOf('bulk')).to.be.within(1, 17)
  })

  it('serves teams in proportion to their weights', () => {
    const router = setUp({ r1: 1 })
    router.setTeamShares(new Map([['a', 3], ['b', 1]]))
    let [current] = sends(router.submit(request(), 0))
    const teams = new Map<string, string>()
    for (let index = 0; index < 40; index++) {
      for (const team of ['a', 'b']) {
        const each = request({ team })
        teams.set(each.id, team)
        router.submit(each, 0)
      }
    }
    const served: (string | undefined)[] = []
    for (let index = 0; index < 20; index++) {
      current = sends(router.finish(current?.request ?? '', 'r1', 'answered', index))[0]
      served.push(teams.get(current?.request ?? ''))
    }
    expect(served.filter((team) => team === 'a').length).to.be.within(14, 16)
  })

  it('evicts the newest request of the team that is above its share when the queue is full', () => {
    const router = setUp({ r1: 1 }, { queueLimit: 3 })
    const requests = Array.from({ length: 4 }, () => request())
    requests.forEach((each) => router.submit(each, 0))
    const other = answers(router.submit(request({ team: 'b' }), 0))
    expect(other).to.have.lengthOf(1)
    expect(other[0]).to.include({ request: requests[3]?.id, outcome: 'not-run', reason: 'team-limit' })
    expect(answers(router.submit(request(), 0))[0]).to.include({ outcome: 'not-run', reason: 'queue-full' })
    expect(router.queueLength()).to.equal(3)
  })

  it('refuses immediately, with a retry time from the drain rate, when the wait would exceed the deadline', () => {
    const router = setUp({ r1: 1 }, { queueLimit: 1000 })
    let [current] = sends(router.submit(request(), 0))
    for (let index = 0; index < 400; index++) router.submit(request({ deadline: 1e6 }), 0)
    let now = 0
    for (let index = 0; index < 50; index++) {
      current = sends(router.finish(current?.request ?? '', 'r1', 'answered', now += 100))[0]
    }
    // 350 requests wait and 10 are served per second.
    const [refused] = answers(router.submit(request({ arrivedAt: now, deadline: now + 10_000 }), now))
    expect(refused).to.include({ outcome: 'not-run', reason: 'deadline-too-short' })
    expect(refused?.outcome === 'not-run' && refused.retryAfterMs).to.be.within(20_000, 30_000)
    expect(answers(router.submit(request({ arrivedAt: now, deadline: now + 60_000 }), now))).to.deep.equal([])
  })

  // Guards against refusing most of a burst because the first answer of a process that had just started was slow.
  for (const firstAnswerMs of [480, 3_500]) {
    it(`answers a burst that it serves in time after a single earlier answer that took ${firstAnswerMs} ms`, () => {
      const router = setUp({ r1: 4, r2: 4 })
      for (const { request: id, runner } of sends(router.submit(request(), 0))) {
        router.finish(id, runner, 'answered', firstAnswerMs)
      }
      const deadline = firstAnswerMs + 3_000
      const actions = Array.from({ length: 60 }, () =>
        router.submit(request({ arrivedAt: firstAnswerMs, deadline }), firstAnswerMs)).flat()
      let running = sends(actions)
      for (let now = firstAnswerMs + 5; now <= deadline; now += 5) {
        const next = running.flatMap((send) => router.finish(send.request, send.runner, 'answered', now))
        next.push(...router.tick(now))
        running = sends(next)
        actions.push(...next)
      }
      const outcomes = answers(actions).map((answer) => answer.outcome === 'not-run' ? answer.reason : answer.outcome)
      expect(outcomes).to.deep.equal(Array.from({ length: 60 }, () => 'answered'))
    })
  }

  it('does not prefer a runner because it fails quickly, and uses it again when it recovers', () => {
    const router = setUp({ bad: 4, r1: 4, r2: 4, r3: 4 })
    const chosen = serveMany(router, 300, 0, (runner) => {
      return runner === 'bad' ? { ms: 1, result: 'server-error' } : { ms: 50, result: 'answered' }
    })
    expect(chosen.filter((runner) => runner === 'bad').length).to.be.within(1, 15)
    const later = serveMany(router, 1500, 60_000, () => ({ ms: 50, result: 'answered' }))
    expect(later.filter((runner) => runner === 'bad').length).to.be.at.least(200)
  })

  it('excludes a runner that fails repeatedly, probes it once, and uses it again after a success', () => {
    const router = setUp({ bad: 2, r1: 1, r2: 1 })
    const busy = [request(), request()].flatMap((each) => sends(router.submit(each, 0)))
    const free = ['bad', 'r1', 'r2'].find((id) => !busy.some(({ runner }) => runner === id)) ?? ''
    let now = 0
    for (let index = 0; index < 8; index++) {
      now += 1
      for (const send of sends(router.submit(request({ repeatable: false, arrivedAt: now }), now))) {
        router.finish(send.request, send.runner, 'server-error', now)
      }
    }
    expect(router.listUsage(now).filter(({ avoided }) => avoided).map(({ runner }) => runner)).to.deep.equal([free])
    for (let index = 0; index < 3; index++) router.submit(request({ arrivedAt: now }), now)
    expect(router.queueLength()).to.be.at.least(2)
    const [probe, ...more] = sends(router.tick(now + 1000))
    expect([probe?.runner, more]).to.deep.equal([free, []])
    router.finish(probe?.request ?? '', free, 'answered', now + 1050)
    expect(router.listUsage(now + 1050).filter(({ avoided }) => avoided)).to.deep.equal([])
  })

  it('avoids a slow runner but not one with a single long request, and probes it for recovery', () => {
    const router = setUp({ slow: 4, r1: 4, r2: 4, r3: 4 })
    serveMany(router, 100, 0, () => ({ ms: 50, result: 'answered' }))
    serveMany(router, 1, 6000, () => ({ ms: 500, result: 'answered' }))
    expect(router.listUsage(7000).filter(({ avoided }) => avoided), 'after one long request').to.deep.equal([])
    const slowed = serveMany(router, 600, 8000, (runner) => {
      return { ms: runner === 'slow' ? 1000 : 50, result: 'answered' }
    })
    expect(slowed.filter((runner) => runner === 'slow').length).to.be.within(1, 15)
    const later = serveMany(router, 3000, 200_000, () => ({ ms: 50, result: 'answered' }))
    expect(later.filter((runner) => runner === 'slow').length).to.be.at.least(200)
  })

  it('keeps retries within the budget when every runner fails', () => {
    const router = setUp({ r1: 8, r2: 8, r3: 8 })
    const chosen = serveMany(router, 1000, 0, () => ({ ms: 1, result: 'server-error' }))
    expect(chosen.length).to.be.within(1000, 1000 + 100 + 20)
  })

  it('hedges only late repeatable requests, and counts the slot of the aborted exchange until it finishes', () => {
    for (const repeatable of [true, false]) {
      const router = setUp({ r1: 2, r2: 2 })
      serveMany(router, 100, 0, () => ({ ms: 50, result: 'answered' }))
      const [first] = sends(router.submit(request({ arrivedAt: 10_000, repeatable }), 10_000))
      const [hedge] = sends(router.tick(10_400))
      expect(hedge !== undefined).to.equal(repeatable)
      if (first === undefined || hedge === undefined) continue
      expect(hedge).to.include({ request: first.request, hedge: true }).and.not.include({ runner: first.runner })
      const ended = router.finish(first.request, hedge.runner, 'answered', 10_450)
      expect(ended.map(({ kind }) => kind)).to.deep.equal(['abort', 'answer'])
      const busy = () => router.listUsage(10_450).find(({ runner }) => runner === first.runner)?.inUse
      expect(busy()).to.equal(1)
      expect(router.finish(first.request, first.runner, 'unknown', 10_460)).to.deep.equal([])
      expect(busy()).to.equal(0)
    }
  })

  it('sends nothing with tokens that expired while the process was paused', () => {
    const router = createEndpointRouter()
    router.setRunners([{ id: 'r1', failureDomain: DOMAIN, slots: 8, leaving: false }], 0)
    router.setSlotExpiry(DOMAIN, 1000)
    router.grantSlots('r1', 2, 0)
    const [inFlight] = sends(router.submit(request(), 0))
    expect(sends(router.submit(request({ arrivedAt: 1000 }), 1000))).to.deep.equal([])
    expect(router.listUsage(1000)[0]).to.include({ held: 1, inUse: 1 })
    // The expired token must not become usable again when the validity is extended.
    router.setSlotExpiry(DOMAIN, 5000)
    router.finish(inFlight?.request ?? '', 'r1', 'answered', 1500)
    expect(router.listUsage(1500)).to.deep.equal([])
  })

  it('releases recalled tokens as their exchanges finish, even while requests wait', () => {
    const router = setUp({ r1: 2 })
    const [first] = sends(router.submit(request(), 0))
    for (let index = 0; index < 4; index++) router.submit(request(), 0)
    expect(router.releaseSlots('r1', 1)).to.equal(0)
    expect(sends(router.finish(first?.request ?? '', 'r1', 'answered', 10))).to.deep.equal([])
    expect(router.listUsage(10)[0]).to.include({ held: 1, inUse: 1 })
  })

  it('answers each request once, repeats none unsafely and stays within its tokens under random events', () => {
    const event = fc.record({
      kind: fc.constantFrom('submit', 'submit', 'submit', 'finish', 'finish', 'finish', 'tick', 'abandon', 'grant', 'release', 'leave'),
      pick: fc.nat(1000),
      ms: fc.constantFrom(0, 1, 20, 300, 4000),
      repeatable: fc.boolean(),
      class: fc.constantFrom('interactive' as const, 'normal' as const, 'bulk' as const),
      result: fc.constantFrom<ExchangeResult[]>('answered', 'answered', 'server-error', 'not-run', 'unknown')
    })
    fc.assert(fc.property(fc.array(event, { minLength: 30, maxLength: 200 }), (events) => {
      const runners = ['r1', 'r2', 'r3']
      const router = setUp({ r1: 1, r2: 2, r3: 1 }, { queueLimit: 6 })
      const leaving = new Set<string>()
      const open = new Map<string, { request: CallerRequest, runner: string, aborted: boolean }>()
      /** Requests that have not been answered; `ran` if an exchange may have run it. */
      const pending = new Map<string, { request: CallerRequest, ran: boolean }>()
      let now = 0
      const follow = (actions: RouteAction[]): void => {
        for (const action of actions) {
          const state = pending.get(action.request)
          if (action.kind === 'abort') {
            const exchange = open.get(`${action.request}/${action.runner}`)
            expect(exchange, 'aborted exchange').not.to.equal(undefined)
            if (exchange !== undefined) exchange.aborted = true
          } else if (action.kind === 'send') {
            expect(state, 'sent after its answer').not.to.equal(undefined)
            expect(leaving.has(action.runner), 'sent to a leaving runner').to.equal(false)
            if (state?.request.repeatable === false) {
              const others = [...open.values()].filter(({ request }) => request === state.request)
              expect([action.hedge, state.ran, others.length], 'not repeatable').to.deep.equal([false, false, 0])
            }
            if (state !== undefined) {
              open.set(`${action.request}/${action.runner}`, { request: state.request, runner: action.runner, aborted: false })
            }
          } else {
            expect(state, 'second answer').not.to.equal(undefined)
            const inFlight = [...open.values()].some(({ request }) => request.id === action.request)
            if (action.outcome === 'not-run') expect(state?.ran === true || inFlight, 'not run').to.equal(false)
            pending.delete(action.request)
          }
        }
        for (const { runner, held, inUse } of router.listUsage(now)) {
          expect(inUse).to.be.at.most(held)
          expect(inUse).to.equal([...open.values()].filter((exchange) => exchange.runner === runner).length)
        }
        expect(router.queueLength()).to.be.at.most(6 + 4, 'queue limit, and retries')
      }
      for (const step of events) {
        now += step.ms
        const runner = runners[step.pick % 3] as string
        const exchange = [...open][step.pick % Math.max(1, open.size)]
        if (step.kind === 'submit') {
          const deadline = now + 1 + step.pick * 5
          const submitted = request({ class: step.class, repeatable: step.repeatable, arrivedAt: now, deadline })
          pending.set(submitted.id, { request: submitted, ran: false })
          follow(router.submit(submitted, now))
        } else if (step.kind === 'finish' && exchange !== undefined) {
          const [key, { request: { id } }] = exchange
          open.delete(key)
          const state = pending.get(id)
          if (state !== undefined && step.result !== 'not-run') state.ran = true
          follow(router.finish(id, exchange[1].runner, step.result, now))
        } else if (step.kind === 'tick') {
          follow(router.tick(now))
        } else if (step.kind === 'abandon') {
          const id = [...pending.keys()][step.pick % Math.max(1, pending.size)] ?? ''
          const state = pending.get(id)
          const sent = [...open.values()].some(({ request }) => request.id === id)
          follow(router.abandon(id, now))
          if (state !== undefined && (state.request.repeatable || !sent)) pending.delete(id)
        } else if (step.kind === 'grant') {
          follow(router.grantSlots(runner, 1, now))
        } else if (step.kind === 'release') {
          router.releaseSlots(runner, 1)
          follow([])
        } else if (step.kind === 'leave') {
          if (!leaving.delete(runner)) leaving.add(runner)
          follow(router.setRunners(runners.map((id) => {
            return { id, failureDomain: DOMAIN, slots: 8, leaving: leaving.has(id) }
          }), now))
        }
      }
      for (let at = router.nextTickAt(); pending.size > 0; at = router.nextTickAt()) {
        expect(at, 'a request would never be answered').not.to.equal(undefined)
        now = Math.max(now, at ?? now)
        follow(router.tick(now))
      }
    }), { seed: 77, numRuns: 500 })
  })
})
