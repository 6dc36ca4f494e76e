import { expect } from 'chai'
import { collectPhases, formatPhases } from './index.ts'

const line = (time: number, msg: string, fields: object) => JSON.stringify({ time, process: 'node-1', ...fields, msg })

const QUICK = [
  line(1_020, 'job accepted', { job: 'a1', queue: 'quick', tookMs: 20 }),
  line(1_150, 'tasks placed', { job: 'a1', step: 'a1.0.0', left: 1, waitedMs: 100 }),
  line(1_250, 'tasks placed', { job: 'a1', step: 'a1.0.0', left: 0, waitedMs: 200 }),
  line(2_050, 'step done', { job: 'a1', step: 'a1.0.0', tookMs: 1_000 }),
  line(2_100, 'job ended', { job: 'a1', queue: 'quick', state: 'completed', ageMs: 1_100 })
]
const FAILED = [line(4_000, 'job ended', { job: 'b2', queue: 'batch', state: 'failed', ageMs: 300 })]
const RUNNING = [line(1_020, 'job accepted', { job: 'c3', queue: 'quick', tookMs: 20 })]

describe('collectPhases', () => {
  const cases: Array<{ name: string, lines: string[], expected: object[] }> = [
    {
      name: 'splits the age of a job into its phases',
      lines: QUICK,
      expected: [{ job: 'a1', accepting: 20, waiting: 200, running: 800, other: 80, ageMs: 1_100 }]
    },
    {
      name: 'counts the whole age of a job without steps as other',
      lines: FAILED,
      expected: [{ job: 'b2', accepting: 0, waiting: 0, running: 0, other: 300, ageMs: 300 }]
    },
    { name: 'leaves out jobs that have not ended, and other text', lines: [...RUNNING, 'no log line'], expected: [] }
  ]
  for (const { name, lines, expected } of cases) {
    it(name, () => {
      const phases = collectPhases(lines).map(({ queue, endedAt, state, ...rest }) => rest)
      expect(phases).to.deep.equal(expected)
    })
  }
})

describe('formatPhases', () => {
  const cases: Array<{ name: string, periodMs?: number, expected: string[] }> = [
    {
      name: 'prints one line for each queue',
      expected: ['batch  0.0  1  0  300  300  0  0  0  300', 'quick  0.0  1  1  1100  1100  20  200  800  80']
    },
    {
      name: 'divides the jobs by the period in which they ended',
      periodMs: 1_000,
      expected: ['batch  1.0  1  0  300  300  0  0  0  300', 'quick  0.0  1  1  1100  1100  20  200  800  80']
    }
  ]
  for (const { name, periodMs, expected } of cases) {
    it(name, () => {
      expect(formatPhases(collectPhases([...QUICK, ...FAILED]), { periodMs }).slice(1)).to.deep.equal(expected)
    })
  }
})
