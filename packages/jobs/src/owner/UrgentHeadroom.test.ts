import { expect } from 'chai'
import type { StepInstance } from '../model/index.ts'
import { makeStep, makeWorker, NOW } from '../placement/_test/makeState.ts'
import type { Step } from '../types.ts'
import { UrgentHeadroom } from './UrgentHeadroom.ts'

/** Capacity of a worker of these tests, in thousandths of a processor. */
const CAPACITY = makeWorker('w').entry.capacity.cpuMillis

const processors = (count: number) => ({ cpuMillis: count * 1_000, memoryMb: 0, accelerators: 0 })

function urgentStep (count: number, changes: Partial<Step> = {}): StepInstance {
  return makeStep({ count, demand: processors(1), ...changes }, { priority: 0 })
}

// Guards against bursts of urgent jobs that find a cell full of less urgent work, and against room that stays unused.
describe('UrgentHeadroom', () => {
  const cases: Array<{ name: string, waiting: StepInstance[], elapsedMs: number, kept: number }> = [
    { name: 'what urgent tasks needed a moment ago', waiting: [urgentStep(2)], elapsedMs: 1_000, kept: 2_000 },
    { name: 'nothing after they were not seen for long', waiting: [urgentStep(2)], elapsedMs: 20_000, kept: 0 },
    { name: 'a quarter of the pool at most', waiting: [urgentStep(1_000)], elapsedMs: 1_000, kept: CAPACITY / 4 },
    { name: 'nothing for less urgent tasks', waiting: [makeStep({ count: 3 }, { priority: 1 })], elapsedMs: 0, kept: 0 },
    { name: 'nothing for long-running tasks', waiting: [urgentStep(3, { longRunning: true })], elapsedMs: 0, kept: 0 }
  ]
  for (const { name, waiting, elapsedMs, kept } of cases) {
    it(`keeps ${name}`, () => {
      const headroom = new UrgentHeadroom()
      const worker = makeWorker('w')
      headroom.computeRest('pool', [worker], waiting, 0, NOW)
      expect(CAPACITY - headroom.computeRest('pool', [worker], [], 0, NOW + elapsedMs)).to.equal(kept)
    })
  }

  it('counts what urgent tasks use now as part of what is kept for them', () => {
    const headroom = new UrgentHeadroom()
    const worker = makeWorker('w')
    const step = urgentStep(2)
    headroom.computeRest('pool', [worker], [step], 0, NOW)
    Object.assign(step.tasks[0]!, { status: 'running', worker: 'w' })
    worker.add(step.tasks[0]!)
    expect(headroom.computeRest('pool', [worker], [step], 0, NOW)).to.equal(CAPACITY - 1_000 - 1_000)
  })
})
