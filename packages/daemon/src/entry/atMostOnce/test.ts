import { done, notDone } from '@gypsumspring/protocol'
import { MemoryObjectStore } from '@gypsumspring/standins'
import { expect } from 'chai'
import { Metrics } from '../../metrics/index.ts'
import type { Peers } from '../../types.ts'
import { deleteExpiredRecords } from '../deleteExpiredRecords/index.ts'
import {
  connectionRefused, connectionReset, createDispatcher, FaultyTable, makeBody, makeRequest, makeResponse,
  ScriptedRunners, silentLogger
} from '../testSupport/index.ts'
import type { RequestDispatcher } from '../requestDispatcher/index.ts'
import type { RequestResult } from '../types.ts'
import { AtMostOnceHandler } from './index.ts'

const KEY = 'once/demo/origem/r-1'
const DAY_MS = 24 * 3600 * 1000

describe('AtMostOnceHandler', () => {
  let table: FaultyTable
  let objects: MemoryObjectStore
  let runners: ScriptedRunners
  let entries: Map<string, AtMostOnceHandler>
  let started: AtMostOnceHandler[]
  let dispatchers: RequestDispatcher[]

  beforeEach(() => {
    table = new FaultyTable()
    objects = new MemoryObjectStore()
    runners = new ScriptedRunners(() => makeResponse('booked'))
    entries = new Map()
    started = []
    dispatchers = []
  })
  afterEach(async () => {
    await Promise.all(started.map(async (entry) => await entry.close()))
    for (const dispatcher of dispatchers) dispatcher.close()
  })

  const peers = {
    call: async (address: string, _method: string, params: { key: string, nonce: string }) => {
      const entry = entries.get(address)
      return entry === undefined ? notDone('unavailable', 'no such entry') : done(entry.status(params))
    }
  } as unknown as Peers

  function startEntry (id: string, incarnation = '1'): AtMostOnceHandler {
    const dispatcher = createDispatcher(runners)
    const entry = new AtMostOnceHandler({
      table,
      objects,
      peers,
      self: () => ({ id, incarnation, address: id }),
      send: (call, options) => dispatcher.submit(call, options),
      metrics: new Metrics(),
      log: silentLogger
    })
    entries.set(id, entry)
    started.push(entry)
    dispatchers.push(dispatcher)
    return entry
  }

  async function sendRequest (
    entry: AtMostOnceHandler, changes: Parameters<typeof makeRequest>[0] = {}
  ): Promise<string> {
    return describeResult(await entry.serve(makeRequest({ repeatable: false, ...changes })).result)
  }

  function describeResult (result: RequestResult): string {
    if (result.kind === 'answered') return Buffer.from(result.response.body).toString()
    return result.kind === 'not-run' ? `not-run ${result.reason}` : result.kind
  }

  function holdAnswers (): () => void {
    let release: () => void = () => {}
    const gate = new Promise<void>((resolve) => { release = resolve })
    runners.script = () => makeResponse(makeBody(gate, 'booked'))
    return release
  }

  const waitForPendingWork = async () => await new Promise((resolve) => setTimeout(resolve, 20))

  it('answers retries at the same and at another entry with the first response', async () => {
    const [first, second] = [startEntry('e1'), startEntry('e2')]
    expect([await sendRequest(first), await sendRequest(first), await sendRequest(second)]).to.deep.equal(['booked', 'booked', 'booked'])
    expect(runners.sent.length).to.equal(1)
  })

  it('does not run a retry while the first copy is in flight at the same or another entry', async () => {
    const release = holdAnswers()
    const [first, second] = [startEntry('e1'), startEntry('e2')]
    const running = sendRequest(first)
    await waitForPendingWork()
    expect([await sendRequest(first), await sendRequest(second)]).to.deep.equal(['in-flight', 'in-flight'])
    release()
    expect([await running, await sendRequest(second)]).to.deep.equal(['booked', 'booked'])
    expect(runners.sent.length).to.equal(1)
  })

  it('does not run both copies of a request that reach two entries at the same time', async () => {
    const results = await Promise.all([sendRequest(startEntry('e1')), sendRequest(startEntry('e2'))])
    expect(runners.sent.length).to.equal(1)
    expect(results).to.include('booked')
  })

  it('sends a request once if its claim took effect but the response to the write was lost', async () => {
    table.faults = ['lose-response']
    expect(await sendRequest(startEntry('e1'))).to.equal('booked')
    expect(await sendRequest(startEntry('e2'))).to.equal('booked')
    expect(runners.sent.length).to.equal(1)
  })

  it('does not send a request while the effect of its claim is unknown, and lets a retry at another entry run', async () => {
    table.faults = ['lose-response', 'down']
    const first = startEntry('e1')
    expect(await sendRequest(first, { firstAttempt: true })).to.equal('not-run store-unavailable')
    expect(await sendRequest(startEntry('e2'))).to.equal('booked')
    await waitForPendingWork()
    expect(runners.sent.length).to.equal(1)
    expect((await table.memory.read(KEY)).extract()).to.have.nested.property('value.state', 'done')
  })

  it('takes over an abandoned claim even if the abandoning entry can\'t delete it', async () => {
    table.faults = ['lose-response', 'down']
    const first = startEntry('e1')
    table.defaultReadFault = 'down'
    await sendRequest(first)
    table.defaultReadFault = 'ok'
    expect(await table.memory.read(KEY).then((row) => row.extract())).to.have.nested.property('value.entry', 'e1')
    expect(await sendRequest(startEntry('e2'))).to.equal('booked')
  })

  it('refuses requests at once during a store outage, and remembers which it has sent itself', async () => {
    const entry = startEntry('e1')
    runners.script = () => connectionReset
    expect(await sendRequest(entry)).to.equal('unknown')
    table.defaultFault = 'down'
    expect(await sendRequest(entry)).to.equal('unknown')
    expect(await sendRequest(entry, { requestId: 'r-2', firstAttempt: true })).to.equal('not-run store-unavailable')
    expect(runners.sent.length).to.equal(1)
  })

  it('does not answer "not-run" during a store outage for a retry that may have run at another entry', async () => {
    await sendRequest(startEntry('e1'), { firstAttempt: true })
    table.defaultFault = 'down'
    expect(await sendRequest(startEntry('e2'))).to.equal('unknown')
  })

  it('does not answer "not-run" for a request whose record can\'t be read', async () => {
    await sendRequest(startEntry('e1'))
    table.defaultReadFault = 'down'
    expect(await sendRequest(startEntry('e2'))).to.equal('unknown')
  })

  it('answers "unknown" for a claim of an entry that has restarted or is gone', async () => {
    holdAnswers()
    sendRequest(startEntry('e1')).catch(() => {})
    await waitForPendingWork()
    expect(await sendRequest(startEntry('e1', '2'))).to.equal('unknown')
    entries.delete('e1')
    expect(await sendRequest(startEntry('e2'))).to.equal('unknown')
    expect(runners.sent.length).to.equal(1)
  })

  it('passes on a response that can\'t be stored, keeps it in memory, and stores it later', async () => {
    const [first, second] = [startEntry('e1'), startEntry('e2')]
    objects.faults.set({ down: true })
    expect([await sendRequest(first), await sendRequest(first)]).to.deep.equal(['booked', 'booked'])
    expect(await sendRequest(second)).to.equal('in-flight')
    objects.faults.clear()
    await first.close()
    expect(await sendRequest(second)).to.equal('booked')
    expect(runners.sent.length).to.equal(1)
  })

  it('marks the record as done even if the response to that write is lost', async () => {
    table.faults = ['ok', 'lose-response']
    const entry = startEntry('e1')
    expect(await sendRequest(entry)).to.equal('booked')
    await entry.close()
    expect(entry.unfinishedWrites).to.equal(0)
    expect(await sendRequest(startEntry('e2'))).to.equal('booked')
  })

  it('runs a retry if no runner has run the request before', async () => {
    runners.script = () => connectionRefused
    const entry = startEntry('e1')
    expect(await sendRequest(entry)).to.match(/^not-run/)
    runners.script = () => makeResponse('booked')
    expect(await sendRequest(startEntry('e2'))).to.equal('booked')
  })

  it('rejects a request id that was used for a different request', async () => {
    await sendRequest(startEntry('e1'))
    for (const changes of [{ body: 'other' }, { method: 'PUT' }]) {
      expect(await sendRequest(startEntry('e2'), changes)).to.equal('mismatch')
    }
  })

  it('does not send a request whose caller disconnected before the claim was written', async () => {
    const call = startEntry('e1').serve(makeRequest({ repeatable: false }))
    call.abandon()
    expect(describeResult(await call.result)).to.equal('not-run caller-gone')
    expect(runners.sent).to.deep.equal([])
  })

  it('deletes records and responses after 24 h, but not before', async () => {
    await sendRequest(startEntry('e1'))
    const now = Date.now()
    expect(await deleteExpiredRecords(table, objects, now + DAY_MS - 60_000)).to.equal(0)
    expect(await deleteExpiredRecords(table, objects, now + DAY_MS + 120_000)).to.equal(1)
    expect((await table.memory.scan('once')).extract()).to.have.property('length', 1)
    expect((await table.memory.read(KEY)).extract()).to.equal(undefined)
  })
})
