import { expect } from 'chai'
import { callControl, servePlatform, serveWorkers, type WorkersServer } from '@gypsumspring/standins'
import type { AttemptStart, WorkerClient, WorkerSession } from '../types.ts'
import { connectPlatform } from '../connectPlatform/index.ts'
import { HttpWorkerConnector } from './index.ts'

const resources = { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 0 }
const attempt: AttemptStart = { task: 't', attempt: 1, resources, leaseMs: 60_000, payload: {} }
const emptyHeartbeat = { renewals: [], leaseMs: 60_000, acknowledge: [] }

describe('HttpWorkerConnector', () => {
  let server: WorkersServer
  let connector: HttpWorkerConnector
  let worker: WorkerClient
  const openSession = async (epoch: number, ttlMs = 60_000): Promise<WorkerSession> => {
    return (await worker.openSession({ shard: 's', epoch, ttlMs, label: `v${epoch}` })).unsafeCoerce()
  }
  const injectFault = (body: object, id = 'worker-0') => callControl(server.url, `workers/${id}/faults`, body)

  beforeEach(async () => {
    server = await serveWorkers({ count: 2 })
    connector = new HttpWorkerConnector({ timeoutMs: 400 })
    worker = connector.connect({ id: 'worker-0', address: server.address })
  })

  afterEach(async () => {
    await connector.close()
    // Clears the timers of running attempts.
    for (const hosted of server.workers.values()) hosted.fail()
    await server.close()
  })

  it('starts, throttles, checkpoints and stops attempts and reports their state', async () => {
    const session = await openSession(1)
    const usage = { ...resources, cpuMillis: 1_700 }
    const starts = ['a', 'b', 'c'].map((task) => ({ ...attempt, task, payload: { usage } }))
    starts[2]!.payload = { usage, fails: true } as never
    expect((await worker.start(session, starts)).unsafeCoerce().results.map(({ state }) => state))
      .to.deep.equal(['running', 'running', 'failed'])
    expect((await worker.throttle(session, { task: 'a', attempt: 1, cpuMillis: 500 })).isRight()).to.equal(true)
    expect((await worker.checkpoint(session, { task: 'a', attempt: 1 })).isRight()).to.equal(true)
    expect((await worker.stop(session, { task: 'b', attempt: 1, graceMs: 10 })).isRight()).to.equal(true)
    const { attempts } = (await worker.heartbeat(session, emptyHeartbeat)).unsafeCoerce()
    expect(attempts.map(({ state }) => state)).to.deep.equal(['checkpointed', 'stopped', 'failed'])
    expect(attempts[2]).to.deep.include({ detail: 'exit code 1', usage })
    expect((await worker.inspect('s')).unsafeCoerce()).to.deep.include({ epoch: 1, label: 'v1', attempts })
    expect((await worker.inspect('never seen')).unsafeCoerce()).to.include({ epoch: 0, label: '' })
  })

  // The port of an odd entry in the list of machines threw an exception.
  for (const address of ['127.0.0.1:99999', '127.0.0.1:-1', '[::1', '127.0.0.1:1/a', '']) {
    it(`answers calls to the address "${address}" as not done`, async () => {
      const client = connector.connect({ id: 'odd', address })
      const opened = await client.openSession({ shard: 's', epoch: 1, ttlMs: 1_000, label: '' })
      for (const outcome of [opened, await client.inspect('s')]) {
        expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'invalid' })
      }
    })
  }

  it('A1: rejects session, heartbeat, start and stop with a lower epoch once a higher one was seen', async () => {
    const staleSession = await openSession(1)
    await openSession(2)
    for (const outcome of [
      await worker.openSession({ shard: 's', epoch: 1, ttlMs: 1, label: '' }), await worker.heartbeat(staleSession, emptyHeartbeat),
      await worker.start(staleSession, [attempt]), await worker.stop(staleSession, { task: 't', attempt: 1, graceMs: 0 })
    ]) expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'stale-epoch' })
    expect(server.records().starts).to.equal(0)
  })

  it('A2: rejects a start in a session that has expired, was replaced or predates a restart of the worker', async () => {
    const expired = await openSession(1, 0)
    expect((await worker.start(expired, [attempt])).extract())
      .to.include({ certainty: 'not-done', reason: 'session-expired' })
    const renewal = await worker.heartbeat(expired, { renewals: [], leaseMs: 1000, acknowledge: [] })
    expect(renewal.extract(), 'a late heartbeat does not renew an expired session').to.include({ reason: 'session-expired' })
    const replaced = await openSession(1)
    await openSession(1)
    expect((await worker.start(replaced, [attempt])).extract()).to.include({ reason: 'session-expired' })
    const beforeRestart = await openSession(1)
    await callControl(server.url, 'workers/worker-0/fail', {})
    await callControl(server.url, 'workers/worker-0/recover', {})
    await openSession(1)
    expect((await worker.start(beforeRestart, [attempt])).extract()).to.include({ reason: 'session-expired' })
    expect(server.records().starts).to.equal(0)
  })

  it('A3: returns the state of a known attempt on a repeated start, even after its end was acknowledged', async () => {
    const session = await openSession(1)
    await injectFault({ loseAnswers: 1 })
    expect((await worker.start(session, [attempt])).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
    await injectFault({ loseAnswers: 0 })
    const repeat = async () => (await worker.start(session, [attempt])).unsafeCoerce().results
    expect(await repeat()).to.deep.equal([{ task: 't', attempt: 1, accepted: true, state: 'running' }])
    await worker.stop(session, { task: 't', attempt: 1, graceMs: 0 })
    await worker.heartbeat(session, { ...emptyHeartbeat, acknowledge: [{ task: 't', attempt: 1 }] })
    expect((await worker.heartbeat(session, emptyHeartbeat)).unsafeCoerce().attempts).to.deep.equal([])
    expect(await repeat()).to.deep.equal([{ task: 't', attempt: 1, accepted: true, state: 'stopped' }])
    expect(server.records()).to.deep.include({ starts: 1, ends: { stopped: 1 } })
  })

  it('stops an attempt whose lease expires although its session is still open', async () => {
    const session = await openSession(1)
    await worker.start(session, [{ ...attempt, leaseMs: 1 }])
    while (server.workers.get('worker-0')!.running.length > 0) await new Promise((resolve) => setTimeout(resolve, 2))
    const { attempts } = (await worker.heartbeat(session, emptyHeartbeat)).unsafeCoerce()
    expect(attempts[0]).to.include({ state: 'stopped', detail: 'lease lapsed' })
  })

  it('runs attempts that wait for a gate until it is opened, and starts later ones as succeeded', async () => {
    const session = await openSession(1)
    const gated = (task: string, gate: string): AttemptStart => ({ ...attempt, task, payload: { gate } })
    const start = async (...starts: AttemptStart[]) =>
      (await worker.start(session, starts)).unsafeCoerce().results.map(({ state }) => state)
    const readStates = async () =>
      (await worker.heartbeat(session, emptyHeartbeat)).unsafeCoerce().attempts.map(({ state }) => state)
    const starts = [gated('a', 'g'), gated('b', 'other gate'), attempt]
    expect(await start(...starts)).to.deep.equal(['running', 'running', 'running'])
    expect(await readStates()).to.deep.equal(['running', 'running', 'running'])
    await callControl(server.url, 'workers/all/open-gate', { gate: 'g' })
    expect(await readStates()).to.deep.equal(['succeeded', 'running', 'running'])
    expect(await start(gated('c', 'g'), gated('d', 'third gate'))).to.deep.equal(['succeeded', 'running'])
    expect(server.records()).to.deep.include({ starts: 5, ends: { succeeded: 2 } })
  })

  it('distinguishes the faults of a worker and does not delay calls to other workers', async () => {
    const other = connector.connect({ id: 'worker-1', address: server.address })
    await injectFault({ down: true })
    expect((await worker.inspect('s')).extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    await callControl(server.url, 'workers/worker-0/fail', {})
    const unansweredCalls = Array.from({ length: 20 }, () => worker.inspect('s'))
    expect((await other.inspect('s')).isRight()).to.equal(true)
    expect((await unansweredCalls[0]!).extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
    expect((await connector.connect({ id: 'nobody', address: server.address }).inspect('s')).extract())
      .to.include({ certainty: 'not-done', reason: 'not-found' })
    await callControl(server.url, 'workers/worker-0/recover', {})
    expect((await worker.inspect('s')).isRight()).to.equal(true)
  })

  it('replaces the client when the address of a worker changes and reuses it otherwise', async () => {
    expect(connector.connect({ id: 'worker-0', address: server.address })).to.equal(worker)
    const moved = connector.connect({ id: 'worker-0', address: '127.0.0.1:1' })
    expect((await moved.inspect('s')).extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    expect((await worker.inspect('s')).extract()).to.include({ certainty: 'not-done', reason: 'closed' })
  })

  it('records double runs and overcommitted workers, and starts attempts that fail on a faulty worker', async () => {
    const session = await openSession(1)
    const second = connector.connect({ id: 'worker-1', address: server.address })
    const opened = (await second.openSession({ shard: 's', epoch: 1, ttlMs: 60_000, label: '' })).unsafeCoerce()
    await worker.start(session, [attempt, { ...attempt, task: 'big', resources: { ...resources, cpuMillis: 15_001 } }])
    await second.start(opened, [{ ...attempt, attempt: 2 }])
    const records = await callControl(server.url, 'records')
    expect(records.doubleRuns).to.deep.equal([{ task: 't', attempt: 2, worker: 'worker-1', alreadyOn: 'worker-0' }])
    expect(records.overcommitments.map(({ worker }: { worker: string }) => worker)).to.deep.equal(['worker-0'])
    await injectFault({ failsEverything: true }, 'worker-1')
    const [result] = (await second.start(opened, [{ ...attempt, task: 'x' }])).unsafeCoerce().results
    expect(result).to.include({ accepted: true, state: 'failed' })
  })

  it('lists workers in the inventory of the platform, including leaving ones', async () => {
    const platformServer = await servePlatform()
    const platform = connectPlatform({ platformUrl: platformServer.url })
    const listed = await serveWorkers({ count: 9, platformUrl: platformServer.url, failureDomain: 'hall' })
    await callControl(listed.url, 'workers/worker-8/leave', {})
    const machines = (await platform.inventory.list()).unsafeCoerce()
    expect(machines.map(({ state }) => state)).to.deep.equal([...Array(8).fill('live'), 'leaving'])
    expect(machines[8]).to.include({ id: 'worker-8', rack: 'hall-rack-1', address: listed.address })
    await Promise.all([listed.close(), platform.close()])
    await platformServer.close()
  })
})
