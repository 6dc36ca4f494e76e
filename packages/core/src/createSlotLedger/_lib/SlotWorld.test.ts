/** The model in which the tests of this folder run the ledger and the holders. */
import { expect } from 'chai'
import type { SlotAnswer, SlotHolder, SlotLedger, SlotRegistration, SlotReport, SlotRunner } from '../../types.ts'
import { createSlotHolder } from '../../createSlotHolder/index.ts'
import { createSlotLedger } from '../index.ts'
import { DRIFT_MARGIN } from '../../constants/index.ts'

export const LEASE_MS = 10_000
export const RUN_HORIZON_MS = 1_800_000
/** Longest deadline of a request and life of a message; not taken from the code under test. */
export const LONGEST_DEADLINE_MS = 30_000
export const SLOTS = 4
export const RUNNERS = ['r0', 'r1']
export const ENTRIES = ['e0', 'e1', 'e2', 'e3']

/** Tokens of one process, as a router keeps them, counted naively. */
export class Entry {
  readonly holder: SlotHolder
  readonly held = new Map<string, number>()
  /** Start times of exchanges by runner, in true time. */
  readonly inUse = new Map<string, number[]>()
  recalled = new Map<string, number>()
  validUntil = -Infinity
  waiting = 0
  paused = false
  leaving = false

  constructor (readonly id: string, readonly incarnation: string, readonly drift: number) {
    this.holder = createSlotHolder(id, incarnation)
  }

  busy (runner: string): number {
    return this.inUse.get(runner)?.length ?? 0
  }

  /** Drops what has expired, and gives back what is asked for and free. */
  trim (now: number): void {
    for (const [runner, held] of this.held) {
      const busy = this.busy(runner)
      const kept = now >= this.validUntil ? busy : Math.max(busy, held - (this.recalled.get(runner) ?? 0))
      this.recalled.set(runner, Math.max(0, (this.recalled.get(runner) ?? 0) - (held - kept)))
      this.held.set(runner, kept)
    }
  }

  report (now: number): SlotReport | undefined {
    this.trim(now)
    const holdings = RUNNERS.map((runner) => {
      return { endpoint: 'origem', runner, held: this.held.get(runner) ?? 0, inUse: this.busy(runner), avoided: false }
    })
    return this.holder.report(now, holdings, [{ endpoint: 'origem', waiting: this.waiting }], this.leaving)
  }

  apply (answer: SlotAnswer, now: number): void {
    const change = this.holder.apply(answer, now)
    if (change.validUntil !== undefined) this.validUntil = Math.max(this.validUntil, change.validUntil)
    for (const { runner, slots } of change.releases) this.recalled.set(runner, slots)
    this.trim(now)
    for (const { runner, slots } of change.grants) this.held.set(runner, (this.held.get(runner) ?? 0) + slots)
  }

  start (runner: string, time: number): void {
    this.trim(time * this.drift)
    const started = this.inUse.get(runner) ?? []
    if ((this.held.get(runner) ?? 0) > started.length) this.inUse.set(runner, [...started, time])
  }

  /** Finishes exchanges started before `time`. */
  finish (runner: string, time: number): void {
    const left = (this.inUse.get(runner) ?? []).filter((startedAt) => startedAt > time)
    const finished = this.busy(runner) - left.length
    this.inUse.set(runner, left)
    const dropped = Math.min(finished, this.recalled.get(runner) ?? 0)
    this.recalled.set(runner, (this.recalled.get(runner) ?? 0) - dropped)
    this.held.set(runner, (this.held.get(runner) ?? 0) - dropped)
  }
}

export interface Allocator { ledger: SlotLedger, renewedAt: number, drift: number, paused: boolean }
type Message = { sentAt: number } & (
  | { kind: 'report', allocator: Allocator, from: Entry, report: SlotReport }
  | { kind: 'notice', to: Entry, from: Allocator }
  | { kind: 'answer', to: Entry, answer: SlotAnswer })

/** Entries, allocators, the lease row and a network that loses, repeats and reorders. Time is true time. */
export class World {
  time = 0
  readonly messages: Message[] = []
  readonly entries = new Map<string, Entry>()
  readonly dead: Entry[] = []
  readonly allocators: Allocator[] = []
  row: { epoch: number, registrations: SlotRegistration[], renewedAt: number } = {
    epoch: 0, registrations: [], renewedAt: -Infinity
  }

  runners: SlotRunner[] = RUNNERS.map((runner) => ({ endpoint: 'origem', runner, slots: SLOTS }))
  /** The most slots that were ever configured; tokens of a reduced runner come back only as exchanges finish. */
  readonly limits = new Map(RUNNERS.map((runner) => [runner, SLOTS]))
  #starts = 0

  constructor () {
    this.takeOver()
    ENTRIES.forEach((id) => this.restart(id))
  }

  get current (): Allocator {
    return this.allocators.at(-1) as Allocator
  }

  restart (id: string): void {
    const old = this.entries.get(id)
    if (old !== undefined) this.dead.push(old)
    const drift = [0.99, 1, 1.01][this.#starts % 3] as number
    this.entries.set(id, new Entry(id, `${this.#starts++}`, drift))
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

  /** Renews the lease and writes the row as the allocator's process does. */
  maintain (allocator: Allocator): void {
    if (allocator.paused || this.row.epoch !== allocator.ledger.epoch) return
    this.row.renewedAt = this.time
    allocator.ledger.renewed(this.time * allocator.drift)
    allocator.ledger.tick(this.time * allocator.drift)
    const registrations = allocator.ledger.pendingRegistrations()
    if (registrations === undefined) return
    this.row.registrations = registrations
    allocator.ledger.confirmRegistrations(registrations)
  }

  send (entry: Entry, allocator: Allocator): void {
    if (entry.paused) return
    const report = entry.report(this.time * entry.drift)
    if (report !== undefined) this.messages.push({ sentAt: this.time, kind: 'report', allocator, from: entry, report })
  }

  /** Delivers, drops or repeats a message of the kinds wanted. */
  deliver (index: number, fate: 'deliver' | 'drop' | 'repeat', wanted = (_kind: Message['kind']) => true): void {
    const candidates = this.messages.filter(({ kind }) => wanted(kind))
    const message = candidates[index % Math.max(1, candidates.length)]
    if (message === undefined) return
    if (fate !== 'repeat') this.messages.splice(this.messages.indexOf(message), 1)
    if (fate === 'drop') return
    if (message.kind !== 'report') {
      if (this.entries.get(message.to.id) !== message.to) return
      // What has reached a paused process waits in its socket.
      if (message.to.paused) this.messages.push(message)
      else if (message.kind === 'answer') message.to.apply(message.answer, this.time * message.to.drift)
      else this.#notify(message.to, message.from)
    } else if (message.allocator.paused) {
      this.messages.push(message)
    } else {
      const { ledger, drift } = message.allocator
      const answer = ledger.handle(message.report, this.time * drift)
      this.messages.push({ sentAt: this.time, kind: 'answer', to: message.from, answer })
      for (const id of ledger.takeNotices()) {
        const to = this.entries.get(id)
        if (to !== undefined) this.messages.push({ sentAt: this.time, kind: 'notice', to, from: message.allocator })
      }
    }
  }

  /** The notified entry reports to the sender if a report is due. */
  #notify (entry: Entry, allocator: Allocator): void {
    entry.holder.notify(allocator.ledger.epoch)
    const now = this.time * entry.drift
    if (entry.holder.nextReportAt(entry.waiting, 0) <= now) this.send(entry, allocator)
  }

  advance (ms: number): void {
    // Steps keep exchanges within their deadline, and live owners renewing.
    for (let left = ms; left > 0; left -= 5000) {
      this.time += Math.min(left, 5000)
      for (const entry of [...this.entries.values(), ...this.dead]) {
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

  check (): void {
    for (const [runner, limit] of this.limits) {
      const live = [...this.entries.values()].map((entry) => {
        const expired = this.time * entry.drift >= entry.validUntil
        return expired ? entry.busy(runner) : entry.held.get(runner) ?? 0
      })
      const gone = this.dead.map((entry) => entry.busy(runner))
      const total = [...live, ...gone].reduce((sum, count) => sum + count, 0)
      expect(total, `tokens of ${runner}, live ${live}, of dead entries ${gone}`).to.be.at.most(limit)
    }
  }

  /** A report and its answer, while other messages stay on their way. */
  exchange (entry: Entry, allocator: Allocator): void {
    const before = this.messages.length
    this.send(entry, allocator)
    if (this.messages.length === before) return
    this.deliver(before, 'deliver')
    if (this.messages.length > before && !allocator.paused) this.deliver(before, 'deliver')
  }

  /** One exchange of every entry with the current allocator, without faults. */
  round (): void {
    this.maintain(this.current)
    for (const entry of this.entries.values()) {
      this.send(entry, this.current)
      while (this.messages.length > 0) this.deliver(0, 'deliver')
    }
    this.advance(1000)
    this.check()
  }
}
