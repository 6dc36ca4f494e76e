import { done, notDone } from '@gypsumspring/protocol'
import { MemoryObjectStore } from '@gypsumspring/standins'
import { expect } from 'chai'
import { Metrics } from '../../metrics/index.ts'
import type { Peers } from '../../types.ts'
import { sweepOnceRecords } from '../sweepOnceRecords/index.ts'
import { answer, bodyOf, callOf, FaultyTable, openRoute, refused, reset, ScriptedRunners, silent } from '../testSupport/index.ts'
import type { RouteTask } from '../routeTask/index.ts'
import type { CallResult } from '../types.ts'
import { OnceTask } from './index.ts'

const KEY = 'once/demo/origem/r-1'
const DAY_MS = 24 * 3600 * 1000

describe('OnceTask', () => {
  let table: FaultyTable
  let objects: MemoryObjectStore
  let runners: ScriptedRunners
  let entries: Map<string, OnceTask>
  let started: OnceTask[]
  let routes: RouteTask[]

  beforeEach(() => {
    table = new FaultyTable()
    objects = new MemoryObjectStore()
    runners = new ScriptedRunners(() => answer('booked'))
    entries = new Map()
    started = []
    routes = []
  })
  afterEach(async () => {
    await Promise.all(started.map(async (entry) => await entry.close()))
    for (const route of routes) route.close()
  })

  const peers = {
    call: async (address: string, _method: string, params: { key: string, nonce: string }) => {
      const entry = entries.get(address)
      return entry === undefined ? notDone('unavailable', 'no such entry') : done(entry.status(params))
    }
  } as unknown as Peers

  function start (id: string, incarnation = '1'): OnceTask {
    const route = openRoute(runners)
    const entry = new OnceTask({
      table,
      objects,
      peers,
      self: () => ({ id, incarnation, address: id }),
      send: (call, options) => route.submit(call, options),
      metrics: new Metrics(),
      logger: silent
    })
    entries.set(id, entry)
    started.push(entry)
    routes.push(route)
    return entry
  }

  async function ask (entry: OnceTask, changes: Parameters<typeof callOf>[0] = {}): Promise<string> {
    return describeResult(await entry.serve(callOf({ repeatable: false, ...changes })).result)
  }

  function describeResult (result: CallResult): string {
    if (result.kind === 'answered') return Buffer.from(result.answer.body).toString()
    return result.kind === 'not-run' ? `not-run ${result.reason}` : result.kind
  }

  function holdAnswers (): () => void {
    let release: () => void = () => {}
    const gate = new Promise<void>((resolve) => { release = resolve })
    runners.script = () => answer(bodyOf(gate, 'booked'))
    return release
  }

  const settle = async () => await new Promise((resolve) => setTimeout(resolve, 20))

  it('answers repeats at the same and at another entry with the first answer', async () => {
    const [first, second] = [start('e1'), start('e2')]
    expect([await ask(first), await ask(first), await ask(second)]).to.deep.equal(['booked', 'booked', 'booked'])
    expect(runners.sent.length).to.equal(1)
  })

  it('does not run a repeat while the first copy is in flight here or elsewhere', async () => {
    const release = holdAnswers()
    const [first, second] = [start('e1'), start('e2')]
    const running = ask(first)
    await settle()
    expect([await ask(first), await ask(second)]).to.deep.equal(['in-flight', 'in-flight'])
    release()
    expect([await running, await ask(second)]).to.deep.equal(['booked', 'booked'])
    expect(runners.sent.length).to.equal(1)
  })

  it('does not run two copies that reach two entries at the same moment', async () => {
    const results = await Promise.all([ask(start('e1')), ask(start('e2'))])
    expect(runners.sent.length).to.equal(1)
    expect(results).to.include('booked')
  })

  it('sends a request whose claim took effect with its answer lost, once', async () => {
    table.faults = ['lose-answer']
    expect(await ask(start('e1'))).to.equal('booked')
    expect(await ask(start('e2'))).to.equal('booked')
    expect(runners.sent.length).to.equal(1)
  })

  it('sends nothing when the claim stays unknown, and leaves the request to a repeat elsewhere', async () => {
    table.faults = ['lose-answer', 'down']
    const first = start('e1')
    expect(await ask(first, { firstAttempt: true })).to.equal('not-run store-unavailable')
    expect(await ask(start('e2'))).to.equal('booked')
    await settle()
    expect(runners.sent.length).to.equal(1)
    expect((await table.memory.read(KEY)).extract()).to.have.nested.property('value.state', 'done')
  })

  it('takes a claim over that was abandoned, although the abandoning entry can\'t clear it', async () => {
    table.faults = ['lose-answer', 'down']
    const first = start('e1')
    table.reads = 'down'
    await ask(first)
    table.reads = 'ok'
    expect(await table.memory.read(KEY).then((row) => row.extract())).to.have.nested.property('value.entry', 'e1')
    expect(await ask(start('e2'))).to.equal('booked')
  })

  it('refuses at once during a store outage, and knows what it has sent itself', async () => {
    const entry = start('e1')
    runners.script = () => reset
    expect(await ask(entry)).to.equal('unknown')
    table.then = 'down'
    expect(await ask(entry)).to.equal('unknown')
    expect(await ask(entry, { requestId: 'r-2', firstAttempt: true })).to.equal('not-run store-unavailable')
    expect(runners.sent.length).to.equal(1)
  })

  it('does not say "not run" in a store outage of a repeat that may have run at another entry', async () => {
    await ask(start('e1'), { firstAttempt: true })
    table.then = 'down'
    expect(await ask(start('e2'))).to.equal('unknown')
  })

  it('does not say "not run" of a request that has a record which can\'t be read', async () => {
    await ask(start('e1'))
    table.reads = 'down'
    expect(await ask(start('e2'))).to.equal('unknown')
  })

  it('answers unknown for a claim of an entry that has restarted or is gone', async () => {
    holdAnswers()
    ask(start('e1')).catch(() => {})
    await settle()
    expect(await ask(start('e1', '2'))).to.equal('unknown')
    entries.delete('e1')
    expect(await ask(start('e2'))).to.equal('unknown')
    expect(runners.sent.length).to.equal(1)
  })

  it('gives the caller an answer that can\'t be stored, keeps it, and stores it later', async () => {
    const [first, second] = [start('e1'), start('e2')]
    objects.faults.set({ down: true })
    expect([await ask(first), await ask(first)]).to.deep.equal(['booked', 'booked'])
    expect(await ask(second)).to.equal('in-flight')
    objects.faults.clear()
    await first.close()
    expect(await ask(second)).to.equal('booked')
    expect(runners.sent.length).to.equal(1)
  })

  it('marks the record done although the answer of that write is lost', async () => {
    table.faults = ['ok', 'lose-answer']
    const entry = start('e1')
    expect(await ask(entry)).to.equal('booked')
    await entry.close()
    expect(entry.backlog).to.equal(0)
    expect(await ask(start('e2'))).to.equal('booked')
  })

  it('lets a request run that no runner has run before', async () => {
    runners.script = () => refused
    const entry = start('e1')
    expect(await ask(entry)).to.match(/^not-run/)
    runners.script = () => answer('booked')
    expect(await ask(start('e2'))).to.equal('booked')
  })

  it('rejects a request id used for something else', async () => {
    await ask(start('e1'))
    for (const changes of [{ body: 'other' }, { method: 'PUT' }]) {
      expect(await ask(start('e2'), changes)).to.equal('mismatch')
    }
  })

  it('does not send for a caller who left before the claim was written', async () => {
    const call = start('e1').serve(callOf({ repeatable: false }))
    call.abandon()
    expect(describeResult(await call.result)).to.equal('not-run caller-gone')
    expect(runners.sent).to.deep.equal([])
  })

  it('removes records and answers after 24 h, and no younger ones', async () => {
    await ask(start('e1'))
    const now = Date.now()
    expect(await sweepOnceRecords(table, objects, now + DAY_MS - 60_000)).to.equal(0)
    expect(await sweepOnceRecords(table, objects, now + DAY_MS + 120_000)).to.equal(1)
    expect((await table.memory.scan('once')).extract()).to.have.property('length', 1)
    expect((await table.memory.read(KEY)).extract()).to.equal(undefined)
  })
})
