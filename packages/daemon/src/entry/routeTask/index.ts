import { throwUncaught } from '@gypsumspring/protocol'
import type { RunnerClient, RunnerResponse } from '@gypsumspring/adapters'
import type {
  CallerRequest, EndpointRouter, ExchangeResult, RouteAction, RunnerNode, SlotUsage
} from '@gypsumspring/core'
import type { Metrics } from '../../metrics/index.ts'
import { MAX_WHOLE_ANSWER_BYTES, REPEAT_RETRY_MS, STREAM_AFTER_MS } from '../constants/index.ts'
import type { Call, CallerCall, RouteResult, WholeAnswer } from '../types.ts'
import { readAnswer } from './_lib/readAnswer.ts'

export interface RouteTaskParts {
  endpoint: string
  router: EndpointRouter
  runners: RunnerClient
  metrics: Metrics
  /** Called when requests wait after a submission. Default: nothing. */
  onWaiting?: () => void
}

/** A runner with the address that requests are sent to. */
export interface AddressedRunner extends RunnerNode {
  address: string
}

interface SubmitOptions {
  /** Answers up to this size are read whole. Default: 1 MiB. */
  wholeBytes?: number
  /** Slower answers are passed on as they come; `Infinity` waits for the whole. Default: 1,000. */
  streamAfterMs?: number
}

interface Exchange {
  controller: AbortController
  answer?: WholeAnswer
}

interface Pending {
  call: CallerCall
  options: Required<SubmitOptions>
  resolve: (result: RouteResult) => void
  settled: boolean
  abandoned: boolean
  /** Runner whose answer is being passed on; no other exchange may answer from then on. */
  committedTo?: string
  exchanges: Map<string, Exchange>
  /** Whole answers by runner, until the router says which one is used. */
  answers: Map<string, WholeAnswer>
  last?: { runner: string, result: ExchangeResult }
}

/**
 * Carries out the decisions of one endpoint's router: sends requests to runners, reads their answers, and tells the
 * router how each exchange ended. Owns the router and all exchanges of the endpoint.
 */
export class RouteTask {
  readonly #endpoint: string
  readonly #router: EndpointRouter
  readonly #runners: RunnerClient
  readonly #metrics: Metrics
  readonly #onWaiting: () => void
  readonly #addresses = new Map<string, string>()
  /** Connections allowed now, by runner. */
  readonly #limits = new Map<string, number>()
  readonly #pending = new Map<string, Pending>()
  #requestCount = 0
  #timer: ReturnType<typeof setTimeout> | undefined

  constructor ({ endpoint, router, runners, metrics, onWaiting = () => {} }: RouteTaskParts) {
    this.#endpoint = endpoint
    this.#router = router
    this.#runners = runners
    this.#metrics = metrics
    this.#onWaiting = onWaiting
  }

  /** Replaces the set of runners. Addresses of removed runners are kept for exchanges that are still in flight. */
  setRunners (runners: AddressedRunner[]): void {
    for (const { id, address } of runners) {
      if (this.#addresses.get(id) === address) continue
      const limit = this.#limits.get(id)
      this.#limitConnections(id, 0)
      this.#addresses.set(id, address)
      if (limit !== undefined) this.#limitConnections(id, limit)
    }
    this.#apply(this.#router.setRunners(runners.map(({ address: _address, ...runner }) => runner), performance.now()))
  }

  setLimits (queueLimit: number, teamShares: Map<string, number>): void {
    this.#router.setQueueLimit(queueLimit)
    this.#router.setTeamShares(teamShares)
  }

  setSlotExpiry (failureDomain: string, at: number): void {
    this.#router.setSlotExpiry(failureDomain, at)
  }

  grantSlots (runner: string, slots: number): void {
    const held = this.use().find((use) => use.runner === runner)?.held ?? 0
    this.#limitConnections(runner, held + slots)
    this.#apply(this.#router.grantSlots(runner, slots, performance.now()))
  }

  releaseSlots (runner: string, slots: number): void {
    this.#router.releaseSlots(runner, slots)
  }

  /** Closes connections in excess of the tokens held; to be called before the tokens are reported as released. */
  trimConnections (): void {
    const held = new Map(this.use().map((use) => [use.runner, use.held]))
    for (const runner of this.#limits.keys()) this.#limitConnections(runner, held.get(runner) ?? 0)
  }

  use (): SlotUsage[] {
    return this.#router.listUsage(performance.now())
  }

  waiting (): number {
    return this.#router.queueLength()
  }

  /** Number of requests that have no final answer, or an exchange that has not ended. */
  get inFlight (): number {
    return this.#pending.size
  }

  submit (call: CallerCall, options: SubmitOptions = {}): Call<RouteResult> {
    const id = String(++this.#requestCount)
    const result = new Promise<RouteResult>((resolve) => {
      this.#pending.set(id, {
        call,
        options: { wholeBytes: MAX_WHOLE_ANSWER_BYTES, streamAfterMs: STREAM_AFTER_MS, ...options },
        resolve,
        settled: false,
        abandoned: false,
        exchanges: new Map(),
        answers: new Map()
      })
    })
    const request: CallerRequest = {
      id,
      team: call.team,
      class: call.class,
      arrivedAt: call.arrivedAt,
      deadline: call.deadline,
      repeatable: call.repeatable
    }
    this.#apply(this.#router.submit(request, performance.now()))
    if (this.#router.queueLength() > 0) this.#onWaiting()
    return { result, abandon: () => this.#abandon(id) }
  }

  close (): void {
    clearTimeout(this.#timer)
    for (const { exchanges } of this.#pending.values()) {
      for (const { controller } of exchanges.values()) controller.abort()
    }
  }

  #abandon (id: string): void {
    const pending = this.#pending.get(id)
    if (pending === undefined || pending.abandoned) return
    pending.abandoned = true
    this.#apply(this.#router.abandon(id, performance.now()))
    this.#settleAbandoned(id, pending)
  }

  #apply (actions: RouteAction[]): void {
    for (const action of actions) this.#perform(action)
    this.#arm()
  }

  #perform (action: RouteAction): void {
    const pending = this.#pending.get(action.request)
    if (action.kind === 'send') {
      const wanted = pending !== undefined && pending.committedTo === undefined && !pending.settled
      if (wanted) this.#send(action.request, action.runner, pending)
      else this.#apply(this.#router.finish(action.request, action.runner, 'not-run', performance.now()))
    } else if (action.kind === 'abort') pending?.exchanges.get(action.runner)?.controller.abort()
    else if (pending !== undefined) this.#answer(action, pending)
  }

  #answer (action: Extract<RouteAction, { kind: 'answer' }>, pending: Pending): void {
    // A request whose answer is being passed on is already answered; a broken stream shows in its body.
    if (pending.committedTo === undefined) this.#settle(pending, this.#toResult(action, pending))
    this.#forgetIfEnded(action.request, pending)
  }

  #toResult (action: Extract<RouteAction, { kind: 'answer' }>, pending: Pending): RouteResult {
    if (action.outcome === 'not-run') {
      return { kind: 'not-run', reason: action.reason, retryAfterMs: action.retryAfterMs }
    }
    if (action.outcome === 'unknown') return { kind: 'unknown', retryAfterMs: action.retryAfterMs }
    const answer = pending.answers.get(action.runner)
    if (answer === undefined) throw new Error(`router answered with runner ${action.runner}, which has given no answer`)
    return { kind: 'answered', answer }
  }

  #settle (pending: Pending, result: RouteResult): void {
    if (pending.settled) return
    pending.settled = true
    pending.answers.clear()
    const outcome = result.kind === 'not-run' ? result.reason : result.kind
    this.#metrics.count('requests', { endpoint: this.#endpoint, outcome })
    this.#metrics.recordDuration('request', performance.now() - pending.call.arrivedAt)
    pending.resolve(result)
  }

  #send (id: string, runner: string, pending: Pending): void {
    const exchange: Exchange = { controller: new AbortController() }
    pending.exchanges.set(runner, exchange)
    this.#exchange(id, runner, pending, exchange).catch(throwUncaught)
  }

  async #exchange (id: string, runner: string, pending: Pending, exchange: Exchange): Promise<void> {
    const { forwarded, deadline } = pending.call
    const address = this.#addresses.get(runner)
    const timeoutMs = Math.ceil(deadline - performance.now())
    if (address === undefined || timeoutMs <= 0) return this.#finish(id, runner, pending, 'not-run')
    // The router aborts what is left at the deadline: a dead entry's tokens are withheld only for the longest deadline.
    const outcome = await this.#runners.send(address, { ...forwarded, timeoutMs, signal: exchange.controller.signal })
    const result = await outcome.caseOf<Promise<ExchangeResult>>({
      Left: async ({ certainty }) => certainty === 'not-done' ? 'not-run' : 'unknown',
      Right: async (response) => await this.#receive(id, runner, pending, exchange, response)
    })
    this.#finish(id, runner, pending, result)
  }

  async #receive (
    id: string, runner: string, pending: Pending, { controller }: Exchange, { status, headers, body }: RunnerResponse
  ): Promise<ExchangeResult> {
    const result = status >= 500 ? 'server-error' : 'answered'
    try {
      const read = await readAnswer(body, pending.options)
      if (read.kind === 'whole') {
        pending.answers.set(runner, { status, headers, body: read.body })
        return result
      }
      if (pending.committedTo !== undefined || pending.settled) {
        controller.abort()
        await read.discard()
        return 'unknown'
      }
      pending.committedTo = runner
      this.#apply(this.#router.commit(id, runner, performance.now()))
      this.#settle(pending, { kind: 'streaming', answer: { status, headers, body: read.body } })
      return await read.ended ? result : 'unknown'
    } catch {
      // The runner's connection ended before the whole answer, or the exchange was aborted.
      return 'unknown'
    }
  }

  #finish (id: string, runner: string, pending: Pending, result: ExchangeResult): void {
    pending.exchanges.delete(runner)
    pending.last = { runner, result }
    this.#metrics.count('exchanges', { endpoint: this.#endpoint, result })
    this.#apply(this.#router.finish(id, runner, result, performance.now()))
    if (pending.abandoned) this.#settleAbandoned(id, pending)
    this.#forgetIfEnded(id, pending)
  }

  /** Ends a request that nobody waits for and that the router answers no more; its record needs the outcome. */
  #settleAbandoned (id: string, pending: Pending): void {
    if (pending.exchanges.size > 0) return
    const { last } = pending
    const answer = last && pending.answers.get(last.runner)
    if (answer !== undefined) this.#settle(pending, { kind: 'answered', answer })
    else if (last === undefined || last.result === 'not-run') {
      this.#settle(pending, { kind: 'not-run', reason: 'caller-gone', retryAfterMs: REPEAT_RETRY_MS })
    } else this.#settle(pending, { kind: 'unknown', retryAfterMs: REPEAT_RETRY_MS })
    this.#forgetIfEnded(id, pending)
  }

  #forgetIfEnded (id: string, pending: Pending): void {
    if (pending.settled && pending.exchanges.size === 0) this.#pending.delete(id)
  }

  #limitConnections (runner: string, connections: number): void {
    const address = this.#addresses.get(runner)
    if (address === undefined || this.#limits.get(runner) === connections) return
    this.#limits.set(runner, connections)
    this.#runners.limitConnections(address, connections)
  }

  #arm (): void {
    clearTimeout(this.#timer)
    const at = this.#router.nextTickAt()
    if (at === undefined) return
    const delayMs = Math.max(0, Math.ceil(at - performance.now()))
    this.#timer = setTimeout(() => this.#apply(this.#router.tick(performance.now())), delayMs)
  }
}
