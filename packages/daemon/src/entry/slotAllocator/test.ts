import type { LeaseRight, SlotReport } from '@gypsumspring/core'
import { expect } from 'chai'
import { Metrics } from '../../metrics/index.ts'
import { FaultyTable, silentLogger } from '../testSupport/index.ts'
import { SlotAllocator } from './index.ts'

const waitForWrites = async () => await new Promise((resolve) => setTimeout(resolve, 5))

describe('SlotAllocator', () => {
  let table: FaultyTable
  let right: LeaseRight
  let allocators: SlotAllocator[]
  let notified: string[]

  beforeEach(() => {
    table = new FaultyTable()
    right = 'decide'
    allocators = []
    notified = []
  })
  afterEach(() => { for (const allocator of allocators) allocator.endTerm() })

  /** Writes the lease row as a takeover does, and starts an allocator for this term. */
  async function start (epoch: number): Promise<SlotAllocator> {
    const allocator = new SlotAllocator({
      failureDomain: 'home',
      table,
      lease: { right: () => right, renewedAt: performance.now() },
      runHorizonMs: 60_000,
      notify: (entry) => { notified.push(entry) },
      metrics: new Metrics(),
      log: silentLogger
    })
    allocators.push(allocator)
    const outcome = await table.memory.transact({ checks: [], writes: [{ kind: 'put', key: 'slots/home', value: { epoch } }] })
    allocator.setRunners([{ endpoint: 'origem', runner: 'a', slots: 8 }])
    await allocator.startTerm({ epoch, rowVersion: outcome.unsafeCoerce().versions[0]! })
    return allocator
  }

  function report (allocator: SlotAllocator, epoch: number, sequence: number, changes: Partial<SlotReport> = {}) {
    return allocator.handleReport({
      entry: 'e1',
      incarnation: '1',
      epoch,
      sequence,
      holdings: [],
      demands: [{ endpoint: 'origem', waiting: 4 }],
      leaving: false,
      ...changes
    })
  }

  const readRegisteredEntries = async () => {
    const row = (await table.memory.read('slots-entries/home')).unsafeCoerce()
    const value = row?.value as { registrations: Array<{ entry: string }> } | undefined
    return value?.registrations.map(({ entry }) => entry) ?? []
  }

  const faults = [
    { name: 'is written', faults: [] },
    { name: 'takes effect but its response is lost', faults: ['lose-response' as const] },
    { name: 'fails at first', faults: ['down' as const] }
  ]
  for (const { name, faults: next } of faults) {
    it(`grants no token before the entry is registered, if the registration ${name}`, async () => {
      const allocator = await start(1)
      table.faults = [...next]
      for (let sequence = 1; ; sequence++) {
        const response = report(allocator, 1, sequence)
        if (response.registered) {
          expect(response.grants.length).to.equal(1)
          break
        }
        expect(response.grants).to.deep.equal([])
        expect(sequence).to.be.below(10)
        await waitForWrites()
      }
      expect(await readRegisteredEntries()).to.deep.equal(['e1'])
    })
  }

  it('does not grant tokens that an entry registered by the previous allocator may hold', async () => {
    const first = await start(1)
    report(first, 1, 1)
    await waitForWrites()
    const held = report(first, 1, 2).grants[0]!.slots - 1
    const second = await start(2)
    report(second, 2, 1, { entry: 'e2' })
    await waitForWrites()
    expect(report(second, 2, 2, { entry: 'e2' }).grants).to.deep.equal([])
    report(second, 2, 3, { holdings: [{ endpoint: 'origem', runner: 'a', held, inUse: 0, avoided: false }], demands: [] })
    expect(report(second, 2, 4, { entry: 'e2' }).grants[0]?.slots).to.equal(8 - held)
  })

  it('writes no registration after another entry has taken over the lease', async () => {
    const first = await start(1)
    await start(2)
    report(first, 1, 1)
    await waitForWrites()
    expect(await readRegisteredEntries()).to.deep.equal([])
    expect(report(first, 1, 2).registered).to.equal(false)
  })

  it('refuses reports without the lease, but answers them while the store is down', async () => {
    const allocator = await start(1)
    report(allocator, 1, 1)
    await waitForWrites()
    right = 'sustain'
    table.defaultFault = 'down'
    expect(report(allocator, 1, 2).registered).to.equal(true)
    right = 'none'
    expect(report(allocator, 1, 3)).to.include({ epoch: 0, registered: false })
  })

  it('notifies the holder of tokens that another entry needs', async () => {
    const allocator = await start(1)
    report(allocator, 1, 1)
    report(allocator, 1, 1, { entry: 'e2', demands: [] })
    await waitForWrites()
    const holdings = [{ endpoint: 'origem', runner: 'a', held: 8, inUse: 0, avoided: false }]
    report(allocator, 1, 2, { holdings, demands: [] })
    await new Promise((resolve) => setTimeout(resolve, 60))
    report(allocator, 1, 2, { entry: 'e2' })
    expect(notified).to.deep.equal(['e1'])
  })

  it('deletes the registrations of entries that have returned all tokens when it hands over', async () => {
    const allocator = await start(1)
    report(allocator, 1, 1)
    report(allocator, 1, 1, { entry: 'e2' })
    await waitForWrites()
    report(allocator, 1, 2, { leaving: true })
    await allocator.handOver()
    expect(await readRegisteredEntries()).to.deep.equal(['e2'])
    expect(report(allocator, 1, 3)).to.include({ epoch: 0 })
  })
})
