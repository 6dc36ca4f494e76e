import { expect } from 'chai'
import { callControl, servePlatform, serveWorkers, type WorkersServer } from '@gypsumspring/standins'
import type { AttemptStart, WorkerClient, WorkerSession } from '../types.ts'
import { connectPlatform } from '../connectPlatform/index.ts'
import { HttpWorkerConnector } from './index.ts'

const resources = { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 0 }
const attempt: AttemptStart = { task: 't', attempt: 1, resources, leaseMs: 60_000, payload: {} }
const beat = { renewals: [], leaseMs: 60_000, acknowledge: [] }

describe('HttpWorkerConnector', () => {
  let server: WorkersServer
  let connector: HttpWorkerConnector
  let worker: WorkerClient
  const open = async (epoch: number, ttlMs = 60_000): Promise<WorkerSession> => {
    return (await worker.openSession({ shard: 's', epoch, ttlMs, label: `v${epoch}` })).unsafeCoerce()
  }
  const fault = (body: object, id = 'worker-0') => callControl(server.url, `workers/${id}/faults`, body)

  beforeEach(async () => {
    server = await serveWorkers({ count: 2 })
    connector = new HttpWorkerConnector({ timeoutMs: 400 })
    worker = connector.connect({ id: 'worker-0', address: server.address })
  })

  afterEach(async () => {
    await connector.close()
    // Running attempts have timers.
    for (const hosted of server.workers.values()) hosted.fail()
    await server.close()
  })

  it('runs, reports, throttles, checkpoints and stops attempts', async () => {
    const session = await open(1)
    const usage = { ...resources, cpuMillis: 1_700 }
    const starts = ['a', 'b', 'c'].map((task) => ({ ...attempt, task, payload: { usage } }))
    starts[2]!.payload = { usage, fails: true } as never
    expect((await worker.start(session, starts)).unsafeCoerce().results.map(({ state }) => state))
      .to.deep.equal(['running', 'running', 'failed'])
    expect((await worker.throttle(session, { task: 'a', attempt: 1, cpuMillis: 500 })).isRight()).to.equal(true)
    expect((await worker.checkpoint(session, { task: 'a', attempt: 1 })).isRight()).to.equal(true)
    expect((await worker.stop(session, { task: 'b', attempt: 1, graceMs: 10 })).isRight()).to.equal(true)
    const { attempts } = (await worker.heartbeat(session, beat)).unsafeCoerce()
    expect(attempts.map(({ state }) => state)).to.deep.equal(['checkpointed', 'stopped', 'failed'])
    expect(attempts[2]).to.deep.include({ detail: 'exit code 1', usage })
    expect((await worker.inspect('s')).unsafeCoerce()).to.deep.include({ epoch: 1, label: 'v1', attempts })
    expect((await worker.inspect('never seen')).unsafeCoerce()).to.include({ epoch: 0, label: '' })
  })

  it('A1: a lower epoch is rejected in session, heartbeat, start and stop once a higher one was seen', async () => {
    const old = await open(1)
    await open(2)
    for (const outcome of [
      await worker.openSession({ shard: 's', epoch: 1, ttlMs: 1, label: '' }), await worker.heartbeat(old, beat),
      await worker.start(old, [attempt]), await worker.stop(old, { task: 't', attempt: 1, graceMs: 0 })
    ]) expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'stale-epoch' })
    expect(server.records().starts).to.equal(0)
  })

  it('A2: a start is rejected in a session that has lapsed, was replaced, or is from before a restart', async () => {
    const lapsed = await open(1, 0)
    expect((await worker.start(lapsed, [attempt])).extract())
      .to.include({ certainty: 'not-done', reason: 'session-expired' })
    const renewal = await worker.heartbeat(lapsed, { renewals: [], leaseMs: 1000, acknowledge: [] })
    expect(renewal.extract(), 'a late heartbeat does not revive the session').to.include({ reason: 'session-expired' })
    const replaced = await open(1)
    await open(1)
    expect((await worker.start(replaced, [attempt])).extract()).to.include({ reason: 'session-expired' })
    const before = await open(1)
    await callControl(server.url, 'workers/worker-0/fail', {})
    await callControl(server.url, 'workers/worker-0/recover', {})
    await open(1)
    expect((await worker.start(before, [attempt])).extract()).to.include({ reason: 'session-expired' })
    expect(server.records().starts).to.equal(0)
  })

  it('A3: a repeated start answers the state and starts nothing, also after the end was acknowledged', async () => {
    const session = await open(1)
    await fault({ loseAnswers: 1 })
    expect((await worker.start(session, [attempt])).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
    await fault({ loseAnswers: 0 })
    const repeat = async () => (await worker.start(session, [attempt])).unsafeCoerce().results
    expect(await repeat()).to.deep.equal([{ task: 't', attempt: 1, accepted: true, state: 'running' }])
    await worker.stop(session, { task: 't', attempt: 1, graceMs: 0 })
    await worker.heartbeat(session, { ...beat, acknowledge: [{ task: 't', attempt: 1 }] })
    expect((await worker.heartbeat(session, beat)).unsafeCoerce().attempts).to.deep.equal([])
    expect(await repeat()).to.deep.equal([{ task: 't', attempt: 1, accepted: true, state: 'stopped' }])
    expect(server.records()).to.deep.include({ starts: 1, ends: { stopped: 1 } })
  })

  it('stops an attempt whose lease lapses although its owner goes on', async () => {
    const session = await open(1)
    await worker.start(session, [{ ...attempt, leaseMs: 1 }])
    while (server.workers.get('worker-0')!.running.length > 0) await new Promise((resolve) => setTimeout(resolve, 2))
    const { attempts } = (await worker.heartbeat(session, beat)).unsafeCoerce()
    expect(attempts[0]).to.include({ state: 'stopped', detail: 'lease lapsed' })
  })

  it('tells the faults of one worker apart, and none delays another worker', async () => {
    const other = connector.connect({ id: 'worker-1', address: server.address })
    await fault({ down: true })
    expect((await worker.inspect('s')).extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    await callControl(server.url, 'workers/worker-0/fail', {})
    const dead = Array.from({ length: 20 }, () => worker.inspect('s'))
    expect((await other.inspect('s')).isRight()).to.equal(true)
    expect((await dead[0]!).extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
    expect((await connector.connect({ id: 'nobody', address: server.address }).inspect('s')).extract())
      .to.include({ certainty: 'not-done', reason: 'not-found' })
    await callControl(server.url, 'workers/worker-0/recover', {})
    expect((await worker.inspect('s')).isRight()).to.equal(true)
  })

  it('follows a worker to a new address and keeps the client otherwise', async () => {
    expect(connector.connect({ id: 'worker-0', address: server.address })).to.equal(worker)
    const moved = connector.connect({ id: 'worker-0', address: '127.0.0.1:1' })
    expect((await moved.inspect('s')).extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    expect((await worker.inspect('s')).extract()).to.include({ certainty: 'not-done', reason: 'closed' })
  })

  it('records a task that runs twice, an overcommitted worker, and workers that fail everything', async () => {
    const session = await open(1)
    const second = connector.connect({ id: 'worker-1', address: server.address })
    const opened = (await second.openSession({ shard: 's', epoch: 1, ttlMs: 60_000, label: '' })).unsafeCoerce()
    await worker.start(session, [attempt, { ...attempt, task: 'big', resources: { ...resources, cpuMillis: 15_001 } }])
    await second.start(opened, [{ ...attempt, attempt: 2 }])
    const records = await callControl(server.url, 'records')
    expect(records.doubleRuns).to.deep.equal([{ task: 't', attempt: 2, worker: 'worker-1', alreadyOn: 'worker-0' }])
    expect(records.overcommitments.map(({ worker }: { worker: string }) => worker)).to.deep.equal(['worker-0'])
    await fault({ failsEverything: true }, 'worker-1')
    const [result] = (await second.start(opened, [{ ...attempt, task: 'x' }])).unsafeCoerce().results
    expect(result).to.include({ accepted: true, state: 'failed' })
  })

  it('appears in the list of the platform, also as leaving', async () => {
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
