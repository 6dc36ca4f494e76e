import { expect } from 'chai'
import { TrackedJob } from '../model/index.ts'
import { createQueue, createStep } from '../standins/index.ts'
import { Cell } from './Cell.ts'

describe('A job that has ended', () => {
  // Guards against tasks in memory until the state of the job is removed, minutes later: a crowd that hands in large
  // jobs and cancels them would exhaust the heap.
  it('keeps only occurrences with tasks that may still run', () => {
    const cell = new Cell(() => undefined, { info: () => {}, warn: () => {} }, {
      count: () => {}, recordDuration: () => {}, set: () => {}
    }, { onChange: () => {}, onDirty: () => {} })
    const spec = { payload: '', steps: [createStep({ count: 2 })], occurrences: 3, firstRunAt: 0, intervalMs: 0 }
    const job = new TrackedJob({ id: 'a', queue: createQueue('batch'), acceptedAt: 0, spec }, 0, 0)
    cell.add(job)
    for (const occurrence of [0, 1, 2]) job.openOccurrence(occurrence, 0)
    job.occurrences.get(1)![0]!.tasks[1]!.status = 'stopping'
    cell.endJob(job, 'cancelled', 'test')
    expect([...job.occurrences.keys()]).to.deep.equal([1])
  })
})
