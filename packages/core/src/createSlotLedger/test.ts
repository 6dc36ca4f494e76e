import { expect } from 'chai'
import fc from 'fast-check'
import type { SlotAnswer, SlotHolder, SlotLedger, SlotRegistration, SlotReport, SlotRunner } from '../types.ts'
import { createSlotHolder } from '../createSlotHolder/index.ts'
import { createSlotLedger } from './index.ts'
import { DRIFT_MARGIN, RUN_HORIZON_MS } from './constants/index.ts'

const LEASE_MS = 10_000
/** Longest deadline of a request and life of a message; not taken from the code under test. */
const LONGEST_DEADLINE_MS = 30_000
const SLOTS = 4
const RUNNERS = ['r0', 'r1']
const ENTRIES = ['e0', 'e1', 'e2', 'e3']

/** Tokens of one process, as a router keeps them, counted naively. */
class Entry {
  readonly holder: SlotHolder
  readonly held = new Map<string, number>()
  /** Start times of exchanges by runner, in true time. */
  readonly inUse = new Map<string, number[]>()
  recalled = new Map<string, number>()
  validUntil = -Infinity
  waiting = 0
  paused = false
  target = 0

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
    return this.holder.report(now, holdings, [{ endpoint: 'origem', waiting: this.waiting }])
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

interface Allocator { ledger: SlotLedger, renewedAt: number, drift: number, paused: boolean }
type Message = { sentAt: number } & (
  | { kind: 'report', allocator: Allocator, from: Entry, report: SlotReport }
  | { kind: 'answer', to: Entry, answer: SlotAnswer })

/** Entries, allocators, the lease row and a network that loses, repeats and reorders. Time is true time. */
class World {
  time = 0
  readonly messages: Message[] = []
  readonly entries = new Map<string, Entry>()
  readonly dead: Entry[] = []
  readonly allocators: Allocator[] = []
  row: { epoch: number, registrations: SlotRegistration[], renewedAt: number } = {
    epoch: 0, registrations: [], renewedAt: -Infinity
  }

  runners: SlotRunner[] = RUNNERS.map((runner) => ({ endpoint: 'origem', runner, slots: SLOTS }))
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
    const ledger = createSlotLedger({ epoch, registrations, renewedAt: now }, now)
    ledger.setRunners(this.runners)
    this.allocators.push({ ledger, renewedAt: this.time, drift, paused: false })
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

  deliver (index: number, fate: 'deliver' | 'drop' | 'repeat'): void {
    const message = this.messages[index % Math.max(1, this.messages.length)]
    if (message === undefined) return
    if (fate !== 'repeat') this.messages.splice(this.messages.indexOf(message), 1)
    if (fate === 'drop') return
    if (message.kind === 'answer') {
      if (this.entries.get(message.to.id) !== message.to) return
      // What has reached a paused process waits in its socket.
      if (message.to.paused) this.messages.push(message)
      else message.to.apply(message.answer, this.time * message.to.drift)
    } else if (message.allocator.paused) {
      this.messages.push(message)
    } else {
      const { ledger, drift } = message.allocator
      const answer = ledger.handle(message.report, this.time * drift)
      this.messages.push({ sentAt: this.time, kind: 'answer', to: message.from, answer })
    }
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
      const paused = message.kind === 'answer' ? message.to.paused : message.allocator.paused
      if (!paused && this.time - message.sentAt > LONGEST_DEADLINE_MS) this.messages.splice(index, 1)
    }
    this.current.ledger.tick(this.time * this.current.drift)
  }

  check (): void {
    for (const { runner, slots } of this.runners) {
      const live = [...this.entries.values()].map((entry) => {
        const expired = this.time * entry.drift >= entry.validUntil
        return expired ? entry.busy(runner) : entry.held.get(runner) ?? 0
      })
      const gone = this.dead.map((entry) => entry.busy(runner))
      const total = [...live, ...gone].reduce((sum, count) => sum + count, 0)
      expect(total, `tokens of ${runner}, live ${live}, of dead entries ${gone}`).to.be.at.most(slots)
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

const index = fc.nat(7)
const command = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('exchange' as const), entry: index, old: fc.nat(5) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('report' as const), entry: index, old: fc.nat(5) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('network' as const), index, fate: fc.constantFrom('deliver' as const, 'deliver' as const, 'deliver' as const, 'drop' as const, 'repeat' as const) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('use' as const), entry: index, runner: fc.nat(1), start: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('demand' as const), entry: index, waiting: fc.constantFrom(0, 3, 30) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('maintain' as const), old: fc.nat(5) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('time' as const), ms: fc.constantFrom(50, 1001, 3000, 11_000, 31_000, RUN_HORIZON_MS / 2, RUN_HORIZON_MS + 15_000, RUN_HORIZON_MS + 90_000) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pauseEntry' as const), entry: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pauseAllocator' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), entry: index }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('takeOver' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('busy' as const), entry: index }) })

type Command = typeof command extends fc.Arbitrary<infer Value> ? Value : never

function run (world: World, step: Command): void {
  const entry = 'entry' in step ? world.entries.get(ENTRIES[step.entry % ENTRIES.length] as string) as Entry : undefined
  // Mostly the current allocator; else an earlier one that does not know it was replaced.
  const allocator = 'old' in step ? world.allocators.at(step.old < 4 ? -1 : 2 - step.old) ?? world.current : world.current
  if (step.kind === 'report' && entry !== undefined) world.send(entry, allocator)
  if (step.kind === 'exchange' && entry !== undefined) world.exchange(entry, allocator)
  if (step.kind === 'network') world.deliver(step.index, step.fate)
  if (step.kind === 'demand' && entry !== undefined) entry.waiting = step.waiting
  if (step.kind === 'maintain') world.maintain(allocator)
  if (step.kind === 'time') world.advance(step.ms)
  if (step.kind === 'pauseEntry' && entry !== undefined) entry.paused = !entry.paused
  if (step.kind === 'pauseAllocator') world.current.paused = !world.current.paused
  if (step.kind === 'restart' && entry !== undefined) world.restart(entry.id)
  if (step.kind === 'takeOver') {
    // The lease of an owner that stopped renewing has run out.
    world.advance(LEASE_MS * DRIFT_MARGIN)
    world.takeOver()
  }
  if (step.kind === 'busy' && entry !== undefined && !entry.paused) {
    for (const runner of RUNNERS) for (let slot = 0; slot < SLOTS; slot++) entry.start(runner, world.time)
  }
  if (step.kind === 'use' && entry !== undefined && !entry.paused) {
    const runner = RUNNERS[step.runner] as string
    if (step.start) entry.start(runner, world.time)
    else entry.finish(runner, world.time)
  }
}

describe('createSlotLedger', () => {
  it('never lets entries hold more tokens than slots, and lends all again after the faults', () => {
    fc.assert(fc.property(fc.array(command, { minLength: 20, maxLength: 120 }), fc.nat(3), (steps, survivor) => {
      const world = new World()
      for (let warmUp = 0; warmUp < 3; warmUp++) world.round()
      for (const step of steps) {
        run(world, step)
        world.check()
      }
      // The faults end: one process of the old allocator may be gone for good, everything else is back.
      world.advance(LEASE_MS * DRIFT_MARGIN)
      world.takeOver()
      for (const allocator of world.allocators) allocator.paused = false
      for (const entry of world.entries.values()) {
        entry.paused = false
        entry.waiting = entry.id === ENTRIES[survivor] ? 100 : 0
      }
      for (let round = 0; round < 45; round++) world.round()
      const busiest = world.entries.get(ENTRIES[survivor] as string) as Entry
      expect(RUNNERS.map((runner) => busiest.held.get(runner))).to.deep.equal(RUNNERS.map(() => SLOTS))
    }), { seed: 20_240_501, numRuns: 500, endOnFailure: false })
  })

  for (const contact of ['whose answer was lost', 'that was answered']) {
    it(`counts no grant of a replaced allocator twice, after a report to the new one ${contact}`, () => {
      const world = new World()
      for (let round = 0; round < 5; round++) world.round()
      const old = world.current
      const [first, second, ...others] = [...world.entries.values()] as [Entry, Entry, ...Entry[]]
      world.advance(LEASE_MS * DRIFT_MARGIN)
      world.takeOver()
      first.waiting = 100
      if (contact === 'that was answered') {
        world.exchange(first, old)
        for (let round = 0; round < 2; round++) world.exchange(first, world.current)
      } else {
        world.send(first, world.current)
        world.deliver(0, 'deliver')
        world.deliver(0, 'drop')
      }
      for (let round = 0; round < 10; round++) {
        world.advance(1100)
        world.exchange(first, old)
        world.exchange(second, old)
      }
      first.waiting = 0
      for (const entry of others) entry.waiting = 100
      for (let round = 0; round < 5; round++) {
        for (const entry of [second, ...others]) world.exchange(entry, world.current)
        world.advance(1100)
        world.check()
      }
    })
  }

  it('waits for the exchanges of an entry that restarts before it lends its tokens to others', () => {
    const world = new World()
    for (let round = 0; round < 5; round++) world.round()
    const [lost, heir] = [...world.entries.values()] as [Entry, Entry]
    for (const runner of RUNNERS) for (let slot = 0; slot < SLOTS; slot++) lost.start(runner, world.time)
    heir.waiting = 100
    world.restart(lost.id)
    for (let round = 0; round < 40; round++) world.round()
    expect(RUNNERS.map((runner) => heir.held.get(runner))).to.deep.equal(RUNNERS.map(() => SLOTS))
  })

  it('gives a successor all entries that may hold tokens', () => {
    const world = new World()
    for (let round = 0; round < 5; round++) world.round()
    world.restart(ENTRIES[0] as string)
    world.advance(LONGEST_DEADLINE_MS + 1000)
    const restarted = world.entries.get(ENTRIES[0] as string) as Entry
    restarted.waiting = 100
    // The allocator dies before it has written the new incarnation to the row.
    for (let round = 0; round < 5; round++) {
      for (const entry of [...world.entries.values()].reverse()) world.exchange(entry, world.current)
      world.advance(1100)
    }
    world.row.renewedAt = world.time - LEASE_MS * DRIFT_MARGIN
    world.takeOver()
    const others = [...world.entries.values()].filter((entry) => entry !== restarted)
    others.forEach((entry) => { entry.waiting = 100 })
    for (let round = 0; round < 60; round++) {
      for (const entry of others) world.exchange(entry, world.current)
      world.advance(1100)
      world.check()
    }
  })

  it('does not apply an answer that reaches a paused entry after its tokens have expired', () => {
    const world = new World()
    for (let round = 0; round < 5; round++) world.round()
    const [paused, ...others] = [...world.entries.values()] as [Entry, ...Entry[]]
    world.send(paused, world.current)
    world.deliver(0, 'deliver')
    paused.paused = true
    others.forEach((entry) => { entry.waiting = 100 })
    world.advance(RUN_HORIZON_MS * DRIFT_MARGIN + LONGEST_DEADLINE_MS)
    for (let round = 0; round < 3; round++) {
      world.maintain(world.current)
      for (const entry of others) world.exchange(entry, world.current)
      world.advance(1100)
    }
    paused.paused = false
    while (world.messages.length > 0) world.deliver(0, 'deliver')
    world.check()
  })
})
