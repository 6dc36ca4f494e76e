import { createSlotHolder, createSlotLedger, type SlotHolder } from '@gypsumspring/core'
import type { EventQueue } from '../../_lib/EventQueue.ts'
import type { Random } from '../../_lib/createRandom.ts'
import type { Runner } from '../../_lib/Runner.ts'

export const ENTRIES = 8
export const RUNNERS = 30
export const SLOTS = 8
/** One way, between any two machines. */
export const HOP_MS = 0.5
const ENDPOINT = 'origem'
/** How often an entry looks whether a report is due. */
const CHECK_MS = 5

export interface Arrival {
  at: number
  entry: number
  serviceMs: number
}

export interface Site {
  events: EventQueue
  random: Random
  runners: Runner[]
  /** The request begins to be served or to queue at its runner. */
  sent: (arrival: Arrival, runner: number, done: () => void) => void
}

/** Takes the arrivals of all entries. */
export type Strategy = (site: Site) => (arrival: Arrival) => void

/** An entry that sends first come, first served, to the runner of which it has most tokens free. */
class TokenQueue {
  readonly held: number[]
  readonly inUse: number[] = Array.from({ length: RUNNERS }, () => 0)
  readonly recalled: number[] = Array.from({ length: RUNNERS }, () => 0)
  readonly waiting: Arrival[] = []
  #free = 0
  readonly #site: Site

  constructor (site: Site, tokensPerRunner: number) {
    this.#site = site
    this.held = Array.from({ length: RUNNERS }, () => tokensPerRunner)
    this.#free = tokensPerRunner * RUNNERS
  }

  get free (): number {
    return this.#free
  }

  push (arrival: Arrival): void {
    this.waiting.push(arrival)
    this.#send()
  }

  grant (runner: number, slots: number): void {
    this.held[runner] = this.#of(this.held, runner) + slots
    this.#free += slots
    this.#send()
  }

  release (runner: number, slots: number): void {
    const given = Math.min(slots, this.#freeOf(runner))
    this.held[runner] = this.#of(this.held, runner) - given
    this.#free -= given
    this.recalled[runner] = Math.min(slots - given, this.#of(this.inUse, runner))
  }

  #send (): void {
    while (this.waiting.length > 0 && this.#free > 0) {
      let best = 0
      for (let runner = 1; runner < RUNNERS; runner++) if (this.#freeOf(runner) > this.#freeOf(best)) best = runner
      const arrival = this.waiting.shift() as Arrival
      this.inUse[best] = this.#of(this.inUse, best) + 1
      this.#free--
      this.#site.sent(arrival, best, () => this.#finish(best))
    }
  }

  #finish (runner: number): void {
    this.inUse[runner] = this.#of(this.inUse, runner) - 1
    if (this.#of(this.recalled, runner) > 0) {
      this.recalled[runner] = this.#of(this.recalled, runner) - 1
      this.held[runner] = this.#of(this.held, runner) - 1
    } else {
      this.#free++
    }
    this.#send()
  }

  #freeOf (runner: number): number {
    return this.#of(this.held, runner) - this.#of(this.inUse, runner)
  }

  #of (counts: number[], runner: number): number {
    return counts[runner] ?? 0
  }
}

/** Each entry has its fixed share of every runner. */
export const divided: Strategy = (site) => {
  const queues = Array.from({ length: ENTRIES }, () => new TokenQueue(site, SLOTS / ENTRIES))
  return (arrival) => queues[arrival.entry]?.push(arrival)
}

/** Each runner has one queue at its owner; entries pass requests on to the better of two, by loads 50 ms old. */
export const owned: Strategy = (site) => {
  const { events, random } = site
  const queues = Array.from({ length: RUNNERS }, (): Arrival[] => [])
  const inUse = queues.map(() => 0)
  const loads = (): number[] => queues.map((queue, runner) => queue.length + (inUse[runner] ?? 0))
  const known = Array.from({ length: ENTRIES }, loads)
  const learn = (): void => {
    for (const entry of known.keys()) known[entry] = loads()
    events.add(events.now + 50, learn)
  }
  learn()
  const send = (runner: number): void => {
    const queue = queues[runner] ?? []
    while (queue.length > 0 && (inUse[runner] ?? 0) < SLOTS) {
      inUse[runner] = (inUse[runner] ?? 0) + 1
      site.sent(queue.shift() as Arrival, runner, () => {
        inUse[runner] = (inUse[runner] ?? 0) - 1
        send(runner)
      })
    }
  }
  return (arrival) => {
    const view = known[arrival.entry] ?? []
    const [one, other] = [random.integer(RUNNERS), random.integer(RUNNERS)]
    const runner = (view[one] ?? 0) <= (view[other] ?? 0) ? one : other
    view[runner] = (view[runner] ?? 0) + 1
    events.add(events.now + (runner % ENTRIES === arrival.entry ? 0 : HOP_MS), () => {
      queues[runner]?.push(arrival)
      send(runner)
    })
  }
}

/** Any runner, whatever its load; what exceeds its slots queues there. */
export const unlimited: Strategy = (site) => (arrival) => site.sent(arrival, site.random.integer(RUNNERS), () => {})

/** Tokens lent by the ledger; entries report at the interval, or at the urgent one while callers wait for tokens. */
export function lent (reportIntervalMs: number, urgentIntervalMs = reportIntervalMs): Strategy {
  return (site) => {
    const { events } = site
    const ledger = createSlotLedger({ epoch: 1, registrations: [], renewedAt: 0, runHorizonMs: 1_800_000 }, 0)
    ledger.setRunners(Array.from({ length: RUNNERS }, (_, runner) => ({ endpoint: ENDPOINT, runner: `${runner}`, slots: SLOTS })))
    const queues = Array.from({ length: ENTRIES }, () => new TokenQueue(site, 0))
    const holders = queues.map((_, index) => createSlotHolder(`${index}`, '1', { reportIntervalMs, urgentIntervalMs }))
    const exchangeIfDue = (index: number, now: number): void => {
      const [queue, holder] = [queues[index] as TokenQueue, holders[index] as SlotHolder]
      if (now >= holder.nextReportAt(queue.waiting.length, queue.free)) exchange(queue, holder, now)
    }
    const notify = (index: number): void => {
      events.add(events.now + HOP_MS, (now) => {
        holders[index]?.notify(ledger.epoch)
        exchangeIfDue(index, now)
      })
    }
    const exchange = (queue: TokenQueue, holder: SlotHolder, now: number): void => {
      const holdings = queue.held.map((held, runner) => {
        return { endpoint: ENDPOINT, runner: `${runner}`, held, inUse: queue.inUse[runner] ?? 0, avoided: false }
      })
      const report = holder.createReport(now, holdings, [{ endpoint: ENDPOINT, waiting: queue.waiting.length }])
      if (report === undefined) return
      events.add(now + HOP_MS, () => {
        const answer = ledger.handleReport(report, events.now)
        for (const entry of ledger.takeNotifications()) notify(Number(entry))
        const pending = ledger.pendingRegistrations()
        if (pending !== undefined) ledger.confirmRegistrations(pending)
        events.add(events.now + HOP_MS, () => {
          const change = holder.applyAnswer(answer, events.now)
          for (const { runner, slots } of change.releases) queue.release(Number(runner), slots)
          for (const { runner, slots } of change.grants) queue.grant(Number(runner), slots)
        })
      })
    }
    const renew = (): void => {
      ledger.recordRenewal(events.now)
      events.add(events.now + 3000, renew)
    }
    renew()
    for (const index of queues.keys()) {
      const check = (now: number): void => {
        exchangeIfDue(index, now)
        events.add(now + CHECK_MS, check)
      }
      events.add(index * CHECK_MS / ENTRIES, check)
    }
    return (arrival) => queues[arrival.entry]?.push(arrival)
  }
}
