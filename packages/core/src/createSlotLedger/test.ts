import { expect } from 'chai'
import fc from 'fast-check'
import { DRIFT_MARGIN } from '../constants/index.ts'
import {
  Entry, ENTRIES, LEASE_MS, LONGEST_DEADLINE_MS, RUN_HORIZON_MS, RUNNERS, SLOTS, World
} from './_lib/SlotWorld.test.ts'
import { createSlotLedger } from './index.ts'

const index = fc.nat(7)
const fate = fc.constantFrom('deliver' as const, 'deliver' as const, 'deliver' as const, 'drop' as const, 'repeat' as const)
const ms = fc.constantFrom(
  50, 1001, 3000, 11_000, 31_000, RUN_HORIZON_MS / 2, RUN_HORIZON_MS + 15_000, RUN_HORIZON_MS + 90_000)
const command = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('exchange' as const), entry: index, old: fc.nat(5) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('report' as const), entry: index, old: fc.nat(5) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('network' as const), index, fate }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('lack' as const), entry: index, old: fc.nat(5) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('notice' as const), index, fate }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('use' as const), entry: index, runner: fc.nat(1), start: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('demand' as const), entry: index, waiting: fc.constantFrom(0, 3, 30) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('maintain' as const), old: fc.nat(5) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('time' as const), ms }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pauseEntry' as const), entry: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pauseAllocator' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), entry: index }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('takeOver' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('busy' as const), entry: index }) })

const configuration = fc.record({
  kind: fc.constant('configure' as const), runner: fc.nat(1), slots: fc.constantFrom(0, 1, SLOTS, SLOTS + 2)
})

type Command =
  | (typeof command extends fc.Arbitrary<infer Value> ? Value : never)
  | (typeof configuration extends fc.Arbitrary<infer Value> ? Value : never)

function run (world: World, step: Command): void {
  const entry = 'entry' in step ? world.entries.get(ENTRIES[step.entry % ENTRIES.length] as string) as Entry : undefined
  // Mostly the current allocator; else an earlier one that does not know it was replaced.
  const allocator = 'old' in step ? world.allocators.at(step.old < 4 ? -1 : 2 - step.old) ?? world.current : world.current
  if (step.kind === 'report' && entry !== undefined) world.send(entry, allocator)
  if (step.kind === 'exchange' && entry !== undefined) world.exchange(entry, allocator)
  if (step.kind === 'lack' && entry !== undefined) {
    // Long enough after the last reports for the others to be notified.
    world.advance(60)
    entry.waiting = 30
    world.exchange(entry, allocator)
  }
  if (step.kind === 'notice') world.deliver(step.index, step.fate, (kind) => kind === 'notice')
  if (step.kind === 'network') world.deliver(step.index, step.fate, (kind) => kind !== 'notice')
  if (step.kind === 'demand' && entry !== undefined) entry.waiting = step.waiting
  if (step.kind === 'maintain') world.maintain(allocator)
  if (step.kind === 'time') world.advance(step.ms)
  if (step.kind === 'pauseEntry' && entry !== undefined) entry.paused = !entry.paused
  if (step.kind === 'pauseAllocator') world.current.paused = !world.current.paused
  if (step.kind === 'restart' && entry !== undefined) world.restart(entry.id)
  if (step.kind === 'configure') world.configure(RUNNERS[step.runner] as string, step.slots)
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

/** Runs the steps, ends all faults, and expects that one entry can then use every token. */
function runWithFaults (steps: Command[], survivor: number): void {
  const world = new World()
  for (let warmUp = 0; warmUp < 3; warmUp++) world.round()
  for (const step of steps) {
    run(world, step)
    world.check()
  }
  world.advance(LEASE_MS * DRIFT_MARGIN)
  if (survivor < 2) world.takeOver()
  for (const allocator of world.allocators) allocator.paused = false
  for (const entry of world.entries.values()) {
    entry.paused = false
    entry.waiting = entry.id === ENTRIES[survivor] ? 100 : 0
  }
  for (let round = 0; round < 45; round++) world.round()
  const busiest = world.entries.get(ENTRIES[survivor] as string) as Entry
  const held = RUNNERS.map((runner) => busiest.held.get(runner) ?? 0)
  expect(held).to.deep.equal(RUNNERS.map((runner) => world.runners.find((each) => each.runner === runner)?.slots ?? 0))
}

describe('createSlotLedger', () => {
  it('never lets entries hold more tokens than slots, and lends all again after the faults', () => {
    const schedule = fc.array(command, { minLength: 20, maxLength: 120 })
    fc.assert(fc.property(schedule, fc.nat(3), runWithFaults), { seed: 20_240_501, numRuns: 500 })
  })

  it('follows changes of the runners and their slots under the same faults', () => {
    const steps = fc.oneof({ weight: 15, arbitrary: command }, { weight: 1, arbitrary: configuration })
    const schedule = fc.array(steps, { minLength: 20, maxLength: 120 })
    fc.assert(fc.property(schedule, fc.nat(3), runWithFaults), { seed: 20_240_502, numRuns: 300 })
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
    const restarted = world.entries.get(ENTRIES[0] as string) as Entry
    restarted.waiting = 100
    world.exchange(restarted, world.current)
    world.exchange(restarted, world.current)
    world.advance(LONGEST_DEADLINE_MS + 1000)
    // The allocator dies before it has written the new incarnation to the row.
    for (let round = 0; round < 5; round++) {
      world.exchange(restarted, world.current)
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

  it('does not take a delayed or repeated report for the newest holdings', () => {
    for (const delayed of [true, false]) {
      const world = new World()
      for (let round = 0; round < 5; round++) world.round()
      const [first, ...others] = [...world.entries.values()] as [Entry, ...Entry[]]
      // A token becomes free at the allocator: its holder has given it back.
      first.waiting = 100
      world.exchange(first, world.current)
      if (delayed) world.send(first, world.current)
      world.advance(1100)
      for (const entry of others) world.exchange(entry, world.current)
      for (const entry of others) world.exchange(entry, world.current)
      world.send(first, world.current)
      const newest = world.messages.length - 1
      world.deliver(newest, 'repeat')
      world.deliver(world.messages.length - 1, 'deliver')
      others.forEach((entry) => { entry.waiting = 1000 })
      for (let round = 0; round < 4; round++) {
        // The reports that are still on their way, in the order in which they were sent.
        if (round === 1) while (world.messages.length > 0) world.deliver(0, 'deliver')
        world.advance(1100)
        for (const entry of others) world.exchange(entry, world.current)
        world.check()
      }
    }
  })

  it('ends tokens extended by a replaced allocator before its successor lends them', () => {
    const world = new World()
    for (let round = 0; round < 5; round++) world.round()
    const old = world.current
    const [cutOff, ...others] = [...world.entries.values()] as [Entry, ...Entry[]]
    world.advance(LEASE_MS * DRIFT_MARGIN)
    world.takeOver()
    world.advance(RUN_HORIZON_MS - 60_000)
    for (const entry of others) {
      entry.waiting = 100
      world.exchange(entry, world.current)
    }
    world.exchange(cutOff, old)
    world.advance(RUN_HORIZON_MS * (DRIFT_MARGIN - 1) + 120_000)
    for (let round = 0; round < 5; round++) {
      world.maintain(world.current)
      for (const entry of others) world.exchange(entry, world.current)
      world.advance(1100)
      world.check()
    }
    const lent = others.map((entry) => entry.held.get('r0') ?? 0).reduce((sum, held) => sum + held)
    expect(lent, 'tokens of the entry that was cut off').to.equal(SLOTS)
  })

  describe('takeNotices', () => {
    const setUp = () => {
      const ledger = createSlotLedger({ epoch: 1, registrations: [], renewedAt: 0, runHorizonMs: 60_000 }, 0)
      ledger.setRunners([{ endpoint: 'origem', runner: 'r0', slots: 4 }])
      const report = (entry: string, sequence: number, now: number, held: number, waiting: number) => ledger.handle({
        entry,
        incarnation: '1',
        epoch: 1,
        sequence,
        holdings: held === 0 ? [] : [{ endpoint: 'origem', runner: 'r0', held, inUse: 0, avoided: false }],
        demands: [{ endpoint: 'origem', waiting }],
        leaving: false
      }, now)
      for (const entry of ['holder', 'empty', 'short']) report(entry, 1, 0, 0, 0)
      ledger.confirmRegistrations(ledger.pendingRegistrations() ?? [])
      report('holder', 2, 0, 0, 9)
      report('holder', 3, 1, 4, 0)
      return { ledger, report }
    }

    // Without the notification callers wait for up to a second; with more of them an idle cell is never quiet.
    it('names an entry that holds tokens which another one lacks, once per report interval', () => {
      const { ledger, report } = setUp()
      const named = [20, 60, 100, 120].map((now, index) => {
        report('short', 2 + index, now, 0, 3)
        return ledger.takeNotices()
      })
      expect(named).to.deep.equal([[], ['holder'], [], ['holder']])
    })

    it('names nobody while no request waits, and for a repeated report nobody again', () => {
      const { ledger, report } = setUp()
      report('short', 2, 500, 0, 0)
      expect(ledger.takeNotices()).to.deep.equal([])
      report('short', 3, 600, 0, 3)
      expect(ledger.takeNotices()).to.deep.equal(['holder'])
      report('short', 3, 900, 0, 3)
      expect(ledger.takeNotices()).to.deep.equal([])
    })
  })

  // A ledger with another H than its process would lend tokens of a lost entry too early, or not for half an hour.
  for (const runHorizonMs of [20_000, 1_800_000]) {
    it(`withholds the tokens of a lost entry for the H given, ${runHorizonMs} ms`, () => {
      const ledger = createSlotLedger({ epoch: 1, registrations: [], renewedAt: 0, runHorizonMs }, 0)
      const report = { entry: 'e0', incarnation: '1', epoch: 1, holdings: [], demands: [], leaving: false }
      ledger.handle({ ...report, sequence: 1 }, 0)
      ledger.confirmRegistrations(ledger.pendingRegistrations() ?? [])
      expect(ledger.handle({ ...report, sequence: 2 }, 1000).validMs).to.equal(runHorizonMs - 1000)
      expect(ledger.nextTickAt()).to.equal(1000 + runHorizonMs * 1.03 + LONGEST_DEADLINE_MS)
    })
  }

  for (const [way, rounds] of [['is no longer listed', 40], ['says that it leaves', 6]] as const) {
    it(`lends the tokens of an entry that ${way}`, () => {
      const world = new World()
      for (let round = 0; round < 5; round++) world.round()
      const [gone, heir] = [...world.entries.values()] as [Entry, Entry]
      heir.waiting = 100
      gone.leaving = true
      if (way === 'is no longer listed') {
        // The platform lists a VM until it is gone.
        world.entries.delete(gone.id)
        world.dead.push(gone)
        world.current.ledger.leave(gone.id, world.time * world.current.drift)
      }
      for (let round = 0; round < rounds; round++) world.round()
      expect(RUNNERS.map((runner) => heir.held.get(runner))).to.deep.equal(RUNNERS.map(() => SLOTS))
    })
  }
})
