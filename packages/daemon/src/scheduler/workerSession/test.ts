import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import type { WorkerClient } from '@gypsumspring/adapters'
import type { LeaseRight } from '@gypsumspring/core'
import { MemoryWorker } from '@gypsumspring/standins'
import { pino } from 'pino'
import { Metrics } from '../../metrics/index.ts'
import { CallLimiter } from '../_lib/CallLimiter.ts'
import { WorkerSession, type SessionDelegate } from './index.ts'

const resources = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
const durations = { sessionTtlMs: 60_000, taskLeaseMs: 30_000, runHorizonMs: 60_000, heartbeatMs: 5_000 }

describe('WorkerSession', () => {
  let clock: Clock
  let right: LeaseRight

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
    right = 'decide'
  })

  afterEach(() => clock.uninstall())

  const open = (
    worker: string, client: WorkerClient, limiter: CallLimiter, renewals: Array<{ task: string, attempt: number }> = []
  ): WorkerSession => {
    const delegate: SessionDelegate = {
      right: () => right,
      listRenewals: () => renewals,
      onOpened: () => {},
      onReports: () => {},
      onStarted: () => {},
      onStartFailed: () => {},
      onUnreachable: () => {},
      onFenced: () => {}
    }
    const session = new WorkerSession({
      worker,
      client,
      shard: 's',
      epoch: 1,
      ownedSince: 0,
      label: () => '1',
      durations,
      delegate,
      startLimiter: limiter,
      callLimiter: new CallLimiter(10),
      log: pino({ level: 'silent' }),
      metrics: new Metrics()
    })
    session.open()
    return session
  }

  it('checks the lease again for a start that waited for the limiter, since it may have expired', async () => {
    const limiter = new CallLimiter(1)
    const [slow, waiting] = [new MemoryWorker('w0', resources), new MemoryWorker('w1', resources)]
    const sessions = [open('w0', slow, limiter), open('w1', waiting, limiter)]
    await clock.tickAsync(10)
    slow.faults.set({ delayMs: 3_000 })
    for (const [attempt, session] of sessions.entries()) {
      session.start({ task: 't', attempt, resources, leaseMs: 30_000, payload: {} })
    }
    await clock.tickAsync(1_000)
    right = 'sustain'
    await clock.tickAsync(20_000)
    expect(slow.running, 'sent while the lease was valid').to.have.length(1)
    expect(waiting.running).to.deep.equal([])
    right = 'decide'
    await clock.tickAsync(6_000)
    expect(waiting.running).to.have.length(1)
    for (const session of sessions) session.close()
  })

  const cases = [
    { name: 'with a pending stop', stops: true },
    { name: 'without a pending stop', stops: false }
  ]
  for (const { name, stops } of cases) {
    it(`declares a hanging worker lost ${name}, or its tasks would never be placed elsewhere`, async () => {
      const worker = new MemoryWorker('w0', resources)
      const session = open('w0', worker, new CallLimiter(1), [{ task: 'a', attempt: 1 }])
      await clock.tickAsync(12_000)
      worker.faults.set({ delayMs: 2_000, loseAnswers: 1 })
      if (stops) session.stop({ task: 'a', attempt: 1, checkpoint: false })
      await clock.tickAsync(durations.taskLeaseMs)
      expect(session.isLost(performance.now()), 'while a renewed lease may still be valid').to.equal(false)
      let isLost = false
      for (let ms = 0; ms < durations.taskLeaseMs && !isLost; ms += 100) {
        await clock.tickAsync(100)
        isLost = session.isLost(performance.now())
      }
      expect(isLost).to.equal(true)
      session.close()
    })
  }
})
