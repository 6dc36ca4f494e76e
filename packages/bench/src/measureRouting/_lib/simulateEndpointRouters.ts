import {
  createEndpointRouter, createSlotHolder, createSlotLedger, type EndpointRouter, type RouteAction, type SlotHolder
} from '@gypsumspring/core'
import type { EventQueue } from '../../_lib/EventQueue.ts'
import type { SimulatedRunner } from '../../_lib/SimulatedRunner.ts'
import type { RequestStatistics } from './RequestStatistics.ts'
import { ENTRY_COUNT, HOP_LATENCY_MS, RUNNER_COUNT, SLOTS_PER_RUNNER, type TraceRequest } from './trace.ts'

const ENDPOINT = 'endpoint-a'
const FAILURE_DOMAIN = 'domain-a'
/** Interval at which an entry checks whether its next slot report is due. */
const REPORT_CHECK_INTERVAL_MS = 5
/** Reasons of refusals that callers receive before the deadline; those for other reasons count as missed deadlines. */
const EARLY_REFUSALS = new Set(['queue-full', 'team-limit', 'deadline-too-short', 'no-runner', 'leaving'])

/** An entry with its router, its slot holder and its requests in progress. */
class SimulatedEntry {
  readonly router: EndpointRouter
  readonly holder: SlotHolder
  #nextTickAt: number | undefined
  /** Functions that cancel an attempt at its runner, by `<request>/<runner>`. */
  readonly #cancelByAttempt = new Map<string, () => void>()
  readonly #requests = new Map<string, TraceRequest>()
  readonly #events: EventQueue
  readonly #runners: SimulatedRunner[]
  readonly #statistics: RequestStatistics

  constructor (index: number, events: EventQueue, runners: SimulatedRunner[], statistics: RequestStatistics) {
    this.#events = events
    this.#runners = runners
    this.#statistics = statistics
    this.holder = createSlotHolder(`${index}`, '1')
    this.router = createEndpointRouter({ seed: 31 + index })
    this.router.setRunners(runners.map((_, runner) => {
      return { id: `${runner}`, failureDomain: FAILURE_DOMAIN, slots: SLOTS_PER_RUNNER, leaving: false }
    }), 0)
  }

  submit (request: TraceRequest): void {
    this.#requests.set(request.id, request)
    this.perform(this.router.submit({ ...request, arrivedAt: this.#events.now }, this.#events.now))
  }

  perform (actions: RouteAction[]): void {
    for (const action of actions) {
      const request = this.#requests.get(action.request) as TraceRequest
      if (action.kind === 'send') this.#send(request, action.runner)
      else if (action.kind === 'abort') this.#cancelByAttempt.get(`${action.request}/${action.runner}`)?.()
      else this.#recordAnswer(request, action)
    }
    this.#scheduleTick()
  }

  #send (request: TraceRequest, runner: string): void {
    this.#statistics.recordSend(request)
    this.#events.add(this.#events.now + HOP_LATENCY_MS, () => {
      const key = `${request.id}/${runner}`
      const target = this.#runners[Number(runner)] as SimulatedRunner
      this.#cancelByAttempt.set(key, target.submit(request.serviceMs, (result) => {
        this.#events.add(this.#events.now + HOP_LATENCY_MS, (now) => {
          this.#cancelByAttempt.delete(key)
          this.perform(this.router.finish(request.id, runner, result === 'refused' ? 'not-run' : result, now))
        })
      }))
    })
  }

  #recordAnswer (request: TraceRequest, action: Extract<RouteAction, { kind: 'answer' }>): void {
    if (action.outcome === 'answered') {
      if (this.#runners[Number(action.runner)]?.alwaysFails === true) this.#statistics.recordError(request)
      else this.#statistics.recordAnswer(request, this.#events.now)
    } else if (action.outcome === 'not-run' && EARLY_REFUSALS.has(action.reason)) {
      this.#statistics.recordRefusal(request)
    } else if (this.#events.now < request.deadline && action.outcome === 'unknown') {
      this.#statistics.recordError(request)
    } else {
      this.#statistics.recordMiss(request)
    }
  }

  #scheduleTick (): void {
    const at = this.router.nextTickAt()
    if (at === undefined || (this.#nextTickAt !== undefined && this.#nextTickAt <= at)) return
    this.#nextTickAt = at
    this.#events.add(at, (now) => {
      if (this.#nextTickAt !== at) return
      this.#nextTickAt = undefined
      this.perform(this.router.tick(now))
    })
  }
}

/** Simulates the endpoint routers of all entries, which receive slots from one slot ledger. */
export function simulateEndpointRouters (
  trace: TraceRequest[], events: EventQueue, runners: SimulatedRunner[], statistics: RequestStatistics
): void {
  const ledger = createSlotLedger({ epoch: 1, registrations: [], renewedAt: 0, runHorizonMs: 1_800_000 }, 0)
  ledger.setRunners(Array.from({ length: RUNNER_COUNT }, (_, runner) => {
    return { endpoint: ENDPOINT, runner: `${runner}`, slots: SLOTS_PER_RUNNER }
  }))
  const entries = Array.from({ length: ENTRY_COUNT }, (_, index) =>
    new SimulatedEntry(index, events, runners, statistics))
  const sendReport = (entry: SimulatedEntry): void => {
    const { router, holder } = entry
    const holdings = router.listUsage(events.now).map((usage) => ({ endpoint: ENDPOINT, ...usage }))
    const demands = [{ endpoint: ENDPOINT, waiting: router.queueLength() }]
    const slotReport = holder.createReport(events.now, holdings, demands)
    if (slotReport === undefined) return
    events.add(events.now + HOP_LATENCY_MS, () => {
      const ledgerAnswer = ledger.handleReport(slotReport, events.now)
      for (const index of ledger.takeNotifications()) notify(entries[Number(index)] as SimulatedEntry)
      const pending = ledger.pendingRegistrations()
      if (pending !== undefined) ledger.confirmRegistrations(pending)
      events.add(events.now + HOP_LATENCY_MS, (now) => {
        const change = holder.applyResponse(ledgerAnswer, now)
        if (change.validUntil !== undefined) router.setSlotExpiry(FAILURE_DOMAIN, change.validUntil)
        for (const { runner, slots } of change.releases) router.releaseSlots(runner, slots)
        for (const { runner, slots } of change.grants) entry.perform(router.grantSlots(runner, slots, now))
      })
    })
  }
  const reportIfDue = (entry: SimulatedEntry, now: number): void => {
    const { router, holder } = entry
    const freeSlots = router.listUsage(now).reduce((sum, { held, inUse, avoided }) =>
      sum + (avoided ? 0 : held - inUse), 0)
    if (now >= holder.nextReportAt(router.queueLength(), freeSlots)) sendReport(entry)
  }
  const notify = (entry: SimulatedEntry): void => {
    events.add(events.now + HOP_LATENCY_MS, (now) => {
      entry.holder.notify(ledger.epoch)
      reportIfDue(entry, now)
    })
  }
  const renewLease = (): void => {
    ledger.recordRenewal(events.now)
    events.add(events.now + 3000, renewLease)
  }
  renewLease()
  for (const [index, entry] of entries.entries()) {
    const checkReport = (now: number): void => {
      reportIfDue(entry, now)
      events.add(now + REPORT_CHECK_INTERVAL_MS, checkReport)
    }
    events.add(index * REPORT_CHECK_INTERVAL_MS / ENTRY_COUNT, checkReport)
  }
  for (const request of trace) events.add(request.at, () => entries[request.entry]?.submit(request))
}
