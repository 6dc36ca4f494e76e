import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type {
  CallerRequest, EndpointRouter, ExchangeResult, RefusalReason, RouteAction, RunnerNode, SlotUse
} from '../types.ts'
import { Admission } from './_lib/Admission.ts'
import { DueTimes } from './_lib/DueTimes.ts'
import { LatencyWindow } from './_lib/LatencyWindow.ts'
import { RequestQueue } from './_lib/RequestQueue.ts'
import { RetryBudget } from './_lib/RetryBudget.ts'
import { RunnerPool } from './_lib/RunnerPool.ts'
import type { Tracked } from './_lib/Tracked.ts'
import {
  DEFAULT_QUEUE_LIMIT, DEFAULT_RETRY_MS, HEDGE_FREE_SHARE, HEDGE_PERCENTILE, HEDGE_SAMPLES, HELD_BACK_CHECK_MS,
  MAX_ATTEMPTS, NO_TOKEN_MS
} from './constants/index.ts'

/** Requests looked at beyond the head of the queue when the head can use none of the free runners. */
const PASSED_OVER_LIMIT = 8

interface RouterOptions {
  seed?: number
  queueLimit?: number
}

/**
 * Admission, queueing, choice of runner, retries and hedging for one endpoint in one entry. A request is sent only with
 * a free slot token; a not-repeatable one is sent again only when the earlier exchange certainly did not run it.
 *
 * @param options.seed - Seed of the random choices. Default: 1.
 * @param options.queueLimit - Requests that may wait. Default: 200.
 * @returns The router; it throws when the same request is submitted twice or an unknown exchange finishes.
 *
 * @example
 * const router = createEndpointRouter({ seed: 7 })
 * router.setRunners([{ id: 'r1', failureDomain: 'hall-imanta', slots: 8, leaving: false }], 0)
 * router.setSlotExpiry('hall-imanta', 1_800_000)
 * router.grantSlots('r1', 2, 0)
 */
export function createEndpointRouter (options: RouterOptions = {}): EndpointRouter {
  return new Router(options.seed ?? 1, options.queueLimit ?? DEFAULT_QUEUE_LIMIT)
}

class Router implements EndpointRouter {
  readonly #requests = new Map<string, Tracked>()
  readonly #queue = new RequestQueue<Tracked>()
  readonly #latencies = new LatencyWindow()
  readonly #budget = new RetryBudget()
  readonly #due = new DueTimes()
  readonly #pool: RunnerPool
  readonly #admission: Admission<Tracked>
  #queueLimit: number
  /** Since when requests wait without any token. */
  #tokenlessSince: number | undefined
  /** Set while requests wait although tokens are free, of runners that are excluded or slow. */
  #wakeAt: number | undefined

  constructor (seed: number, queueLimit: number) {
    const generator = xoroshiro128plus(seed)
    const random = () => uniformFloat64(generator)
    this.#pool = new RunnerPool(random)
    this.#admission = new Admission(this.#queue, this.#latencies, random)
    this.#queueLimit = queueLimit
  }

  setRunners (runners: RunnerNode[], now: number): RouteAction[] {
    this.#advance(now)
    this.#pool.setRunners(runners)
    return this.#dispatch(now)
  }

  setQueueLimit (limit: number): void {
    this.#queueLimit = limit
  }

  setTeamShares (shares: Map<string, number>): void {
    this.#queue.setWeights(shares)
  }

  setSlotExpiry (failureDomain: string, at: number): void {
    this.#pool.setExpiry(failureDomain, at)
  }

  grantSlots (runner: string, slots: number, now: number): RouteAction[] {
    this.#advance(now)
    this.#pool.grant(runner, slots)
    return this.#dispatch(now)
  }

  releaseSlots (runner: string, slots: number): number {
    return this.#pool.release(runner, slots)
  }

  submit (request: CallerRequest, now: number): RouteAction[] {
    if (this.#requests.has(request.id)) throw new Error(`request ${request.id} was submitted twice`)
    this.#advance(now)
    const tracked: Tracked = {
      ...request,
      waiting: true,
      attempts: 0,
      tried: new Set(),
      mayHaveRun: false,
      committed: false,
      inFlight: new Set(),
      waited: false
    }
    const refusal = this.#refusal(tracked, now)
    if (refusal !== undefined) return [this.#refuse(tracked, refusal, now)]
    this.#requests.set(request.id, tracked)
    this.#due.push({ at: request.deadline, kind: 'deadline', request: request.id })
    this.#queue.push(tracked)
    const actions = this.#dispatch(now)
    tracked.waited = tracked.waiting
    if (this.#queue.size > this.#queueLimit) actions.push(...this.#evict(tracked, now))
    return actions
  }

  finish (request: string, runner: string, result: ExchangeResult, now: number): RouteAction[] {
    this.#advance(now)
    const state = this.#pool.find(runner)
    const startedAt = state?.starts.get(request)
    if (state === undefined || startedAt === undefined) throw new Error(`no exchange of ${request} with ${runner}`)
    const tracked = this.#requests.get(request)
    state.finish(request, result, tracked === undefined, this.#latencies.mean, now)
    const actions = tracked === undefined ? [] : this.#settle(tracked, runner, result, now - startedAt, now)
    return [...actions, ...this.#dispatch(now)]
  }

  commit (request: string, runner: string, now: number): RouteAction[] {
    const tracked = this.#requests.get(request)
    if (tracked === undefined) return []
    this.#advance(now)
    tracked.committed = true
    return [...tracked.inFlight].filter((other) => other !== runner)
      .map((other) => ({ kind: 'abort', request, runner: other }))
  }

  abandon (request: string, now: number): RouteAction[] {
    const tracked = this.#requests.get(request)
    if (tracked === undefined) return []
    this.#advance(now)
    // The answer to a not-repeatable request is still wanted: it is recorded for a repeat.
    if (!tracked.repeatable && !tracked.waiting) return []
    return [...this.#end(tracked), ...this.#dispatch(now)]
  }

  tick (now: number): RouteAction[] {
    this.#advance(now)
    const actions: RouteAction[] = []
    for (let due = this.#due.peek(); due !== undefined && due.at <= now; due = this.#due.peek()) {
      this.#due.pop()
      const tracked = this.#requests.get(due.request)
      if (tracked === undefined) continue
      if (due.kind === 'deadline') actions.push(...this.#giveUp(tracked, 'deadline-passed', now))
      if (due.kind === 'hedge') actions.push(...this.#hedge(tracked, now))
    }
    return [...actions, ...this.#dispatch(now)]
  }

  nextTickAt (): number | undefined {
    let due = this.#due.peek()
    while (due !== undefined && !this.#requests.has(due.request)) {
      this.#due.pop()
      due = this.#due.peek()
    }
    return due === undefined ? this.#wakeAt : Math.min(due.at, this.#wakeAt ?? Infinity)
  }

  use (now: number): SlotUse[] {
    this.#advance(now)
    return this.#pool.use(this.#latencies.mean)
  }

  waiting (): number {
    return this.#queue.size
  }

  #advance (now: number): void {
    this.#admission.advance(now, this.#pool.held)
    this.#pool.expire(now)
    this.#tokenlessSince = this.#queue.size > 0 && this.#pool.held === 0 ? this.#tokenlessSince ?? now : undefined
  }

  #refusal (request: Tracked, now: number): RefusalReason | undefined {
    if (now >= request.deadline) return 'deadline-passed'
    if (!this.#pool.anyOpen) return 'no-runner'
    if (this.#tokenlessSince !== undefined && now - this.#tokenlessSince >= NO_TOKEN_MS) return 'no-runner'
    if (this.#queue.size === 0 && this.#pool.free > 0) return undefined
    return this.#admission.isInTime(request, this.#pool.held, now) ? undefined : 'deadline-too-short'
  }

  #refuse (request: Tracked, reason: RefusalReason, now: number): RouteAction {
    const load = reason === 'queue-full' || reason === 'deadline-too-short' || reason === 'team-limit'
    const retryAfterMs = load ? this.#admission.retryAfterMs(request, this.#pool.held, now) : DEFAULT_RETRY_MS
    return { kind: 'answer', request: request.id, outcome: 'not-run', reason, retryAfterMs }
  }

  #evict (arrived: Tracked, now: number): RouteAction[] {
    const victim = this.#queue.victim()
    if (victim === undefined) return []
    return this.#giveUp(victim, victim.team === arrived.team ? 'queue-full' : 'team-limit', now)
  }

  /** Sends waiting requests while one of them can use a free token. */
  #dispatch (now: number): RouteAction[] {
    const actions: RouteAction[] = []
    if (!this.#pool.anyOpen) {
      return this.#queue.items().flatMap((request) => this.#giveUp(request, 'no-runner', now))
    }
    const passedOver = new Set<Tracked>()
    while (passedOver.size <= PASSED_OVER_LIMIT && this.#pool.free > 0) {
      const request = this.#queue.peek(passedOver)
      if (request === undefined) break
      if (now + this.#latencies.percentile(0.5) > request.deadline && this.#queue.size > 1) {
        // It would use a slot that another request can still use in time.
        actions.push(...this.#giveUp(request, 'deadline-passed', now))
        continue
      }
      const runner = this.#pool.choose(this.#wanted(request), now)
      if (runner === undefined) {
        passedOver.add(request)
        continue
      }
      this.#queue.take(request)
      request.waiting = false
      if (request.attempts++ === 0) this.#budget.recordFirstAttempt()
      if (request.waited) this.#admission.recordSend(request.class)
      actions.push(this.#send(request, runner.node.id, false, now))
    }
    this.#wakeAt = passedOver.size > 0 ? now + HELD_BACK_CHECK_MS : undefined
    return actions
  }

  #wanted (request: Tracked) {
    return {
      repeatable: request.repeatable,
      tried: request.tried,
      otherwiseMs: this.#admission.tokenGapMs(this.#pool.held) * this.#queue.size,
      typicalMs: this.#latencies.mean
    }
  }

  #send (request: Tracked, runner: string, hedge: boolean, now: number): RouteAction {
    this.#pool.find(runner)?.start(request.id, now)
    request.inFlight.add(runner)
    if (!hedge && request.repeatable && this.#latencies.count >= HEDGE_SAMPLES) {
      const at = now + this.#latencies.percentile(HEDGE_PERCENTILE)
      if (at < request.deadline) this.#due.push({ at, kind: 'hedge', request: request.id })
    }
    return { kind: 'send', request: request.id, runner, hedge }
  }

  #hedge (request: Tracked, now: number): RouteAction[] {
    const { free, held } = this.#pool
    if (!request.repeatable || request.committed || request.inFlight.size !== 1) return []
    if (this.#queue.size > 0 || free < held * HEDGE_FREE_SHARE) return []
    const tried = new Set([...request.tried, ...request.inFlight])
    const runner = this.#pool.choose({ ...this.#wanted(request), tried, onlyHealthy: true }, now)
    if (runner === undefined || tried.has(runner.node.id) || !this.#budget.spend(now)) return []
    return [this.#send(request, runner.node.id, true, now)]
  }

  #settle (request: Tracked, runner: string, result: ExchangeResult, elapsed: number, now: number): RouteAction[] {
    request.inFlight.delete(runner)
    if (result === 'answered') {
      this.#latencies.record(elapsed)
      return [...this.#end(request), { kind: 'answer', request: request.id, outcome: 'answered', runner }]
    }
    request.tried.add(runner)
    if (result !== 'not-run') request.mayHaveRun = true
    if (request.inFlight.size > 0) return []
    const mayRepeat = !request.committed && (request.repeatable || !request.mayHaveRun)
    if (mayRepeat && request.attempts < MAX_ATTEMPTS && now < request.deadline && this.#budget.spend(now)) {
      request.waiting = true
      this.#queue.putBack(request)
      return []
    }
    if (result === 'server-error') {
      return [...this.#end(request), { kind: 'answer', request: request.id, outcome: 'answered', runner }]
    }
    return this.#giveUp(request, 'retries-exhausted', now)
  }

  /** The final answer of a request without a whole answer from a runner. */
  #giveUp (request: Tracked, reason: RefusalReason, now: number): RouteAction[] {
    const mayHaveRun = request.mayHaveRun || request.inFlight.size > 0
    const aborts = this.#end(request)
    if (!mayHaveRun) return [...aborts, this.#refuse(request, reason, now)]
    return [...aborts, { kind: 'answer', request: request.id, outcome: 'unknown', retryAfterMs: DEFAULT_RETRY_MS }]
  }

  /** Forgets a request; its exchanges keep their slots until they finish. */
  #end (request: Tracked): RouteAction[] {
    this.#requests.delete(request.id)
    if (request.waiting) this.#queue.remove(request)
    return [...request.inFlight].map((runner) => ({ kind: 'abort', request: request.id, runner }))
  }
}
