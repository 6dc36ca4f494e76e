import { createSlotHolder, createSlotLedger, type SlotHolder } from '@gypsumspring/core'
import type { EventQueue } from '../../_lib/EventQueue.ts'
import type { Random } from '../../_lib/createRandom.ts'
import type { SimulatedRunner } from '../../_lib/SimulatedRunner.ts'

export const ENTRY_COUNT = 8
export const RUNNER_COUNT = 30
export const SLOTS_PER_RUNNER = 8
/** One-way network latency between any two machines. */
export const HOP_LATENCY_MS = 0.5
const ENDPOINT = 'endpoint-a'
/** Interval at which an entry checks whether its next slot report is due. */
const REPORT_CHECK_INTERVAL_MS = 5
/** Interval at which entries learn the loads of all runners. */
const LOAD_REFRESH_MS = 50

/** Arrival of a request at an entry, by index. Times are simulated, in ms. */
export interface Arrival {
  at: number
  entry: number
  serviceMs: number
}

/** What a strategy uses of the simulation. */
export interface Simulation {
  events: EventQueue
  random: Random
  runners: SimulatedRunner[]
  /** Sends a request to a runner, by index. Calls `done` when the entry learns that it has been served. */
  sendToRunner: (arrival: Arrival, runner: number, done: () => void) => void
}

/** Sets up a way of sharing slots among entries. Returns the function that accepts the arrivals of all entries. */
export type Strategy = (simulation: Simulation) => (arrival: Arrival) => void

/**
 * First-come, first-served request queue of an entry. A token is the right to use one slot of a runner; requests go to
 * the runner with the most free tokens.
 */
class TokenQueue {
  /** Tokens held and in use, by runner. */
  readonly held: number[]
  readonly inUse: number[] = Array.from({ length: RUNNER_COUNT }, () => 0)
  /** Tokens in use that are given back when their requests end, by runner. */
  readonly pendingReleases: number[] = Array.from({ length: RUNNER_COUNT }, () => 0)
  readonly waiting: Arrival[] = []
  #free = 0
  readonly #simulation: Simulation

  constructor (simulation: Simulation, tokensPerRunner: number) {
    this.#simulation = simulation
    this.held = Array.from({ length: RUNNER_COUNT }, () => tokensPerRunner)
    this.#free = tokensPerRunner * RUNNER_COUNT
  }

  get free (): number {
    return this.#free
  }

  push (arrival: Arrival): void {
    this.waiting.push(arrival)
    this.#send()
  }

  /** Adds tokens of a runner. */
  grant (runner: number, slots: number): void {
    this.held[runner] = this.#countOf(this.held, runner) + slots
    this.#free += slots
    this.#send()
  }

  /** Gives tokens of a runner back: free ones at once, those in use when their requests end. */
  release (runner: number, slots: number): void {
    const released = Math.min(slots, this.#freeTokens(runner))
    this.held[runner] = this.#countOf(this.held, runner) - released
    this.#free -= released
    this.pendingReleases[runner] = Math.min(slots - released, this.#countOf(this.inUse, runner))
  }

  #send (): void {
    while (this.waiting.length > 0 && this.#free > 0) {
      let best = 0
      for (let runner = 1; runner < RUNNER_COUNT; runner++) {
        if (this.#freeTokens(runner) > this.#freeTokens(best)) best = runner
      }
      const arrival = this.waiting.shift() as Arrival
      this.inUse[best] = this.#countOf(this.inUse, best) + 1
      this.#free--
      this.#simulation.sendToRunner(arrival, best, () => this.#finish(best))
    }
  }

  #finish (runner: number): void {
    this.inUse[runner] = this.#countOf(this.inUse, runner) - 1
    if (this.#countOf(this.pendingReleases, runner) > 0) {
      this.pendingReleases[runner] = this.#countOf(this.pendingReleases, runner) - 1
      this.held[runner] = this.#countOf(this.held, runner) - 1
    } else {
      this.#free++
    }
    this.#send()
  }

  #freeTokens (runner: number): number {
    return this.#countOf(this.held, runner) - this.#countOf(this.inUse, runner)
  }

  #countOf (counts: number[], runner: number): number {
    return counts[runner] ?? 0
  }
}

/** Each entry holds a fixed, equal share of the slots of every runner. */
export const fixedShares: Strategy = (simulation) => {
  const queues = Array.from({ length: ENTRY_COUNT }, () => new TokenQueue(simulation, SLOTS_PER_RUNNER / ENTRY_COUNT))
  return (arrival) => queues[arrival.entry]?.push(arrival)
}

/**
 * One entry owns each runner and keeps its queue. An entry draws two runners at random and forwards the request to the
 * owner of the less loaded one, by loads that are refreshed every 50 ms.
 */
export const runnerQueues: Strategy = (simulation) => {
  const { events, random } = simulation
  const queues = Array.from({ length: RUNNER_COUNT }, (): Arrival[] => [])
  const inUse = queues.map(() => 0)
  const currentLoads = (): number[] => queues.map((queue, runner) => queue.length + (inUse[runner] ?? 0))
  const knownLoads = Array.from({ length: ENTRY_COUNT }, currentLoads)
  const refreshKnownLoads = (): void => {
    for (const entry of knownLoads.keys()) knownLoads[entry] = currentLoads()
    events.add(events.now + LOAD_REFRESH_MS, refreshKnownLoads)
  }
  refreshKnownLoads()
  const sendNext = (runner: number): void => {
    const queue = queues[runner] ?? []
    while (queue.length > 0 && (inUse[runner] ?? 0) < SLOTS_PER_RUNNER) {
      inUse[runner] = (inUse[runner] ?? 0) + 1
      simulation.sendToRunner(queue.shift() as Arrival, runner, () => {
        inUse[runner] = (inUse[runner] ?? 0) - 1
        sendNext(runner)
      })
    }
  }
  return (arrival) => {
    const loads = knownLoads[arrival.entry] ?? []
    const [first, second] = [random.integer(RUNNER_COUNT), random.integer(RUNNER_COUNT)]
    const runner = (loads[first] ?? 0) <= (loads[second] ?? 0) ? first : second
    loads[runner] = (loads[runner] ?? 0) + 1
    events.add(events.now + (runner % ENTRY_COUNT === arrival.entry ? 0 : HOP_LATENCY_MS), () => {
      queues[runner]?.push(arrival)
      sendNext(runner)
    })
  }
}

/** Requests go to a random runner regardless of load; those beyond its slots queue at the runner. */
export const randomRunner: Strategy = (simulation) => (arrival) =>
  simulation.sendToRunner(arrival, simulation.random.integer(RUNNER_COUNT), () => {})

/**
 * The slot ledger grants tokens to entries and recalls them according to their reports.
 *
 * @param reportIntervalMs - Interval of an entry's reports, in ms.
 * @param urgentIntervalMs - Interval of the reports while requests wait for tokens, in ms. Default: the same.
 * @returns The strategy.
 *
 * @example
 * ledgerTokens(50, 20)
 */
export function ledgerTokens (reportIntervalMs: number, urgentIntervalMs = reportIntervalMs): Strategy {
  return (simulation) => {
    const { events } = simulation
    const ledger = createSlotLedger({ epoch: 1, registrations: [], renewedAt: 0, runHorizonMs: 1_800_000 }, 0)
    ledger.setRunners(Array.from({ length: RUNNER_COUNT }, (_, runner) => {
      return { endpoint: ENDPOINT, runner: `${runner}`, slots: SLOTS_PER_RUNNER }
    }))
    const queues = Array.from({ length: ENTRY_COUNT }, () => new TokenQueue(simulation, 0))
    const holders = queues.map((_, index) => createSlotHolder(`${index}`, '1', { reportIntervalMs, urgentIntervalMs }))
    const reportIfDue = (index: number, now: number): void => {
      const [queue, holder] = [queues[index] as TokenQueue, holders[index] as SlotHolder]
      if (now >= holder.nextReportAt(queue.waiting.length, queue.free)) sendReport(queue, holder, now)
    }
    const notify = (index: number): void => {
      events.add(events.now + HOP_LATENCY_MS, (now) => {
        holders[index]?.notify(ledger.epoch)
        reportIfDue(index, now)
      })
    }
    const sendReport = (queue: TokenQueue, holder: SlotHolder, now: number): void => {
      const holdings = queue.held.map((held, runner) => {
        return { endpoint: ENDPOINT, runner: `${runner}`, held, inUse: queue.inUse[runner] ?? 0, avoided: false }
      })
      const report = holder.createReport(now, holdings, [{ endpoint: ENDPOINT, waiting: queue.waiting.length }])
      if (report === undefined) return
      events.add(now + HOP_LATENCY_MS, () => {
        const answer = ledger.handleReport(report, events.now)
        for (const entry of ledger.takeNotifications()) notify(Number(entry))
        const pending = ledger.pendingRegistrations()
        if (pending !== undefined) ledger.confirmRegistrations(pending)
        events.add(events.now + HOP_LATENCY_MS, () => {
          const change = holder.applyResponse(answer, events.now)
          for (const { runner, slots } of change.releases) queue.release(Number(runner), slots)
          for (const { runner, slots } of change.grants) queue.grant(Number(runner), slots)
        })
      })
    }
    const renewLease = (): void => {
      ledger.recordRenewal(events.now)
      events.add(events.now + 3000, renewLease)
    }
    renewLease()
    for (const index of queues.keys()) {
      const checkReport = (now: number): void => {
        reportIfDue(index, now)
        events.add(now + REPORT_CHECK_INTERVAL_MS, checkReport)
      }
      events.add(index * REPORT_CHECK_INTERVAL_MS / ENTRY_COUNT, checkReport)
    }
    return (arrival) => queues[arrival.entry]?.push(arrival)
  }
}
