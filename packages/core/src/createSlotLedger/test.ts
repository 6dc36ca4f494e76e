import { expect } from 'chai'
import fc from 'fast-check'
import { DRIFT_MARGIN } from '../constants/index.ts'
import {
  ENTRIES, LEASE_MS, LONGEST_DEADLINE_MS, RUN_HORIZON_MS, RUNNERS, SimulatedEntry, SLOTS, SlotSimulation
} from './_lib/SlotSimulation.test.ts'
import { createSlotLedger } from './index.ts'

const index = fc.nat(7)
const delivery = fc.constantFrom(
  'deliver' as const, 'deliver' as const, 'deliver' as const, 'drop' as const, 'repeat' as const)
const ms = fc.constantFrom(
  50, 1001, 3000, 11_000, 31_000, RUN_HORIZON_MS / 2, RUN_HORIZON_MS + 15_000, RUN_HORIZON_MS + 90_000)
const command = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('exchange' as const), entry: index, old: fc.nat(5) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('report' as const), entry: index, old: fc.nat(5) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('network' as const), index, delivery }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('shortage' as const), entry: index, old: fc.nat(5) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('notification' as const), index, delivery }) },
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

function run (simulation: SlotSimulation, step: Command): void {
  const entry = 'entry' in step
    ? simulation.entries.get(ENTRIES[step.entry % ENTRIES.length] as string) as SimulatedEntry
    : undefined
  // Mostly the current allocator, otherwise an earlier one that has not noticed its replacement.
  const allocator = 'old' in step
    ? simulation.allocators.at(step.old < 4 ? -1 : 2 - step.old) ?? simulation.current
    : simulation.current
  if (step.kind === 'report' && entry !== undefined) simulation.send(entry, allocator)
  if (step.kind === 'exchange' && entry !== undefined) simulation.exchange(entry, allocator)
  if (step.kind === 'shortage' && entry !== undefined) {
    // Long enough after the last reports that the other entries are notified.
    simulation.advance(60)
    entry.waiting = 30
    simulation.exchange(entry, allocator)
  }
  if (step.kind === 'notification') simulation.deliver(step.index, step.delivery, (kind) => kind === 'notification')
  if (step.kind === 'network') simulation.deliver(step.index, step.delivery, (kind) => kind !== 'notification')
  if (step.kind === 'demand' && entry !== undefined) entry.waiting = step.waiting
  if (step.kind === 'maintain') simulation.maintain(allocator)
  if (step.kind === 'time') simulation.advance(step.ms)
  if (step.kind === 'pauseEntry' && entry !== undefined) entry.paused = !entry.paused
  if (step.kind === 'pauseAllocator') simulation.current.paused = !simulation.current.paused
  if (step.kind === 'restart' && entry !== undefined) simulation.restart(entry.id)
  if (step.kind === 'configure') simulation.configure(RUNNERS[step.runner] as string, step.slots)
  if (step.kind === 'takeOver') {
    // Lets the lease of the owner expire.
    simulation.advance(LEASE_MS * DRIFT_MARGIN)
    simulation.takeOver()
  }
  if (step.kind === 'busy' && entry !== undefined && !entry.paused) {
    for (const runner of RUNNERS) for (let slot = 0; slot < SLOTS; slot++) entry.start(runner, simulation.time)
  }
  if (step.kind === 'use' && entry !== undefined && !entry.paused) {
    const runner = RUNNERS[step.runner] as string
    if (step.start) entry.start(runner, simulation.time)
    else entry.finish(runner, simulation.time)
  }
}

/** Runs the steps, checks the limits after each, ends all faults and expects that one entry then gets every token. */
function runWithFaults (steps: Command[], survivor: number): void {
  const simulation = new SlotSimulation()
  for (let warmUp = 0; warmUp < 3; warmUp++) simulation.runRound()
  for (const step of steps) {
    run(simulation, step)
    simulation.checkLimits()
  }
  simulation.advance(LEASE_MS * DRIFT_MARGIN)
  if (survivor < 2) simulation.takeOver()
  for (const allocator of simulation.allocators) allocator.paused = false
  for (const entry of simulation.entries.values()) {
    entry.paused = false
    entry.waiting = entry.id === ENTRIES[survivor] ? 100 : 0
  }
  for (let round = 0; round < 45; round++) simulation.runRound()
  const busiest = simulation.entries.get(ENTRIES[survivor] as string) as SimulatedEntry
  const held = RUNNERS.map((runner) => busiest.held.get(runner) ?? 0)
  const slots = RUNNERS.map((runner) => simulation.runners.find((each) => each.runner === runner)?.slots ?? 0)
  expect(held).to.deep.equal(slots)
}

describe('createSlotLedger', () => {
  it('never lets entries hold more tokens than slots, and grants all tokens again after the faults', () => {
    const schedule = fc.array(command, { minLength: 20, maxLength: 120 })
    fc.assert(fc.property(schedule, fc.nat(3), runWithFaults), { seed: 20_240_501, numRuns: 500 })
  })

  it('applies changes of the runners and their slots under the same faults', () => {
    const steps = fc.oneof({ weight: 15, arbitrary: command }, { weight: 1, arbitrary: configuration })
    const schedule = fc.array(steps, { minLength: 20, maxLength: 120 })
    fc.assert(fc.property(schedule, fc.nat(3), runWithFaults), { seed: 20_240_502, numRuns: 300 })
  })

  for (const contact of ['whose response was lost', 'that was answered']) {
    it(`counts no grant of a replaced allocator twice, after a report to the new one ${contact}`, () => {
      const simulation = new SlotSimulation()
      for (let round = 0; round < 5; round++) simulation.runRound()
      const old = simulation.current
      const [first, second, ...others] =
        [...simulation.entries.values()] as [SimulatedEntry, SimulatedEntry, ...SimulatedEntry[]]
      simulation.advance(LEASE_MS * DRIFT_MARGIN)
      simulation.takeOver()
      first.waiting = 100
      if (contact === 'that was answered') {
        simulation.exchange(first, old)
        for (let round = 0; round < 2; round++) simulation.exchange(first, simulation.current)
      } else {
        simulation.send(first, simulation.current)
        simulation.deliver(0, 'deliver')
        simulation.deliver(0, 'drop')
      }
      for (let round = 0; round < 10; round++) {
        simulation.advance(1100)
        simulation.exchange(first, old)
        simulation.exchange(second, old)
      }
      first.waiting = 0
      for (const entry of others) entry.waiting = 100
      for (let round = 0; round < 5; round++) {
        for (const entry of [second, ...others]) simulation.exchange(entry, simulation.current)
        simulation.advance(1100)
        simulation.checkLimits()
      }
    })
  }

  it('waits for the exchanges of an entry that restarts before it grants its tokens to others', () => {
    const simulation = new SlotSimulation()
    for (let round = 0; round < 5; round++) simulation.runRound()
    const [restarted, other] = [...simulation.entries.values()] as [SimulatedEntry, SimulatedEntry]
    for (const runner of RUNNERS) for (let slot = 0; slot < SLOTS; slot++) restarted.start(runner, simulation.time)
    other.waiting = 100
    simulation.restart(restarted.id)
    for (let round = 0; round < 40; round++) simulation.runRound()
    expect(RUNNERS.map((runner) => other.held.get(runner))).to.deep.equal(RUNNERS.map(() => SLOTS))
  })

  it('grants no tokens to an incarnation that is not registered, which a successor would not know of', () => {
    const simulation = new SlotSimulation()
    for (let round = 0; round < 5; round++) simulation.runRound()
    simulation.restart(ENTRIES[0] as string)
    const restarted = simulation.entries.get(ENTRIES[0] as string) as SimulatedEntry
    restarted.waiting = 100
    simulation.exchange(restarted, simulation.current)
    simulation.exchange(restarted, simulation.current)
    simulation.advance(LONGEST_DEADLINE_MS + 1000)
    // The allocator fails before it has written the new incarnation to the row.
    for (let round = 0; round < 5; round++) {
      simulation.exchange(restarted, simulation.current)
      simulation.advance(1100)
    }
    simulation.row.renewedAt = simulation.time - LEASE_MS * DRIFT_MARGIN
    simulation.takeOver()
    const others = [...simulation.entries.values()].filter((entry) => entry !== restarted)
    others.forEach((entry) => { entry.waiting = 100 })
    for (let round = 0; round < 60; round++) {
      for (const entry of others) simulation.exchange(entry, simulation.current)
      simulation.advance(1100)
      simulation.checkLimits()
    }
  })

  it('does not apply a response that reaches a paused entry after its tokens have expired', () => {
    const simulation = new SlotSimulation()
    for (let round = 0; round < 5; round++) simulation.runRound()
    const [paused, ...others] = [...simulation.entries.values()] as [SimulatedEntry, ...SimulatedEntry[]]
    simulation.send(paused, simulation.current)
    simulation.deliver(0, 'deliver')
    paused.paused = true
    others.forEach((entry) => { entry.waiting = 100 })
    simulation.advance(RUN_HORIZON_MS * DRIFT_MARGIN + LONGEST_DEADLINE_MS)
    for (let round = 0; round < 3; round++) {
      simulation.maintain(simulation.current)
      for (const entry of others) simulation.exchange(entry, simulation.current)
      simulation.advance(1100)
    }
    paused.paused = false
    while (simulation.messages.length > 0) simulation.deliver(0, 'deliver')
    simulation.checkLimits()
  })

  it('does not treat a delayed or repeated report as the latest holdings', () => {
    for (const delayed of [true, false]) {
      const simulation = new SlotSimulation()
      for (let round = 0; round < 5; round++) simulation.runRound()
      const [first, ...others] = [...simulation.entries.values()] as [SimulatedEntry, ...SimulatedEntry[]]
      // The other entries release tokens, which become free at the allocator.
      first.waiting = 100
      simulation.exchange(first, simulation.current)
      if (delayed) simulation.send(first, simulation.current)
      simulation.advance(1100)
      for (const entry of others) simulation.exchange(entry, simulation.current)
      for (const entry of others) simulation.exchange(entry, simulation.current)
      simulation.send(first, simulation.current)
      const newest = simulation.messages.length - 1
      simulation.deliver(newest, 'repeat')
      simulation.deliver(simulation.messages.length - 1, 'deliver')
      others.forEach((entry) => { entry.waiting = 1000 })
      for (let round = 0; round < 4; round++) {
        // Delivers the reports that are still in transit in the order in which they were sent.
        if (round === 1) while (simulation.messages.length > 0) simulation.deliver(0, 'deliver')
        simulation.advance(1100)
        for (const entry of others) simulation.exchange(entry, simulation.current)
        simulation.checkLimits()
      }
    }
  })

  it('lets tokens that a replaced allocator has extended expire before its successor grants them', () => {
    const simulation = new SlotSimulation()
    for (let round = 0; round < 5; round++) simulation.runRound()
    const old = simulation.current
    const [cutOff, ...others] = [...simulation.entries.values()] as [SimulatedEntry, ...SimulatedEntry[]]
    simulation.advance(LEASE_MS * DRIFT_MARGIN)
    simulation.takeOver()
    simulation.advance(RUN_HORIZON_MS - 60_000)
    for (const entry of others) {
      entry.waiting = 100
      simulation.exchange(entry, simulation.current)
    }
    simulation.exchange(cutOff, old)
    simulation.advance(RUN_HORIZON_MS * (DRIFT_MARGIN - 1) + 120_000)
    for (let round = 0; round < 5; round++) {
      simulation.maintain(simulation.current)
      for (const entry of others) simulation.exchange(entry, simulation.current)
      simulation.advance(1100)
      simulation.checkLimits()
    }
    const granted = others.map((entry) => entry.held.get('r0') ?? 0).reduce((sum, held) => sum + held)
    expect(granted, 'tokens held by other entries after those of the cut-off entry have expired').to.equal(SLOTS)
  })

  describe('takeNotifications', () => {
    const setUp = () => {
      const ledger = createSlotLedger({ epoch: 1, registrations: [], renewedAt: 0, runHorizonMs: 60_000 }, 0)
      ledger.setRunners([{ endpoint: 'origem', runner: 'r0', slots: 4 }])
      const report = (
        entry: string, sequence: number, now: number, held: number, waiting: number
      ) => ledger.handleReport({
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

    // Without notifications callers would wait for up to a second; more notifications would keep an idle cell busy.
    it('notifies an entry that holds tokens which another one lacks, once per report interval', () => {
      const { ledger, report } = setUp()
      const notified = [20, 60, 100, 120].map((now, index) => {
        report('short', 2 + index, now, 0, 3)
        return ledger.takeNotifications()
      })
      expect(notified).to.deep.equal([[], ['holder'], [], ['holder']])
    })

    it('notifies no entry while no request waits, and none again for a repeated report', () => {
      const { ledger, report } = setUp()
      report('short', 2, 500, 0, 0)
      expect(ledger.takeNotifications()).to.deep.equal([])
      report('short', 3, 600, 0, 3)
      expect(ledger.takeNotifications()).to.deep.equal(['holder'])
      report('short', 3, 900, 0, 3)
      expect(ledger.takeNotifications()).to.deep.equal([])
    })
  })

  // With a run horizon other than that of its process, a ledger would grant the tokens of a failed entry too early, or
  // withhold them for half an hour.
  for (const runHorizonMs of [20_000, 1_800_000]) {
    it(`withholds the tokens of a failed entry for the given run horizon of ${runHorizonMs} ms`, () => {
      const ledger = createSlotLedger({ epoch: 1, registrations: [], renewedAt: 0, runHorizonMs }, 0)
      const report = { entry: 'e0', incarnation: '1', epoch: 1, holdings: [], demands: [], leaving: false }
      ledger.handleReport({ ...report, sequence: 1 }, 0)
      ledger.confirmRegistrations(ledger.pendingRegistrations() ?? [])
      expect(ledger.handleReport({ ...report, sequence: 2 }, 1000).validMs).to.equal(runHorizonMs - 1000)
      expect(ledger.nextTickAt()).to.equal(1000 + runHorizonMs * 1.03 + LONGEST_DEADLINE_MS)
    })
  }

  for (const [way, rounds] of [['is no longer listed', 40], ['reports that it is leaving', 6]] as const) {
    it(`grants the tokens of an entry that ${way} to others`, () => {
      const simulation = new SlotSimulation()
      for (let round = 0; round < 5; round++) simulation.runRound()
      const [leaving, other] = [...simulation.entries.values()] as [SimulatedEntry, SimulatedEntry]
      other.waiting = 100
      leaving.leaving = true
      if (way === 'is no longer listed') {
        // The platform lists a VM until it no longer exists.
        simulation.entries.delete(leaving.id)
        simulation.stoppedEntries.push(leaving)
        simulation.current.ledger.recordEntryRemoval(leaving.id, simulation.time * simulation.current.drift)
      }
      for (let round = 0; round < rounds; round++) simulation.runRound()
      expect(RUNNERS.map((runner) => other.held.get(runner))).to.deep.equal(RUNNERS.map(() => SLOTS))
    })
  }
})
