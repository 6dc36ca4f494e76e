import type { SlotReport, SlotResponse } from '@gypsumspring/core'
import FakeTimers from '@sinonjs/fake-timers'
import { done, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import { expect } from 'chai'
import { Metrics } from '../../metrics/index.ts'
import type { Peers } from '../../types.ts'
import {
  createDispatcher, FaultyTable, hangUntilAborted, makeRequest, makeResponse, ScriptedRunners, silentLogger
} from '../testSupport/index.ts'
import { DomainSlotClient } from './index.ts'

describe('DomainSlotClient', () => {
  let clock: FakeTimers.Clock
  let table: FaultyTable
  let waiting: number
  let reports: Array<{ address: string, report: SlotReport }>
  let reply: (address: string, report: SlotReport) => Outcome<SlotResponse>
  let dispatcher: ReturnType<typeof createDispatcher>
  let client: DomainSlotClient

  beforeEach(async () => {
    clock = FakeTimers.install()
    table = new FaultyTable()
    reports = []
    waiting = 1
    dispatcher = createDispatcher(new ScriptedRunners(() => makeResponse('ok')), 0)
    client = new DomainSlotClient({
      failureDomain: 'home',
      self: { id: 'e1', incarnation: '1' },
      table,
      peers: {
        call: async (address: string, _method: string, report: SlotReport) => {
          reports.push({ address, report })
          return reply(address, report)
        }
      } as unknown as Peers,
      dispatchers: () => new Map([['origem', dispatcher]]),
      demands: () => [{ endpoint: 'origem', waiting }],
      reportLocally: () => { throw new Error('not the allocator') },
      reportMs: 50,
      metrics: new Metrics(),
      log: silentLogger
    })
    await elect('d1', 1)
  })
  afterEach(() => {
    client.close()
    clock.uninstall()
  })

  const elect = async (owner: string, epoch: number) => await table.memory.transact({
    checks: [], writes: [{ kind: 'put', key: 'slots/home', value: { owner, address: owner, epoch } }]
  })
  const grant = (count: number) => (_address: string, { epoch, sequence, holdings }: SlotReport) => done<SlotResponse>({
    epoch,
    sequence,
    registered: true,
    validMs: 60_000,
    releases: [],
    grants: holdings.length > 0 ? [] : [{ endpoint: 'origem', runner: 'a', slots: count }]
  })
  const held = () => dispatcher.listSlotUsage().reduce((sum, use) => sum + use.held, 0)

  it('does not count a grant twice if a response is lost and the report is retried', async () => {
    let lost = 0
    reply = (address, report) => lost++ === 0 ? unknownEffect('timeout', 'lost') : grant(3)(address, report)
    client.scheduleReport()
    await clock.tickAsync(5000)
    expect(held()).to.equal(3)
    expect(new Set(reports.map(({ report }) => report.sequence)).size).to.equal(reports.length)
  })

  it('switches to a new allocator if the old one does not respond, and keeps its tokens meanwhile', async () => {
    reply = grant(3)
    client.scheduleReport()
    await clock.tickAsync(1000)
    reply = (address, report) => address === 'd1' ? unknownEffect('timeout', 'dead') : grant(3)(address, report)
    await clock.tickAsync(1000)
    expect([held(), client.reachable]).to.deep.equal([3, false])
    await elect('d2', 2)
    await clock.tickAsync(3000)
    expect(client.reachable).to.equal(true)
    expect(reports.at(-1)).to.deep.include({ address: 'd2' })
    expect(reports.at(-1)?.report).to.deep.include({ epoch: 2, holdings: [{ endpoint: 'origem', runner: 'a', held: 3, inUse: 0, avoided: false }] })
  })

  it('detects that a paused allocator was replaced although it responds', async () => {
    reply = grant(3)
    client.scheduleReport()
    await clock.tickAsync(1000)
    await elect('d2', 2)
    await clock.tickAsync(5000)
    expect(reports.at(-1)?.address).to.equal('d2')
  })

  it('keeps reporting to the last known allocator while the store is down', async () => {
    reply = grant(3)
    client.scheduleReport()
    await clock.tickAsync(1000)
    table.defaultReadFault = 'down'
    const before = reports.length
    await clock.tickAsync(10_000)
    expect(reports.length).to.be.above(before)
    expect([held(), client.reachable]).to.deep.equal([3, true])
  })

  it('reports at once when notified by the allocator, and otherwise once a second while no requests wait', async () => {
    waiting = 0
    reply = grant(3)
    client.scheduleReport()
    await clock.tickAsync(2000)
    const before = reports.length
    await clock.tickAsync(5000)
    expect(reports.length - before).to.equal(5)
    await clock.tickAsync(500)
    client.notify(1)
    await clock.tickAsync(0)
    expect(reports.length - before).to.equal(6)
  })

  it('holds no token past its validity', async () => {
    reply = grant(3)
    client.scheduleReport()
    await clock.tickAsync(1000)
    reply = () => unknownEffect('timeout', 'cut off')
    await clock.tickAsync(61_000)
    expect(held()).to.equal(0)
  })

  it('reports a token as released only after its exchange has ended', async () => {
    const runners = new ScriptedRunners((_address, request) => hangUntilAborted(request))
    dispatcher = createDispatcher(runners, 0)
    reply = grant(1)
    client.scheduleReport()
    await clock.tickAsync(1000)
    const call = dispatcher.submit(makeRequest({ deadline: performance.now() + 5000 }))
    reply = (_address, { epoch, sequence }) => done({
      epoch, sequence, registered: true, validMs: 60_000, grants: [], releases: [{ endpoint: 'origem', runner: 'a', slots: 1 }]
    })
    await clock.tickAsync(1000)
    expect(reports.at(-1)?.report.holdings).to.deep.equal([{ endpoint: 'origem', runner: 'a', held: 1, inUse: 1, avoided: false }])
    await clock.tickAsync(5000)
    await call.result
    expect(reports.at(-1)?.report.holdings).to.deep.equal([])
    expect(runners.limits.get('a')).to.equal(0)
  })
})
