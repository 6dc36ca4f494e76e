import { expect } from 'chai'
import type { CollectedStatus } from './collectStatus/index.ts'
import { makeConfiguration, makeManifest, TestCell, type RunningEntry } from './testSupport/TestCell.ts'
import { hangUntilAborted, makeBody, makeResponse, ScriptedRunners } from './testSupport/index.ts'

const headers = { 'gs-team': 'demo' }
const post = (id: string) => ({ method: 'POST', headers: { ...headers, 'x-request-id': id } })

describe('entry', () => {
  let cell: TestCell
  let runners: ScriptedRunners
  let entries: RunningEntry[]

  beforeEach(() => {
    cell = new TestCell()
    runners = new ScriptedRunners(() => makeResponse('ok'))
    entries = []
  })
  afterEach(async () => { await Promise.all(entries.map(async (entry) => await entry.stop())) })

  async function start (id: string, failureDomain = 'home'): Promise<RunningEntry> {
    const entry = await cell.start(id, runners, failureDomain)
    entries.push(entry)
    return entry
  }

  async function waitUntil (holds: () => boolean | Promise<boolean>): Promise<void> {
    while (!await holds()) await new Promise((resolve) => setTimeout(resolve, 5))
  }

  async function readyz (entry: RunningEntry) {
    return await (await fetch(`${entry.operators}/readyz`)).json() as { ready: boolean, degraded: Array<{ dependency: string }> }
  }

  async function rowsUnder (prefix: string) {
    return (await cell.table.memory.scan(prefix)).unsafeCoerce()
  }

  it('serves a repeatable request without writing records to the store, even while the store is down', async () => {
    const entry = await start('e1')
    expect(await (await fetch(`${entry.callers}/e/origem/x`, { headers })).text()).to.equal('ok')
    expect(await rowsUnder('once')).to.deep.equal([])
    cell.table.defaultFault = 'down'
    cell.table.defaultReadFault = 'down'
    cell.objects.faults.set({ down: true })
    expect(await (await fetch(`${entry.callers}/e/origem/x`, { headers })).text()).to.equal('ok')
    const first = { method: 'POST', headers: { ...headers, 'x-request-id': 'r-1', 'gs-attempt': '1' } }
    const refused = await fetch(`${entry.callers}/e/origem/x`, first)
    expect([refused.status, refused.headers.get('gs-outcome'), refused.headers.get('retry-after')])
      .to.deep.equal([503, 'not-run', '5'])
    await waitUntil(async () => (await readyz(entry)).degraded.some(({ dependency }) => dependency === 'table service'))
    expect((await readyz(entry)).ready).to.equal(true)
  })

  it('refuses requests at once and is not ready if started during a store outage, instead of holding them to the deadline',
    async () => {
      cell.table.defaultFault = 'down'
      cell.table.defaultReadFault = 'down'
      const entry = await start('e1')
      await waitUntil(async () => !(await readyz(entry)).ready)
      const startedAt = performance.now()
      const response = await fetch(`${entry.callers}/e/origem/x`, { headers: { ...headers, 'gs-deadline-ms': '20000' } })
      expect([response.status, response.headers.get('gs-outcome')]).to.deep.equal([503, 'not-run'])
      expect(performance.now() - startedAt, 'a fraction of the deadline').to.be.below(10_000)
    })

  it('runs a request once even if the caller retries it at another entry', async () => {
    const [first, second] = [await start('e1'), await start('e2')]
    for (const entry of [first, second, first]) {
      expect(await (await fetch(`${entry.callers}/e/origem/book`, post('r-1'))).text()).to.equal('ok')
    }
    expect(runners.sent.length).to.equal(1)
  })

  it('never exceeds the slots of a runner, and moves slots to the entry with waiting requests', async () => {
    const inUse = new Map<string, number>()
    let most = 0
    runners.script = async (address) => {
      inUse.set(address, (inUse.get(address) ?? 0) + 1)
      most = Math.max(most, ...inUse.values())
      await new Promise((resolve) => setTimeout(resolve, 10))
      inUse.set(address, (inUse.get(address) ?? 0) - 1)
      return makeResponse('ok')
    }
    const [first, second] = [await start('e1'), await start('e2')]
    const sendRequests = async (entry: RunningEntry, count: number) => await Promise.all(
      Array.from({ length: count }, async () => (await fetch(`${entry.callers}/e/origem/x`, { headers })).status))
    const statuses = await Promise.all([sendRequests(first, 40), sendRequests(second, 40)])
    expect(new Set(statuses.flat())).to.deep.equal(new Set([200]))
    expect(await sendRequests(second, 60)).to.not.include(503)
    expect(most).to.equal(4)
  })

  it('takes tokens of another failure domain only during a shortage in its own', async () => {
    cell = new TestCell(makeConfiguration(makeManifest(['home', 'away'])))
    const [home, away] = [await start('e1', 'home'), await start('e2', 'away')]
    await fetch(`${home.callers}/e/origem/x`, { headers })
    expect(runners.sent.filter(({ address }) => /:1/.test(address))).to.deep.equal([])
    runners.script = (_address, request) => hangUntilAborted(request)
    const deadline = { ...headers, 'gs-deadline-ms': '1500' }
    const waiting = Array.from({ length: 10 }, async () =>
      await fetch(`${home.callers}/e/origem/x`, { headers: deadline }))
    await waitUntil(() => runners.sent.some(({ address }) => /:1/.test(address)))
    await Promise.all(waiting)
    expect(away.context.settings.id).to.equal('e2')
  })

  it('sends no new requests to a drained runner', async () => {
    const entry = await start('e1')
    await fetch(`${entry.callers}/e/origem/x`, { headers })
    const drained = makeConfiguration(makeManifest(), 2)
    drained.index.operations.drainedRunners.push({ endpoint: 'origem', runner: 'a-home' })
    cell.change(drained)
    const before = runners.sent.length
    for (let count = 0; count < 10; count++) await fetch(`${entry.callers}/e/origem/x`, { headers })
    expect(runners.sent.slice(before).map(({ address }) => address)).to.not.include('127.0.0.1:01')
  })

  it('is not ready and runs no request before a configuration is in force', async () => {
    cell.configuration = undefined
    const entry = await start('e1')
    expect((await readyz(entry)).ready).to.equal(false)
    const response = await fetch(`${entry.callers}/e/origem/x`, { headers })
    expect([response.status, response.headers.get('gs-outcome')]).to.deep.equal([503, 'not-run'])
  })

  it('fails readiness, completes a streamed response, and releases tokens and lease when it is stopped', async () => {
    let release: () => void = () => {}
    const gate = new Promise<void>((resolve) => { release = resolve })
    const entry = await start('e1')
    const other = await start('e2')
    runners.script = () => makeResponse(makeBody(new Uint8Array(1_100_000), gate, 'end'))
    const response = await fetch(`${entry.callers}/e/origem/x`, { headers })
    entries = [other]
    const stopped = entry.stop()
    await waitUntil(async () => !(await readyz(entry)).ready)
    await waitUntil(async () => await fetch(`${entry.callers}/e/origem/nothing`).then(() => false, () => true))
    release()
    expect((await response.arrayBuffer()).byteLength).to.equal(1_100_003)
    await stopped
    const [renewal] = await rowsUnder('slots-renewal/home')
    expect(renewal?.value).to.have.property('released', true)
    const [registered] = await rowsUnder('slots-entries/home')
    const { registrations } = registered?.value as { registrations: Array<{ entry: string }> }
    expect(registrations.map(({ entry }) => entry)).to.deep.equal(['e2'])
  })

  it('frees the slot of a caller that stops reading its response', async () => {
    const entry = await start('e1')
    runners.script = () => makeResponse(makeBody(...Array.from({ length: 20 }, () => new Uint8Array(1_000_000))))
    const response = await fetch(`${entry.callers}/e/origem/x`, { headers: { ...headers, 'gs-deadline-ms': '300' } })
    expect(response.status).to.equal(200)
    const readInFlight = async () => {
      const status = await (await fetch(`${entry.operators}/v1/status`)).json() as { entry: { endpoints: Array<{ inFlight: number }> } }
      return status.entry.endpoints[0]?.inFlight
    }
    expect(await readInFlight()).to.equal(1)
    await waitUntil(async () => await readInFlight() === 0)
    const outcome = await response.arrayBuffer().then(() => 'whole', () => 'broken')
    expect(outcome).to.equal('broken')
  })

  it('completes a non-repeatable request and stores its response when stopped after the caller has disconnected', async () => {
    let release: () => void = () => {}
    const gate = new Promise<void>((resolve) => { release = resolve })
    runners.script = () => makeResponse(makeBody(gate, 'booked'))
    const entry = await start('e1')
    const controller = new AbortController()
    const asked = fetch(`${entry.callers}/e/origem/x`, { ...post('r-1'), signal: controller.signal }).catch(() => {})
    await waitUntil(() => runners.sent.length === 1)
    controller.abort()
    await asked
    entries = []
    const stopped = entry.stop()
    release()
    await stopped
    const [row] = await rowsUnder('once/')
    expect(row?.value).to.have.property('state', 'done')
  })

  it('reports the shards of reachable schedulers, and lists the schedulers that are unreachable', async () => {
    const shard = { shard: 's1', owner: 'd1', epoch: 2, state: 'deciding', configVersion: 1, workers: { reachable: 1, unreachable: 0, excluded: 0 }, tasks: [] }
    cell.join({ id: 'd1', role: 'scheduler' }, { 'shard.status': () => ({ shards: [shard] }) })
    cell.join({ id: 'd2', role: 'scheduler' }, {})
    const entry = await start('e1')
    const status = await (await fetch(`${entry.operators}/v1/status`)).json() as CollectedStatus
    expect(status.shards).to.deep.equal([shard])
    expect(status.unreachable.map(({ process }) => process)).to.deep.equal(['d2'])
  })
})
