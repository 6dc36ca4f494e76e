import { expect } from 'chai'
import type { ConfigurationIndex } from '@gypsumspring/protocol'
import { Metrics } from '../../metrics/index.ts'
import { createLogger, createComponentLogger, type Logger } from '../../logging/index.ts'
import { makeConfiguration, makeManifest, TestCell } from '../testSupport/TestCell.ts'
import { OperatorApi } from './index.ts'

interface Reply {
  status: number
  body: {
    outcome?: string
    version?: number
    scopeVersion?: number
    expected?: number
    current?: number
    changed?: boolean
    reason?: string
    violations?: Array<{ path: string, value: string, allowed: string }>
    [field: string]: unknown
  }
}

describe('OperatorApi', () => {
  let cell: TestCell
  let logger: Logger
  let apis: OperatorApi[]

  beforeEach(async () => {
    cell = new TestCell()
    await cell.store()
    logger = createLogger({ id: 'e1', logLevel: 'error' })
    apis = []
  })
  afterEach(async () => { await Promise.all(apis.map(async (api) => await api.close())) })

  async function openApi () {
    const api = new OperatorApi({
      context: {
        settings: { id: 'e1' } as never,
        logger,
        metrics: new Metrics(),
        platform: { table: cell.table, objects: cell.objects } as never,
        configuration: { current: cell.configuration, version: 1, subscribe: () => () => {} },
        members: { members: () => [...cell.members.values()], find: () => undefined },
        peers: cell.peers
      },
      readiness: () => ({ ready: true, degraded: [] }),
      describeEntry: () => ({})
    })
    apis.push(api)
    const url = `http://127.0.0.1:${await api.listen(0, '127.0.0.1')}`
    return async (method: string, path: string, content?: unknown): Promise<Reply> => {
      const body = content === undefined || typeof content === 'string' ? content : JSON.stringify(content)
      const response = await fetch(`${url}${path}`, { method, body })
      return { status: response.status, body: await response.json() as Reply['body'] }
    }
  }

  const readIndex = async () => (await cell.table.memory.read('config/current')).unsafeCoerce()?.value as ConfigurationIndex
  const makeChangedManifest = (queueLimit: number, scope = 'demo') => {
    const manifest = makeManifest(['home'], { scope })
    return { ...manifest, endpoints: scope === 'demo' ? [{ ...manifest.endpoints![0]!, queueLimit }] : [] }
  }

  it('accepts one of two concurrent changes based on the same version, and reports both versions for the other', async () => {
    const [first, second] = [await openApi(), await openApi()]
    const replies = await Promise.all([
      first('PUT', '/v1/config/demo?expect=1', makeChangedManifest(10)), second('PUT', '/v1/config/demo?expect=1', makeChangedManifest(20))
    ])
    replies.sort((a, b) => a.status - b.status)
    expect(replies.map(({ status }) => status)).to.deep.equal([200, 409])
    expect(replies[1]?.body).to.include({ outcome: 'conflict', expected: 1, current: 2 })
    expect(await readIndex()).to.deep.include({ version: 2 })
  })

  it('accepts concurrent changes of different scopes', async () => {
    const ask = await openApi()
    const scopes = ['s1', 's2', 's3', 's4', 's5']
    const replies = await Promise.all(scopes.map(async (scope) =>
      await ask('PUT', `/v1/config/${scope}?expect=0`, makeChangedManifest(0, scope))))
    expect(replies.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200, 200])
    expect(await readIndex()).to.have.property('version', 6)
  })

  it('detects that a write took effect although its response was lost, and accepts the same change again', async () => {
    const ask = await openApi()
    cell.table.faults = ['lose-response']
    expect((await ask('PUT', '/v1/config/demo?expect=1', makeChangedManifest(10))).body)
      .to.include({ outcome: 'accepted', version: 2, scopeVersion: 2, changed: true })
    expect((await ask('PUT', '/v1/config/demo?expect=1', makeChangedManifest(10))).body).to.include({ outcome: 'accepted', version: 2 })
    expect(await readIndex()).to.have.property('version', 2)
  })

  it('answers not-run during a store outage, and unknown if the response to a write was lost before', async () => {
    const ask = await openApi()
    cell.table.defaultFault = 'down'
    const refused = await ask('PUT', '/v1/config/demo?expect=1', makeChangedManifest(10))
    expect([refused.status, refused.body.outcome, refused.body.reason]).to.deep.equal([503, 'not-run', 'store-unavailable'])
    cell.table.faults = ['lose-response']
    cell.table.readFaults = ['ok']
    cell.table.defaultReadFault = 'down'
    const unknown = await ask('PUT', '/v1/config/demo?expect=1', makeChangedManifest(20))
    expect([unknown.status, unknown.body.outcome]).to.deep.equal([504, 'unknown'])
  })

  it('keeps drains and cancellations when a new manifest is applied, until it drops their target', async () => {
    const ask = await openApi()
    const drain = '/v1/endpoints/origem/runners/a-home/drain'
    expect((await ask('POST', drain)).body).to.include({ outcome: 'accepted', changed: true })
    expect((await ask('POST', drain)).body).to.include({ outcome: 'accepted', changed: false })
    expect((await ask('POST', '/v1/workloads/index/cancel')).status).to.equal(200)
    expect((await ask('PUT', '/v1/config/demo?expect=1', makeChangedManifest(10))).status).to.equal(200)
    expect((await readIndex()).operations).to.deep.equal({
      drainedRunners: [{ endpoint: 'origem', runner: 'a-home' }], cancelledWorkloads: [{ scope: 'demo', workload: 'index' }]
    })
    expect((await ask('POST', drain.replace(/drain$/, 'undrain'))).status).to.equal(200)
    expect((await ask('PUT', '/v1/config/demo?expect=2', { ...makeChangedManifest(11), workloads: [] })).status).to.equal(200)
    expect((await readIndex()).operations).to.deep.equal({ drainedRunners: [], cancelledWorkloads: [] })
  })

  const invalidRequests = [
    { name: 'no expected version', method: 'PUT', path: '/v1/config/demo', body: makeChangedManifest(1), status: 400, field: 'expect' },
    { name: 'a negative version', method: 'PUT', path: '/v1/config/demo?expect=-1', body: makeChangedManifest(1), status: 400, field: 'expect' },
    { name: 'an empty manifest', method: 'PUT', path: '/v1/config/demo?expect=1', body: '', status: 422, field: '/' },
    { name: 'text that is not a manifest', method: 'PUT', path: '/v1/config/demo?expect=1', body: 'a: [', status: 422, field: '/' },
    { name: 'a number out of range', method: 'PUT', path: '/v1/config/demo?expect=1', body: makeChangedManifest(-1), status: 422, field: '/endpoints/0/queueLimit' },
    { name: 'another scope than the URL\'s', method: 'PUT', path: '/v1/config/other?expect=0', body: makeChangedManifest(1), status: 422, field: '/scope' },
    { name: 'an endpoint of another scope', method: 'PUT', path: '/v1/config/other?expect=0', body: { ...makeChangedManifest(1), scope: 'other' }, status: 422, field: '/endpoints/0/id' },
    { name: 'an unknown endpoint', method: 'POST', path: '/v1/endpoints/x/runners/a-home/drain', status: 404, field: 'endpoint' },
    { name: 'an unknown runner', method: 'POST', path: '/v1/endpoints/origem/runners/x/drain', status: 404, field: 'runner' },
    { name: 'an unknown workload', method: 'POST', path: '/v1/workloads/x/cancel', status: 404, field: 'workload' },
    { name: 'an unknown log level', method: 'PUT', path: '/v1/log-level', body: { level: 'loud' }, status: 400, field: 'level' },
    { name: 'an invalid version in a query', method: 'GET', path: '/v1/inforce?version=x', status: 400, field: 'version' }
  ]
  for (const { name, method, path, body, status, field } of invalidRequests) {
    it(`reports path, value and allowed values for ${name}, and changes nothing`, async () => {
      const reply = await (await openApi())(method, path, body)
      expect(reply.status).to.equal(status)
      expect(reply.body.violations?.[0]).to.have.property('path', field)
      expect(reply.body.violations?.[0]?.allowed).to.be.a('string').that.is.not.empty
      expect(await readIndex()).to.have.property('version', 1)
    })
  }

  it('requires the scope if two scopes declare the workload', async () => {
    cell.configuration = makeConfiguration(makeManifest())
    cell.configuration.index.scopes['other'] = { version: 1, hash: 'other' }
    cell.configuration.manifests['other'] = makeManifest([], { scope: 'other', endpoints: [] })
    await cell.store()
    const ask = await openApi()
    expect((await ask('POST', '/v1/workloads/index/cancel')).body.violations?.[0]).to.have.property('path', 'scope')
    expect((await ask('POST', '/v1/workloads/index/cancel?scope=other')).status).to.equal(200)
  })

  it('returns the newest configuration, or the one in force while the store is down', async () => {
    const ask = await openApi()
    await ask('PUT', '/v1/config/demo?expect=1', makeChangedManifest(10))
    const newest = await ask('GET', '/v1/config')
    expect(newest.body).to.have.nested.property('manifests.demo.endpoints[0].queueLimit', 10)
    cell.table.defaultReadFault = 'down'
    const known = await ask('GET', '/v1/config')
    expect(known.body).to.have.nested.property('manifests.demo.endpoints[0].queueLimit', 200)
    expect(known.body).to.have.property('source', 'in-force')
  })

  it('lists the processes that have not reported a version', async () => {
    cell.join({ id: 'e2', configVersion: 2 }, {})
    cell.join({ id: 'e3', configVersion: 1 }, {})
    const { body } = await (await openApi())('GET', '/v1/inforce?version=2')
    expect(body).to.deep.equal({
      version: 2, inForceEverywhere: false, inForce: ['e2'], missing: [{ id: 'e1', version: 1 }, { id: 'e3', version: 1 }]
    })
  })

  it('returns the explanation of the scheduler that knows the task, and lists unreachable schedulers', async () => {
    cell.join({ id: 'd1', role: 'scheduler' }, { 'shard.explain': ({ task }) => ({ found: task === 'demo/index/0', lines: ['waits'] }) })
    cell.join({ id: 'd2', role: 'scheduler' }, {})
    const ask = await openApi()
    const found = await ask('GET', `/v1/tasks/${encodeURIComponent('demo/index/0')}/explain`)
    expect([found.status, found.body.lines]).to.deep.equal([200, ['waits']])
    const missing = await ask('GET', '/v1/tasks/x/explain')
    expect([missing.status, missing.body.unreachable]).to.deep.equal([404, [{ process: 'd2', reason: 'd2 can\'t be reached' }]])
  })

  it('changes the level of existing loggers', async () => {
    const part = createComponentLogger(logger, 'shard')
    await (await openApi())('PUT', '/v1/log-level', { level: 'warn' })
    expect([logger.level, part.level]).to.deep.equal(['warn', 'warn'])
  })
})
