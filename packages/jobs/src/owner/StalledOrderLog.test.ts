import { expect } from 'chai'
import { TrackedJob, type TaskInstance } from '../model/index.ts'
import { makeWorker, NOW } from '../placement/_test/makeState.ts'
import { createQueue, createStep } from '../standins/index.ts'
import { Cell } from './Cell.ts'
import { StalledOrderLog } from './StalledOrderLog.ts'

const NO_METRICS = { count: () => {}, recordDuration: () => {}, set: () => {} }
const JOB = { id: 'a', queue: createQueue('batch'), acceptedAt: 0 }
const TICK_MS = 100

describe('StalledOrderLog', () => {
  const cases: Array<{
    name: string,
    change: (task: TaskInstance) => void,
    /** Changes the task at each tick. */
    update?: (task: TaskInstance) => void,
    tasks?: number,
    durationMs: number,
    lines: Array<Record<string, unknown>>
  }> = [
    { name: 'writes nothing about tasks that wait', change: () => {}, durationMs: 9_000, lines: [] },
    {
      name: 'writes nothing about a short wait',
      change: (task) => { task.status = 'starting' },
      durationMs: 1_900,
      lines: []
    },
    {
      name: 'writes nothing about a task with another run at each check',
      change: (task) => { task.status = 'starting' },
      update: (task) => { task.run++ },
      durationMs: 9_000,
      lines: []
    },
    {
      name: 'tells that the order of a start was not sent',
      change: (task) => Object.assign(task, { status: 'starting', worker: 'w' }),
      durationMs: 3_000,
      lines: [2_000, 3_000].map((forMs) => ({ status: 'starting', forMs, isSent: false, reachable: true }))
    },
    {
      name: 'tells that the worker of a sent order has no session',
      change: (task) => Object.assign(task, { status: 'starting', orderSent: true, worker: 'other' }),
      durationMs: 2_000,
      lines: [{ isSent: true, hasSession: false, reachable: undefined }]
    },
    {
      name: 'tells that a stop was not confirmed',
      change: (task) => Object.assign(task, { status: 'stopping', startedAt: Infinity, worker: 'w' }),
      durationMs: 2_000,
      lines: [{ status: 'stopping', isStopConfirmed: false, hasSession: true }]
    },
    {
      name: 'tells that a confirmed stop has not ended the run',
      change: (task) => Object.assign(task, { status: 'stopping', startedAt: NOW, worker: 'w' }),
      durationMs: 2_000,
      lines: [{ status: 'stopping', isStopConfirmed: true }]
    },
    {
      name: 'writes at most five lines in a check',
      change: (task) => { task.status = 'starting' },
      tasks: 50,
      durationMs: 2_000,
      lines: Array(5).fill({ forMs: 2_000 })
    }
  ]
  for (const { name, change, update = () => {}, tasks = 1, durationMs, lines } of cases) {
    it(name, () => {
      const written: Array<Record<string, unknown>> = []
      const log = { info: () => {}, warn: (fields: Record<string, unknown>) => written.push(fields) }
      const cell = new Cell(() => undefined, log, NO_METRICS, { onChange: () => {}, onDirty: () => {} })
      cell.workers.set('w', makeWorker('w'))
      const spec = {
        payload: '', steps: [createStep({ count: tasks })], occurrences: 0, firstRunAt: 0, intervalMs: 0
      }
      const job = new TrackedJob({ ...JOB, spec }, NOW, 0)
      job.openOccurrence(0, NOW)
      cell.jobs.set(job.id, job)
      for (const task of job.tasks()) change(task)
      const stalled = new StalledOrderLog(cell, { hasSession: (id) => id === 'w', mayRenewLeases: () => true })
      for (let now = NOW; now <= NOW + durationMs; now += TICK_MS) {
        stalled.tick(now)
        for (const task of job.tasks()) update(task)
      }
      expect(written).to.have.length(lines.length)
      for (const [index, fields] of lines.entries()) expect(written[index]).to.include(fields)
    })
  }
})
