/** Simulation of entries, allocators and the network in which the tests run the ledger and the holders. */
import { expect } from 'chai'
import type { SlotHolder, SlotLedger, SlotRegistration, SlotReport, SlotResponse, SlotRunner } from '../../types.ts'
import { createSlotHolder } from '../../createSlotHolder/index.ts'
import { createSlotLedger } from '../index.ts'
import { DRIFT_MARGIN } from '../../constants/index.ts'

export const LEASE_MS = 10_000
export const RUN_HORIZON_MS = 1_800_000
/** Longest deadline of a request and maximum age of a message; on purpose not taken from the code under test. */
export const LONGEST_DEADLINE_MS = 30_000
export const SLOTS = 4
export const RUNNERS = ['r0', 'r1']
export const ENTRIES = ['e0', 'e1', 'e2', 'e3']

/** An entry process with a simple count of its tokens in place of a router. */
export class SimulatedEntry {
  readonly holder: SlotHolder
  readonly held = new Map<string, number>()
  /** Start times of the exchanges in progress by runner, in true time. */
  readonly inUse = new Map<string, number[]>()
  recalled = new Map<string, number>()
  validUntil = -Infinity
  waiting = 0
  paused = false
  leaving = false

  constructor (readonly id: string, readonly incarnation: string, readonly drift: number) {
    this.holder = createSlotHolder(id, incarnation)
  }

  countInUse (runner: string): number {
    return this.inUse.get(runner)?.length ?? 0
  }

  /** Drops expired tokens and releases recalled ones, in each case only those that are not in use. */
  dropTokens (now: number): void {
    for (const [runner, held] of this.held) {
      const busy = this.countInUse(runner)
      const kept = now >= this.validUntil ? busy : Math.max(busy, held - (this.recalled.get(runner) ?? 0))
      this.recalled.set(runner, Math.max(0, (this.recalled.get(runner) ?? 0) - (held - kept)))
      this.held.set(runner, kept)
    }
  }

  report (now: number): SlotReport | undefined {
    this.dropTokens(now)
    const holdings = RUNNERS.map((runner) => {
      const held = this.held.get(runner) ?? 0
      return { endpoint: 'origem', runner, held, inUse: this.countInUse(runner), avoided: false }
    })
    return this.holder.createReport(now, holdings, [{ endpoint: 'origem', waiting: this.waiting }], this.leaving)
  }

  apply (response: SlotResponse, now: number): void {
    const change = this.holder.applyResponse(response, now)
    if (change.validUntil !== undefined) this.validUntil = Math.max(this.validUntil, change.validUntil)
    for (const { runner, slots } of change.releases) this.recalled.set(runner, slots)
    this.dropTokens(now)
    for (const { runner, slots } of change.grants) this.held.set(runner, (this.held.get(runner) ?? 0) + slots)
  }

  start (runner: string, time: number): void {
    this.dropTokens(time * this.drift)
    const started = this.inUse.get(runner) ?? []
    if ((this.held.get(runner) ?? 0) > started.length) this.inUse.set(runner, [...started, time])
  }

  /** Finishes the exchanges that started at or before `time`. */
  finish (runner: string, time: number): void {
    const left = (this.inUse.get(runner) ?? []).filter((startedAt) => startedAt > time)
    const finished = this.countInUse(runner) - left.length
    this.inUse.set(runner, left)
    const dropped = Math.min(finished, this.recalled.get(runner) ?? 0)
    this.recalled.set(runner, (this.recalled.get(runner) ?? 0) - dropped)
    this.held.set(runner, (this.held.get(runner) ?? 0) - dropped)
  }
}

export interface SimulatedAllocator { ledger: SlotLedger, renewedAt: number, drift: number, paused: boolean }
type Message = { sentAt: number } & (
  | { kind: 'report', allocator: SimulatedAllocator, from: SimulatedEntry, report: SlotReport }
  | { kind: 'notification', to: SimulatedEntry, from: SimulatedAllocator }
  | { kind: 'response', to: SimulatedEntry, response: SlotResponse })

/**
 * Entries, allocators, the lease row, and a network that loses, repeats and reorders messages. `time` is true time; the
 * clocks of the processes drift from it.
 */
export class SlotSimulation {
  time = 0
  readonly messages: Message[] = []
  readonly entries = new Map<string, SimulatedEntry>()
  readonly stoppedEntries: SimulatedEntry[] = []
  readonly allocators: SimulatedAllocator[] = []
  row: { epoch: number, registrations: SlotRegistration[], renewedAt: number } = {
    epoch: 0, registrations: [], renewedAt: -Infinity
  }

  runners: SlotRunner[] = RUNNERS.map((runner) => ({ endpoint: 'origem', runner, slots: SLOTS }))
  /** Highest number of slots ever configured; tokens of a reduced runner return only as exchanges finish. */
  readonly limits = new Map(RUNNERS.map((runner) => [runner, SLOTS]))
  #startCount = 0

  constructor () {
    this.takeOver()
    ENTRIES.forEach((id) => this.restart(id))
  }

  get current (): SimulatedAllocator {
    return this.allocators.at(-1) as SimulatedAllocator
  }

  restart (id: string): void {
    const old = this.entries.get(id)
    if (old !== undefined) this.stoppedEntries.push(old)
    const drift = [0.99, 1, 1.01][this.#startCount % 3] as number
    this.entries.set(id, new SimulatedEntry(id, `${this.#startCount++}`, drift))
  }

  takeOver (): void {
    if (this.time - this.row.renewedAt < LEASE_MS * DRIFT_MARGIN) return
    this.row = { ...this.row, epoch: this.row.epoch + 1, renewedAt: this.time }
    const drift = [0.99, 1.01][this.row.epoch % 2] as number
    const { epoch, registrations } = this.row
    const now = this.time * drift
    const ledger = createSlotLedger({ epoch, registrations, renewedAt: now, runHorizonMs: RUN_HORIZON_MS }, now)
    ledger.setRunners(this.runners)
    this.allocators.push({ ledger, renewedAt: this.time, drift, paused: false })
  }

  /** Sets the slots of a runner; 0 removes it. */
  configure (runner: string, slots: number): void {
    this.runners = this.runners.filter((each) => each.runner !== runner)
    if (slots > 0) this.runners.push({ endpoint: 'origem', runner, slots })
    this.limits.set(runner, Math.max(slots, this.limits.get(runner) ?? 0))
    this.current.ledger.setRunners(this.runners)
  }

  /** Renews the lease and writes the row as the process of the allocator does. */
  maintain (allocator: SimulatedAllocator): void {
    if (allocator.paused || this.row.epoch !== allocator.ledger.epoch) return
    this.row.renewedAt = this.time
    allocator.ledger.recordRenewal(this.time * allocator.drift)
    allocator.ledger.tick(this.time * allocator.drift)
    const registrations = allocator.ledger.pendingRegistrations()
    if (registrations === undefined) return
    this.row.registrations = registrations
    allocator.ledger.confirmRegistrations(registrations)
  }

  send (entry: SimulatedEntry, allocator: SimulatedAllocator): void {
    if (entry.paused) return
    const report = entry.report(this.time * entry.drift)
    if (report !== undefined) this.messages.push({ sentAt: this.time, kind: 'report', allocator, from: entry, report })
  }

  /** Delivers, drops or repeats one of the messages in transit that are candidates. */
  deliver (
    index: number, outcome: 'deliver' | 'drop' | 'repeat', isCandidate = (_kind: Message['kind']) => true
  ): void {
    const candidates = this.messages.filter(({ kind }) => isCandidate(kind))
    const message = candidates[index % Math.max(1, candidates.length)]
    if (message === undefined) return
    if (outcome !== 'repeat') this.messages.splice(this.messages.indexOf(message), 1)
    if (outcome === 'drop') return
    if (message.kind !== 'report') {
      if (this.entries.get(message.to.id) !== message.to) return
      // A message to a paused process stays in its socket buffer.
      if (message.to.paused) this.messages.push(message)
      else if (message.kind === 'response') message.to.apply(message.response, this.time * message.to.drift)
      else this.#notify(message.to, message.from)
    } else if (message.allocator.paused) {
      this.messages.push(message)
    } else {
      const { ledger, drift } = message.allocator
      const response = ledger.handleReport(message.report, this.time * drift)
      this.messages.push({ sentAt: this.time, kind: 'response', to: message.from, response })
      for (const id of ledger.takeNotifications()) {
        const to = this.entries.get(id)
        const from = message.allocator
        if (to !== undefined) this.messages.push({ sentAt: this.time, kind: 'notification', to, from })
      }
    }
  }

  /** The notified entry reports to the sender if a report is due. */
  #notify (entry: SimulatedEntry, allocator: SimulatedAllocator): void {
    entry.holder.notify(allocator.ledger.epoch)
    const now = this.time * entry.drift
    if (entry.holder.nextReportAt(entry.waiting, 0) <= now) this.send(entry, allocator)
  }

  advance (ms: number): void {
    // Short steps, so that no exchange exceeds its deadline.
    for (let left = ms; left > 0; left -= 5000) {
      this.time += Math.min(left, 5000)
      for (const entry of [...this.entries.values(), ...this.stoppedEntries]) {
        for (const runner of RUNNERS) entry.finish(runner, this.time - LONGEST_DEADLINE_MS)
      }
    }
    for (let index = this.messages.length - 1; index >= 0; index--) {
      const message = this.messages[index] as Message
      const paused = message.kind === 'report' ? message.allocator.paused : message.to.paused
      if (!paused && this.time - message.sentAt > LONGEST_DEADLINE_MS) this.messages.splice(index, 1)
    }
    this.current.ledger.tick(this.time * this.current.drift)
  }

  checkLimits (): void {
    for (const [runner, limit] of this.limits) {
      const live = [...this.entries.values()].map((entry) => {
        const expired = this.time * entry.drift >= entry.validUntil
        return expired ? entry.countInUse(runner) : entry.held.get(runner) ?? 0
      })
      const stopped = this.stoppedEntries.map((entry) => entry.countInUse(runner))
      const total = [...live, ...stopped].reduce((sum, count) => sum + count, 0)
      expect(total, `tokens of ${runner}: of live entries ${live}, of stopped entries ${stopped}`).to.be.at.most(limit)
    }
  }

  /** Exchanges a report and its response while other messages stay in transit. */
  exchange (entry: SimulatedEntry, allocator: SimulatedAllocator): void {
    const before = this.messages.length
    this.send(entry, allocator)
    if (this.messages.length === before) return
    this.deliver(before, 'deliver')
    if (this.messages.length > before && !allocator.paused) this.deliver(before, 'deliver')
  }

  /** Runs one exchange of every entry with the current allocator, without faults. */
  runRound (): void {
    this.maintain(this.current)
    for (const entry of this.entries.values()) {
      this.send(entry, this.current)
      while (this.messages.length > 0) this.deliver(0, 'deliver')
    }
    this.advance(1000)
    this.checkLimits()
  }
}
