import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type {
  CallerRequest, EndpointRouter, ExchangeResult, RefusalReason, RouteAction, RunnerNode, SlotUsage
} from '../types.ts'
import { WaitEstimator } from './_lib/WaitEstimator.ts'
import { TimerHeap } from './_lib/TimerHeap.ts'
import { LatencyWindow } from './_lib/LatencyWindow.ts'
import { RequestQueue } from './_lib/RequestQueue.ts'
import { RetryBudget } from './_lib/RetryBudget.ts'
import { RunnerPool } from './_lib/RunnerPool.ts'
import type { TrackedRequest } from './_lib/TrackedRequest.ts'
import {
  DEFAULT_QUEUE_LIMIT, DEFAULT_RETRY_AFTER_MS, HEDGE_MIN_FREE_SHARE, HEDGE_MIN_SAMPLES, HEDGE_PERCENTILE, MAX_ATTEMPTS,
  NO_TOKEN_TIMEOUT_MS, REDISPATCH_INTERVAL_MS
} from './constants/index.ts'

/** How many more requests are considered when the first one in the queue can use none of the free runners. */
const MAX_PASSED_OVER = 8

interface RouterOptions {
  seed?: number
  queueLimit?: number
}

/**
 * Creates the router of one endpoint in one entry, with admission, queueing, choice of runner, retries and hedging. A
 * request is sent only with a free slot token. A request that is not repeatable is sent again only if it certainly did
 * not run in the earlier exchange.
 *
 * @param options.seed - Seed of the random choices. Default: 1.
 * @param options.queueLimit - Maximum number of waiting requests. Default: 200.
 * @returns The router. It throws if the same request is submitted twice or an unknown exchange finishes.
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
  readonly #requests = new Map<string, TrackedRequest>()
  readonly #queue = new RequestQueue<TrackedRequest>()
  readonly #latencies = new LatencyWindow()
  readonly #budget = new RetryBudget()
  readonly #timers = new TimerHeap()
  readonly #pool: RunnerPool
  readonly #waitEstimator: WaitEstimator<TrackedRequest>
  #queueLimit: number
  /** Since when requests have been waiting while no token is held. */
  #tokenlessSince: number | undefined
  /** When to dispatch again; set while requests wait and the only free tokens are of excluded or slow runners. */
  #redispatchAt: number | undefined

  constructor (seed: number, queueLimit: number) {
    const generator = xoroshiro128plus(seed)
    const random = () => uniformFloat64(generator)
    this.#pool = new RunnerPool(random)
    this.#waitEstimator = new WaitEstimator(this.#queue, this.#latencies, random)
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
    const tracked: TrackedRequest = {
      ...request,
      waiting: true,
      attempts: 0,
      tried: new Set(),
      mayHaveRun: false,
      committed: false,
      inFlight: new Set(),
      waited: false
    }
    const refusal = this.#checkAdmission(tracked, now)
    if (refusal !== undefined) return [this.#createRefusal(tracked, refusal, now)]
    this.#requests.set(request.id, tracked)
    this.#timers.push({ at: request.deadline, kind: 'deadline', request: request.id })
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
    if (state === undefined || startedAt === undefined) {
      throw new Error(`no exchange of request ${request} with runner ${runner}`)
    }
    const tracked = this.#requests.get(request)
    state.finish(request, result, tracked === undefined, this.#latencies.mean, now)
    const actions = tracked === undefined ? [] : this.#handleResult(tracked, runner, result, now - startedAt, now)
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
    // The response to a request that is not repeatable is still needed, since it is stored for a retry.
    if (!tracked.repeatable && !tracked.waiting) return []
    return [...this.#remove(tracked), ...this.#dispatch(now)]
  }

  tick (now: number): RouteAction[] {
    this.#advance(now)
    const actions: RouteAction[] = []
    for (let due = this.#timers.peek(); due !== undefined && due.at <= now; due = this.#timers.peek()) {
      this.#timers.pop()
      const tracked = this.#requests.get(due.request)
      if (tracked === undefined) continue
      if (due.kind === 'deadline') actions.push(...this.#endWithoutResponse(tracked, 'deadline-passed', now))
      if (due.kind === 'hedge') actions.push(...this.#hedge(tracked, now))
    }
    return [...actions, ...this.#dispatch(now)]
  }

  nextTickAt (): number | undefined {
    let due = this.#timers.peek()
    while (due !== undefined && !this.#requests.has(due.request)) {
      this.#timers.pop()
      due = this.#timers.peek()
    }
    return due === undefined ? this.#redispatchAt : Math.min(due.at, this.#redispatchAt ?? Infinity)
  }

  listUsage (now: number): SlotUsage[] {
    this.#advance(now)
    return this.#pool.listUsage(this.#latencies.mean)
  }

  queueLength (): number {
    return this.#queue.size
  }

  #advance (now: number): void {
    this.#waitEstimator.advance(now, this.#pool.held)
    this.#pool.expire(now)
    this.#tokenlessSince = this.#queue.size > 0 && this.#pool.held === 0 ? this.#tokenlessSince ?? now : undefined
  }

  #checkAdmission (request: TrackedRequest, now: number): RefusalReason | undefined {
    if (now >= request.deadline) return 'deadline-passed'
    if (!this.#pool.hasAvailableRunner) return 'no-runner'
    if (this.#tokenlessSince !== undefined && now - this.#tokenlessSince >= NO_TOKEN_TIMEOUT_MS) return 'no-runner'
    if (this.#queue.size === 0 && this.#pool.free > 0) return undefined
    return this.#waitEstimator.meetsDeadline(request, this.#pool.held, now) ? undefined : 'deadline-too-short'
  }

  #createRefusal (request: TrackedRequest, reason: RefusalReason, now: number): RouteAction {
    const causedByLoad = reason === 'queue-full' || reason === 'deadline-too-short' || reason === 'team-limit'
    const retryAfterMs = causedByLoad
      ? this.#waitEstimator.retryAfterMs(request, this.#pool.held, now)
      : DEFAULT_RETRY_AFTER_MS
    return { kind: 'answer', request: request.id, outcome: 'not-run', reason, retryAfterMs }
  }

  #evict (arrived: TrackedRequest, now: number): RouteAction[] {
    const evicted = this.#queue.findEvictionCandidate()
    if (evicted === undefined) return []
    return this.#endWithoutResponse(evicted, evicted.team === arrived.team ? 'queue-full' : 'team-limit', now)
  }

  /** Sends waiting requests as long as one of them can use a free token. */
  #dispatch (now: number): RouteAction[] {
    const actions: RouteAction[] = []
    if (!this.#pool.hasAvailableRunner) {
      return this.#queue.items().flatMap((request) => this.#endWithoutResponse(request, 'no-runner', now))
    }
    const passedOver = new Set<TrackedRequest>()
    while (passedOver.size <= MAX_PASSED_OVER && this.#pool.free > 0) {
      const request = this.#queue.peek(passedOver)
      if (request === undefined) break
      if (!this.#waitEstimator.meetsDeadlineIfSent(request, now) && this.#queue.size > 1) {
        // The request would miss its deadline; its slot can serve another request in time.
        actions.push(...this.#endWithoutResponse(request, 'deadline-passed', now))
        continue
      }
      const runner = this.#pool.choose(this.#createCriteria(request), now)
      if (runner === undefined) {
        passedOver.add(request)
        continue
      }
      this.#queue.take(request)
      request.waiting = false
      if (request.attempts++ === 0) this.#budget.recordFirstAttempt()
      if (request.waited) this.#waitEstimator.recordSend(request.class)
      actions.push(this.#send(request, runner.node.id, false, now))
    }
    this.#redispatchAt = passedOver.size > 0 ? now + REDISPATCH_INTERVAL_MS : undefined
    return actions
  }

  #createCriteria (request: TrackedRequest) {
    return {
      repeatable: request.repeatable,
      tried: request.tried,
      tokenWaitMs: this.#waitEstimator.tokenIntervalMs(this.#pool.held) * this.#queue.size,
      meanMs: this.#latencies.mean
    }
  }

  #send (request: TrackedRequest, runner: string, hedge: boolean, now: number): RouteAction {
    this.#pool.find(runner)?.start(request.id, now)
    request.inFlight.add(runner)
    if (!hedge && request.repeatable && this.#latencies.count >= HEDGE_MIN_SAMPLES) {
      const at = now + this.#latencies.percentile(HEDGE_PERCENTILE)
      if (at < request.deadline) this.#timers.push({ at, kind: 'hedge', request: request.id })
    }
    return { kind: 'send', request: request.id, runner, hedge }
  }

  #hedge (request: TrackedRequest, now: number): RouteAction[] {
    const { free, held } = this.#pool
    if (!request.repeatable || request.committed || request.inFlight.size !== 1) return []
    if (this.#queue.size > 0 || free < held * HEDGE_MIN_FREE_SHARE) return []
    const tried = new Set([...request.tried, ...request.inFlight])
    const runner = this.#pool.choose({ ...this.#createCriteria(request), tried, onlyHealthy: true }, now)
    if (runner === undefined || tried.has(runner.node.id) || !this.#budget.trySpend(now)) return []
    return [this.#send(request, runner.node.id, true, now)]
  }

  #handleResult (
    request: TrackedRequest, runner: string, result: ExchangeResult, elapsed: number, now: number
  ): RouteAction[] {
    request.inFlight.delete(runner)
    if (result === 'answered') {
      this.#latencies.record(elapsed)
      return [...this.#remove(request), { kind: 'answer', request: request.id, outcome: 'answered', runner }]
    }
    request.tried.add(runner)
    if (result !== 'not-run') request.mayHaveRun = true
    if (request.inFlight.size > 0) return []
    const mayRepeat = !request.committed && (request.repeatable || !request.mayHaveRun)
    if (mayRepeat && request.attempts < MAX_ATTEMPTS && now < request.deadline && this.#budget.trySpend(now)) {
      request.waiting = true
      this.#queue.pushFront(request)
      return []
    }
    if (result === 'server-error') {
      return [...this.#remove(request), { kind: 'answer', request: request.id, outcome: 'answered', runner }]
    }
    return this.#endWithoutResponse(request, 'retries-exhausted', now)
  }

  /** Ends a request that got no complete response from a runner. */
  #endWithoutResponse (request: TrackedRequest, reason: RefusalReason, now: number): RouteAction[] {
    const mayHaveRun = request.mayHaveRun || request.inFlight.size > 0
    const aborts = this.#remove(request)
    if (!mayHaveRun) return [...aborts, this.#createRefusal(request, reason, now)]
    const retryAfterMs = DEFAULT_RETRY_AFTER_MS
    return [...aborts, { kind: 'answer', request: request.id, outcome: 'unknown', retryAfterMs }]
  }

  /** Stops tracking a request and aborts its exchanges, which keep their slots until they finish. */
  #remove (request: TrackedRequest): RouteAction[] {
    this.#requests.delete(request.id)
    if (request.waiting) this.#queue.remove(request)
    return [...request.inFlight].map((runner) => ({ kind: 'abort', request: request.id, runner }))
  }
}
