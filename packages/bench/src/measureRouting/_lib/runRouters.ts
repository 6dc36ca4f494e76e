import {
  createEndpointRouter, createSlotHolder, createSlotLedger, type EndpointRouter, type RouteAction, type SlotHolder
} from '@gypsumspring/core'
import type { EventQueue } from '../../_lib/EventQueue.ts'
import type { Runner } from '../../_lib/Runner.ts'
import type { Tally } from './Tally.ts'
import { ENTRIES, HOP_MS, RUNNERS, SLOTS, type TraceRequest } from './trace.ts'

const ENDPOINT = 'origem'
const DOMAIN = 'arquivo-historico'
/** How often an entry looks whether a report is due. */
const CHECK_MS = 5
/** Final refusals that answer early; the others count as missed deadlines or as errors. */
const EARLY = new Set(['queue-full', 'team-limit', 'deadline-too-short', 'no-runner', 'leaving'])

/** One entry: a router, its holder, and the exchanges that it has in progress. */
class Entry {
  readonly router: EndpointRouter
  readonly holder: SlotHolder
  #tickAt: number | undefined
  readonly #drops = new Map<string, () => void>()
  readonly #requests = new Map<string, TraceRequest>()
  readonly #events: EventQueue
  readonly #runners: Runner[]
  readonly #tally: Tally

  constructor (index: number, events: EventQueue, runners: Runner[], tally: Tally) {
    this.#events = events
    this.#runners = runners
    this.#tally = tally
    this.holder = createSlotHolder(`${index}`, '1')
    this.router = createEndpointRouter({ seed: 31 + index })
    this.router.setRunners(runners.map((_, runner) => {
      return { id: `${runner}`, failureDomain: DOMAIN, slots: SLOTS, leaving: false }
    }), 0)
  }

  submit (request: TraceRequest): void {
    this.#requests.set(request.id, request)
    this.act(this.router.submit({ ...request, arrivedAt: this.#events.now }, this.#events.now))
  }

  act (actions: RouteAction[]): void {
    for (const action of actions) {
      const request = this.#requests.get(action.request) as TraceRequest
      if (action.kind === 'send') this.#send(request, action.runner)
      else if (action.kind === 'abort') this.#drops.get(`${action.request}/${action.runner}`)?.()
      else this.#answer(request, action)
    }
    this.#schedule()
  }

  #send (request: TraceRequest, runner: string): void {
    this.#tally.recordSend(request)
    this.#events.add(this.#events.now + HOP_MS, () => {
      const key = `${request.id}/${runner}`
      this.#drops.set(key, (this.#runners[Number(runner)] as Runner).offer(request.serviceMs, (result) => {
        this.#events.add(this.#events.now + HOP_MS, (now) => {
          this.#drops.delete(key)
          this.act(this.router.finish(request.id, runner, result === 'refused' ? 'not-run' : result, now))
        })
      }))
    })
  }

  #answer (request: TraceRequest, action: Extract<RouteAction, { kind: 'answer' }>): void {
    if (action.outcome === 'answered') {
      if (this.#runners[Number(action.runner)]?.fails === true) this.#tally.recordError(request)
      else this.#tally.recordAnswer(request, this.#events.now)
    } else if (action.outcome === 'not-run' && EARLY.has(action.reason)) {
      this.#tally.recordRefusal(request)
    } else if (this.#events.now < request.deadline && action.outcome === 'unknown') {
      this.#tally.recordError(request)
    } else {
      this.#tally.recordMiss(request)
    }
  }

  #schedule (): void {
    const at = this.router.nextTickAt()
    if (at === undefined || (this.#tickAt !== undefined && this.#tickAt <= at)) return
    this.#tickAt = at
    this.#events.add(at, (now) => {
      if (this.#tickAt !== at) return
      this.#tickAt = undefined
      this.act(this.router.tick(now))
    })
  }
}

/** Our routers in all entries, with slot tokens lent by one ledger. */
export function runRouters (trace: TraceRequest[], events: EventQueue, runners: Runner[], tally: Tally): void {
  const ledger = createSlotLedger({ epoch: 1, registrations: [], renewedAt: 0, runHorizonMs: 1_800_000 }, 0)
  ledger.setRunners(Array.from({ length: RUNNERS }, (_, runner) => {
    return { endpoint: ENDPOINT, runner: `${runner}`, slots: SLOTS }
  }))
  const entries = Array.from({ length: ENTRIES }, (_, index) => new Entry(index, events, runners, tally))
  const report = (entry: Entry): void => {
    const { router, holder } = entry
    const holdings = router.listUsage(events.now).map((use) => ({ endpoint: ENDPOINT, ...use }))
    const message = holder.createReport(events.now, holdings, [{ endpoint: ENDPOINT, waiting: router.queueLength() }])
    if (message === undefined) return
    events.add(events.now + HOP_MS, () => {
      const answer = ledger.handleReport(message, events.now)
      for (const index of ledger.takeNotifications()) notify(entries[Number(index)] as Entry)
      const pending = ledger.pendingRegistrations()
      if (pending !== undefined) ledger.confirmRegistrations(pending)
      events.add(events.now + HOP_MS, (now) => {
        const change = holder.applyAnswer(answer, now)
        if (change.validUntil !== undefined) router.setSlotExpiry(DOMAIN, change.validUntil)
        for (const { runner, slots } of change.releases) router.releaseSlots(runner, slots)
        for (const { runner, slots } of change.grants) entry.act(router.grantSlots(runner, slots, now))
      })
    })
  }
  const reportIfDue = (entry: Entry, now: number): void => {
    const { router, holder } = entry
    const spare = router.listUsage(now).reduce((sum, { held, inUse, avoided }) => sum + (avoided ? 0 : held - inUse), 0)
    if (now >= holder.nextReportAt(router.queueLength(), spare)) report(entry)
  }
  const notify = (entry: Entry): void => {
    events.add(events.now + HOP_MS, (now) => {
      entry.holder.notify(ledger.epoch)
      reportIfDue(entry, now)
    })
  }
  const renew = (): void => {
    ledger.recordRenewal(events.now)
    events.add(events.now + 3000, renew)
  }
  renew()
  for (const [index, entry] of entries.entries()) {
    const check = (now: number): void => {
      reportIfDue(entry, now)
      events.add(now + CHECK_MS, check)
    }
    events.add(index * CHECK_MS / ENTRIES, check)
  }
  for (const request of trace) events.add(request.at, () => entries[request.entry]?.submit(request))
}
