import { expect } from 'chai'
import { traceJob } from './index.ts'

const ID = '5f318347285e22fd'

const line = (time: number, process: string, msg: string, fields: object = {}) =>
  JSON.stringify({ level: 30, time, process, ...fields, msg })

describe('traceJob', () => {
  const log = [
    line(2_400, 'node-2', 'run ended', { job: ID, worker: 'w1', how: 'done' }),
    `  1.0000 node-1 ${line(1_000, 'node-1', 'job accepted', { job: ID })}`,
    line(1_050, 'node-1', 'tasks placed', { job: ID, runs: [{ task: 0, run: 1, worker: 'w1' }] }),
    line(1_060, 'node-1', 'tasks placed', { job: 'ffffffffffffffff', worker: 'w2', run: 1 }),
    line(1_500, 'node-1', 'worker reachability changed', { worker: 'w2', reachable: false }),
    line(1_600, 'node-1', 'worker reachability changed', { worker: 'w1', reachable: false }),
    line(1_700, 'node-1', 'worker has started again under its id', { worker: 'w2', startedAt: 5 }),
    line(1_800, 'node-1', 'worker has started again under its id', { worker: 'w1', startedAt: 6 }),
    line(2_000, 'node-2', 'took the cell over', { token: 2 }),
    line(9_000, 'node-2', 'took the cell over', { token: 3 }),
    'not a log line'
  ]

  it('lists the lines of the job, its workers and the cell owner in order of time', () => {
    expect(traceJob(ID, log)).to.deep.equal([
      '   0.000 s  node-1  job accepted',
      '   0.050 s  node-1  tasks placed  runs=[{"task":0,"run":1,"worker":"w1"}]',
      '   0.600 s  node-1  worker reachability changed  worker=w1  reachable=false',
      '   0.800 s  node-1  worker has started again under its id  worker=w1  startedAt=6',
      '   1.000 s  node-2  took the cell over  token=2',
      '   1.400 s  node-2  run ended  worker=w1  how=done',
      "longest gap: 1.350 s from 0.050 s, between 'tasks placed' and 'run ended'"
    ])
  })

  it('finds refused requests by the job ID in their path', () => {
    const refused = line(5, 'node-1', 'request refused', { path: `/queue/${ID}`, status: 503, reason: 'store-timeout' })
    expect(traceJob(ID, [refused])).to.deep.equal([
      `   0.000 s  node-1  request refused  path=/queue/${ID}  status=503  reason=store-timeout`
    ])
  })

  it('returns no lines for a job that no log line mentions', () => {
    expect(traceJob('0000000000000000', log)).to.deep.equal([])
  })
})
