import { throwUncaught } from '@gypsumspring/protocol'
import type { RunnerClient, RunnerResponse } from '@gypsumspring/adapters'
import type {
  CallerRequest, EndpointRouter, ExchangeResult, RouteAction, RunnerNode, SlotUsage
} from '@gypsumspring/core'
import type { Metrics } from '../../metrics/index.ts'
import { DUPLICATE_RETRY_AFTER_MS, MAX_BUFFERED_RESPONSE_BYTES, STREAMING_THRESHOLD_MS } from '../constants/index.ts'
import type { BufferedResponse, DispatchResult, IncomingRequest, PendingRequest } from '../types.ts'
import { readResponse } from './_lib/readResponse.ts'

export interface RequestDispatcherOptions {
  endpoint: string
  router: EndpointRouter
  runners: RunnerClient
  metrics: Metrics
  /** Called after a submission if requests are waiting. Default: does nothing. */
  onWaiting?: () => void
}

/** A runner with the address to which requests are sent. */
export interface AddressedRunner extends RunnerNode {
  address: string
}

interface SubmitOptions {
  /** Maximum size of a response that is buffered completely, in bytes. Default: 1 MiB. */
  maxBufferedBytes?: number
  /** Time after which an incomplete response is streamed, in ms; `Infinity` never streams for this. Default: 1,000. */
  streamAfterMs?: number
}

interface Exchange {
  controller: AbortController
  response?: BufferedResponse
}

interface DispatchState {
  request: IncomingRequest
  options: Required<SubmitOptions>
  resolve: (result: DispatchResult) => void
  settled: boolean
  abandoned: boolean
  /** Runner whose response is being streamed; from then on no other exchange may provide the response. */
  streamingFrom?: string
  exchanges: Map<string, Exchange>
  /** Buffered responses by runner, kept until the router selects one. */
  responses: Map<string, BufferedResponse>
  lastExchange?: { runner: string, result: ExchangeResult }
}

/**
 * Executes the actions of one endpoint's router: sends requests to runners, reads their responses, and reports the
 * result of each exchange to the router. Owns the router and all exchanges of the endpoint.
 */
export class RequestDispatcher {
  readonly #endpoint: string
  readonly #router: EndpointRouter
  readonly #runners: RunnerClient
  readonly #metrics: Metrics
  readonly #onWaiting: () => void
  readonly #addresses = new Map<string, string>()
  /** Current connection limits by runner. */
  readonly #connectionLimits = new Map<string, number>()
  readonly #requests = new Map<string, DispatchState>()
  #requestCount = 0
  #timer: ReturnType<typeof setTimeout> | undefined

  constructor ({ endpoint, router, runners, metrics, onWaiting = () => {} }: RequestDispatcherOptions) {
    this.#endpoint = endpoint
    this.#router = router
    this.#runners = runners
    this.#metrics = metrics
    this.#onWaiting = onWaiting
  }

  /** Replaces the set of runners. Addresses of removed runners are kept for exchanges in flight. */
  setRunners (runners: AddressedRunner[]): void {
    for (const { id, address } of runners) {
      if (this.#addresses.get(id) === address) continue
      const limit = this.#connectionLimits.get(id)
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
    const held = this.listSlotUsage().find((use) => use.runner === runner)?.held ?? 0
    this.#limitConnections(runner, held + slots)
    this.#apply(this.#router.grantSlots(runner, slots, performance.now()))
  }

  releaseSlots (runner: string, slots: number): void {
    this.#router.releaseSlots(runner, slots)
  }

  /** Limits connections to the tokens held. Must be called before tokens are reported as released. */
  trimConnections (): void {
    const held = new Map(this.listSlotUsage().map((use) => [use.runner, use.held]))
    for (const runner of this.#connectionLimits.keys()) this.#limitConnections(runner, held.get(runner) ?? 0)
  }

  listSlotUsage (): SlotUsage[] {
    return this.#router.listUsage(performance.now())
  }

  waiting (): number {
    return this.#router.queueLength()
  }

  /** Number of requests without a final result or with an exchange that has not ended. */
  get inFlight (): number {
    return this.#requests.size
  }

  submit (request: IncomingRequest, options: SubmitOptions = {}): PendingRequest<DispatchResult> {
    const id = String(++this.#requestCount)
    const result = new Promise<DispatchResult>((resolve) => {
      this.#requests.set(id, {
        request,
        options: { maxBufferedBytes: MAX_BUFFERED_RESPONSE_BYTES, streamAfterMs: STREAMING_THRESHOLD_MS, ...options },
        resolve,
        settled: false,
        abandoned: false,
        exchanges: new Map(),
        responses: new Map()
      })
    })
    const routerRequest: CallerRequest = {
      id,
      team: request.team,
      class: request.class,
      arrivedAt: request.arrivedAt,
      deadline: request.deadline,
      repeatable: request.repeatable
    }
    this.#apply(this.#router.submit(routerRequest, performance.now()))
    if (this.#router.queueLength() > 0) this.#onWaiting()
    return { result, abandon: () => this.#abandon(id) }
  }

  close (): void {
    clearTimeout(this.#timer)
    for (const { exchanges } of this.#requests.values()) {
      for (const { controller } of exchanges.values()) controller.abort()
    }
  }

  #abandon (id: string): void {
    const pending = this.#requests.get(id)
    if (pending === undefined || pending.abandoned) return
    pending.abandoned = true
    this.#apply(this.#router.abandon(id, performance.now()))
    this.#settleAbandoned(id, pending)
  }

  #apply (actions: RouteAction[]): void {
    for (const action of actions) this.#perform(action)
    this.#scheduleTick()
  }

  #perform (action: RouteAction): void {
    const pending = this.#requests.get(action.request)
    if (action.kind === 'send') {
      const wanted = pending !== undefined && pending.streamingFrom === undefined && !pending.settled
      if (wanted) this.#send(action.request, action.runner, pending)
      else this.#apply(this.#router.finish(action.request, action.runner, 'not-run', performance.now()))
    } else if (action.kind === 'abort') pending?.exchanges.get(action.runner)?.controller.abort()
    else if (pending !== undefined) this.#handleAnswer(action, pending)
  }

  #handleAnswer (action: Extract<RouteAction, { kind: 'answer' }>, pending: DispatchState): void {
    // A request whose response is being streamed is already settled; a failure shows as an error of its body.
    if (pending.streamingFrom === undefined) this.#settle(pending, this.#toResult(action, pending))
    this.#removeIfEnded(action.request, pending)
  }

  #toResult (action: Extract<RouteAction, { kind: 'answer' }>, pending: DispatchState): DispatchResult {
    if (action.outcome === 'not-run') {
      return { kind: 'not-run', reason: action.reason, retryAfterMs: action.retryAfterMs }
    }
    if (action.outcome === 'unknown') return { kind: 'unknown', retryAfterMs: action.retryAfterMs }
    const response = pending.responses.get(action.runner)
    if (response === undefined) throw new Error(`router selected runner ${action.runner}, which has no buffered response`)
    return { kind: 'answered', response }
  }

  #settle (pending: DispatchState, result: DispatchResult): void {
    if (pending.settled) return
    pending.settled = true
    pending.responses.clear()
    const outcome = result.kind === 'not-run' ? result.reason : result.kind
    this.#metrics.count('requests', { endpoint: this.#endpoint, outcome })
    this.#metrics.recordDuration('request', performance.now() - pending.request.arrivedAt)
    pending.resolve(result)
  }

  #send (id: string, runner: string, pending: DispatchState): void {
    const exchange: Exchange = { controller: new AbortController() }
    pending.exchanges.set(runner, exchange)
    this.#exchange(id, runner, pending, exchange).catch(throwUncaught)
  }

  async #exchange (id: string, runner: string, pending: DispatchState, exchange: Exchange): Promise<void> {
    const { forwarded, deadline } = pending.request
    const address = this.#addresses.get(runner)
    const timeoutMs = Math.ceil(deadline - performance.now())
    if (address === undefined || timeoutMs <= 0) return this.#finishExchange(id, runner, pending, 'not-run')
    // No exchange may outlast its deadline, since tokens of a failed entry are withheld only for the maximum deadline.
    const outcome = await this.#runners.send(address, { ...forwarded, timeoutMs, signal: exchange.controller.signal })
    const result = await outcome.caseOf<Promise<ExchangeResult>>({
      Left: async ({ certainty }) => certainty === 'not-done' ? 'not-run' : 'unknown',
      Right: async (response) => await this.#receive(id, runner, pending, exchange, response)
    })
    this.#finishExchange(id, runner, pending, result)
  }

  async #receive (
    id: string,
    runner: string,
    pending: DispatchState,
    { controller }: Exchange,
    { status, headers, body }: RunnerResponse
  ): Promise<ExchangeResult> {
    const result = status >= 500 ? 'server-error' : 'answered'
    try {
      const read = await readResponse(body, pending.options)
      if (read.kind === 'buffered') {
        pending.responses.set(runner, { status, headers, body: read.body })
        return result
      }
      if (pending.streamingFrom !== undefined || pending.settled) {
        controller.abort()
        await read.discard()
        return 'unknown'
      }
      pending.streamingFrom = runner
      this.#apply(this.#router.commit(id, runner, performance.now()))
      this.#settle(pending, { kind: 'streaming', response: { status, headers, body: read.body } })
      return await read.ended ? result : 'unknown'
    } catch {
      // The connection to the runner ended before the response was complete, or the exchange was aborted.
      return 'unknown'
    }
  }

  #finishExchange (id: string, runner: string, pending: DispatchState, result: ExchangeResult): void {
    pending.exchanges.delete(runner)
    pending.lastExchange = { runner, result }
    this.#metrics.count('exchanges', { endpoint: this.#endpoint, result })
    this.#apply(this.#router.finish(id, runner, result, performance.now()))
    if (pending.abandoned) this.#settleAbandoned(id, pending)
    this.#removeIfEnded(id, pending)
  }

  /** Settles an abandoned request, which the router no longer answers; its at-most-once record needs the result. */
  #settleAbandoned (id: string, pending: DispatchState): void {
    if (pending.exchanges.size > 0) return
    const { lastExchange } = pending
    const response = lastExchange && pending.responses.get(lastExchange.runner)
    if (response !== undefined) this.#settle(pending, { kind: 'answered', response })
    else if (lastExchange === undefined || lastExchange.result === 'not-run') {
      this.#settle(pending, { kind: 'not-run', reason: 'caller-gone', retryAfterMs: DUPLICATE_RETRY_AFTER_MS })
    } else this.#settle(pending, { kind: 'unknown', retryAfterMs: DUPLICATE_RETRY_AFTER_MS })
    this.#removeIfEnded(id, pending)
  }

  #removeIfEnded (id: string, pending: DispatchState): void {
    if (pending.settled && pending.exchanges.size === 0) this.#requests.delete(id)
  }

  #limitConnections (runner: string, connections: number): void {
    const address = this.#addresses.get(runner)
    if (address === undefined || this.#connectionLimits.get(runner) === connections) return
    this.#connectionLimits.set(runner, connections)
    this.#runners.limitConnections(address, connections)
  }

  #scheduleTick (): void {
    clearTimeout(this.#timer)
    const at = this.#router.nextTickAt()
    if (at === undefined) return
    const delayMs = Math.max(0, Math.ceil(at - performance.now()))
    this.#timer = setTimeout(() => this.#apply(this.#router.tick(performance.now())), delayMs)
  }
}
