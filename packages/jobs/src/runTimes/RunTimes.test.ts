import { expect } from 'chai'
import { TrackedJob, type StepInstance } from '../model/index.ts'
import { makeWorker } from '../placement/_test/makeState.ts'
import { createQueue, createStep, SeededRandom } from '../standins/index.ts'
import type { Step } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import { estimateSlowness } from './estimateSlowness/index.ts'
import { chooseSpeedPreference } from './chooseSpeedPreference/index.ts'
import { RunTimes } from './RunTimes.ts'

const TASKS = 10

/** Run time of the tasks on a worker of mean speed, in ms. */
const WORK_MS = 700

interface Load {
  jobs: number
  /** Work of the tasks of a job, in ms. */
  workMs?: (job: number) => number
  declaredMs?: (workMs: number, random: SeededRandom) => number
  step?: Partial<Step>
  /** Share of the tasks that take 7 times as long, in percent. */
  tailPercent?: number
  /** How much longer a run takes on a worker. */
  factor?: (worker: number) => number
  prepare?: (task: StepInstance['tasks'][number], worker: WorkerState) => void
}

/** Learns from jobs whose tasks run on random workers. */
class Learner {
  readonly runTimes = new RunTimes(true)
  readonly random = new SeededRandom(7)
  readonly workers = Array.from({ length: 12 }, (_, index) => makeWorker(`w${index}`, { labels: [`k${index % 3}`, 'r1'] }))
  #now = 1_000

  run ({
    jobs, workMs = () => WORK_MS, declaredMs = (work) => work, step = {}, tailPercent = 0, factor = () => 1, prepare
  }: Load): void {
    for (let job = 0; job < jobs; job++) {
      const work = workMs(job) * (0.95 + this.random.below(100) / 1_000)
      const tracked = this.createJob({ ...step, count: TASKS, estimatedRunMs: declaredMs(work, this.random) })
      const [instance] = tracked.openOccurrence(0, 0)
      for (const task of instance!.tasks) {
        const worker = this.random.pick(this.workers)
        const noise = 0.9 + this.random.below(200) / 1_000
        const tail = this.random.below(100) < tailPercent ? 7 : 1
        Object.assign(task, { status: 'running', startedAt: this.#now, worker: worker.id })
        prepare?.(task, worker)
        const runMs = work * noise * tail * factor(this.workers.indexOf(worker))
        this.runTimes.recordEnd(worker, task, this.#now + runMs)
      }
      this.runTimes.recordStep(instance!, this.#now)
      this.#now += 1_000
      this.refresh()
    }
  }

  refresh (runTimes = this.runTimes): void {
    runTimes.tick({
      workers: new Map(this.workers.map((worker) => [worker.id, worker])),
      active: new Set(),
      log: { info: () => {}, warn: () => {} },
      metrics: { count: () => {}, recordDuration: () => {}, set: () => {} }
    }, this.#now)
  }

  get slowdowns (): number[] {
    return this.workers.map(({ slowdown }) => slowdown)
  }

  /** Returns the expected run time of a new job, in ms. */
  expect (declaredMs: number, runTimes = this.runTimes): number {
    const job = this.createJob({ estimatedRunMs: declaredMs })
    runTimes.apply(job)
    return job.expectedRunMs(0)
  }

  createJob (step: Partial<Step>): TrackedJob {
    const spec = { payload: '', steps: [createStep(step)], occurrences: 0, firstRunAt: 0, intervalMs: 0 }
    return new TrackedJob({ id: 'a', queue: createQueue('short'), acceptedAt: 0, spec }, 0, 0)
  }
}

const wrongByUpTo90Percent: Load['declaredMs'] = (work, random) => work * (0.1 + random.below(180) / 100)

const offRack: Load = { jobs: 40, step: { preferredRack: 'elsewhere' }, factor: (worker) => worker === 0 ? 3 : 1 }

describe('speeds of workers', () => {
  const neutral: Array<[string, Load]> = [
    // Each deployment with equal workers has to place as before.
    ['workers are equal', { jobs: 60, tailPercent: 3, declaredMs: wrongByUpTo90Percent }],
    ['only runs without their data are slow', offRack],
    ['only gangs are slow', { ...offRack, step: { gang: true } }],
    ['only filler tasks are slow', { ...offRack, step: { fills: true } }],
    ['only long-running tasks are slow', { ...offRack, step: { longRunning: true } }],
    ['only resumed runs differ', { ...offRack, step: {}, prepare: (task) => { task.resumed = true } }],
    ['only runs that were being stopped differ', { ...offRack, step: {}, prepare: (task) => { task.status = 'stopping' } }],
    ['only inherited runs differ', { ...offRack, step: {}, prepare: (task) => { task.inherited = true } }]
  ]
  for (const [when, load] of neutral) {
    it(`are all 1 when ${when}`, () => {
      const learner = new Learner()
      learner.run(load)
      expect(learner.slowdowns).to.deep.equal(learner.workers.map(() => 1))
      expect(learner.runTimes.preferenceOf({
        step: { spec: createStep({}) }, dueAt: 1_000, missedAt: 2_000, pathMs: 700
      }, 'pool', 0)).to.equal(undefined)
    })
  }

  // On the users' platform, the last report before an end tells a progress below 100: no run was ever counted.
  it('are found although the last report shows unfinished tasks', () => {
    const learner = new Learner()
    learner.run({
      jobs: 60, factor: (worker) => worker === 0 ? 3 : 1, prepare: (task) => { task.percent = 97 }
    })
    expect(learner.slowdowns[0]).to.be.within(2.4, 3.6)
  })

  it('are found although declared times are off and some tasks take long', () => {
    const learner = new Learner()
    learner.run({
      jobs: 60,
      tailPercent: 3,
      declaredMs: wrongByUpTo90Percent,
      factor: (worker) => worker % 3 === 0 ? 1 / 1.7 : 1 / 0.7
    })
    for (const [index, slowdown] of learner.slowdowns.entries()) {
      const expected = (index % 3 === 0 ? 1 / 1.7 : 1 / 0.7) * (1.7 + 2 * 0.7) / 3
      expect(slowdown).to.be.within(0.85 * expected, 1.15 * expected)
    }
  })

  it('show one slow worker, which does not spoil the estimate of the work', () => {
    const learner = new Learner()
    learner.run({ jobs: 60, declaredMs: () => 0, factor: (worker) => worker === 0 ? 5 : 1 })
    expect(learner.slowdowns[0]).to.be.within(4, 6)
    expect(learner.slowdowns.slice(1)).to.deep.equal(Array.from({ length: 11 }, () => 1))
    expect(learner.expect(0)).to.be.within(0.85 * WORK_MS, 1.15 * WORK_MS)
  })

  it('of a new worker are those of the workers with its label', () => {
    const samples = Array.from({ length: 30 }, (_, index) => ({
      id: `w${index}`,
      labels: [index % 3 === 0 ? 'b' : 'a', `r${index % 4}`],
      ratios: index === 0 ? [] : Array.from({ length: 10 }, (_, run) => (index % 3 === 0 ? -0.5 : 0.4) + run % 3 * 0.05)
    }))
    const estimates = estimateSlowness(samples)
    expect(estimates.get('w0')!.isClear).to.equal(true)
    expect(estimates.get('w0')!.log).to.be.closeTo(estimates.get('w3')!.log, 0.1)
  })

  const RANGE = { slow: 1.43, fast: 0.6 }
  const preferences: Array<[string, { dueAt: number, missedAt: number, pathMs: number }, Partial<Step>, -1 | 1]> = [
    ['a short step that has little time prefers fast workers', { dueAt: 1_300, missedAt: 4_000, pathMs: 700 }, {}, 1],
    ['a long step that has time prefers slow workers', { dueAt: 18_000, missedAt: 54_000, pathMs: 8_000 }, {}, -1],
    ['a step that is late in any case prefers slow workers', { dueAt: 0, missedAt: 0, pathMs: 700 }, {}, -1],
    ['a long-running step prefers slow workers', { dueAt: 0, missedAt: 0, pathMs: 0 }, { longRunning: true }, -1]
  ]
  for (const [name, schedule, step, sign] of preferences) {
    it(name, () => {
      const preference = chooseSpeedPreference({ step: { spec: createStep(step) }, ...schedule }, RANGE, 0)
      expect(Math.sign(preference!.weight)).to.equal(sign)
    })
  }
})

describe('expected run times', () => {
  const cases: Array<{ name: string, loads: Load[], declaredMs: number, expectedMs: number }> = [
    { name: 'stay as declared without evidence', loads: [], declaredMs: 300, expectedMs: 300 },
    { name: 'stay as declared when that is right', loads: [{ jobs: 20 }], declaredMs: 300, expectedMs: 300 },
    { name: 'are learned when nothing is declared', loads: [{ jobs: 3, declaredMs: () => 0 }], declaredMs: 0, expectedMs: WORK_MS },
    {
      name: 'are learned when declared ones are off, with heavy tails',
      loads: [{ jobs: 40, tailPercent: 3, declaredMs: wrongByUpTo90Percent }],
      declaredMs: 100,
      expectedMs: WORK_MS
    },
    {
      name: 'follow declared ones that are ten times too high',
      loads: [{ jobs: 40, workMs: (job) => WORK_MS * (1 + job % 5), declaredMs: (work) => 10 * work }],
      declaredMs: 20_000,
      expectedMs: 2_000
    },
    {
      // A customer that declares a hundredth of the time would be served first.
      name: 'do not follow a customer that declares false times',
      loads: [{ jobs: 40, declaredMs: (work) => work / 100 }],
      declaredMs: 7,
      expectedMs: WORK_MS
    },
    {
      name: 'are right again 50 runs after the work has grown by a factor of 3',
      loads: [{ jobs: 20, declaredMs: () => 0 }, { jobs: 5, declaredMs: () => 0, workMs: () => 3 * WORK_MS }],
      declaredMs: 0,
      expectedMs: 3 * WORK_MS
    },
    {
      name: 'tell two kinds of work in one queue apart by their declared times',
      loads: [{ jobs: 40, workMs: (job) => job % 2 === 0 ? 400 : 6_400, declaredMs: (work) => work < 1_000 ? 20 : 60 }],
      declaredMs: 60,
      expectedMs: 6_400
    }
  ]
  for (const { name, loads, declaredMs, expectedMs } of cases) {
    it(name, () => {
      const learner = new Learner()
      for (const load of loads) learner.run(load)
      expect(learner.expect(declaredMs)).to.be.within(0.85 * expectedMs, 1.15 * expectedMs)
    })
  }

  it('and speeds are restored from what an earlier owner has stored, in a few bytes', () => {
    const learner = new Learner()
    learner.run({ jobs: 60, declaredMs: wrongByUpTo90Percent, factor: (worker) => worker % 3 === 0 ? 0.6 : 1.4 })
    const text = JSON.stringify(learner.runTimes.snapshot())
    expect(text.length).to.be.below(2_000)
    const next = new RunTimes(true)
    next.restore(JSON.parse(text), 0)
    expect(learner.expect(100, next)).to.be.within(0.85 * WORK_MS, 1.3 * WORK_MS)
    const before = learner.slowdowns
    for (const worker of learner.workers) worker.slowdown = 1
    learner.refresh(next)
    for (const [index, slowdown] of learner.slowdowns.entries()) expect(slowdown).to.be.closeTo(before[index]!, 0.2)
  })

  it('and speeds are as declared when learning is switched off', () => {
    const off = new RunTimes(false)
    const learner = new Learner()
    expect(off.snapshot()).to.equal(undefined)
    expect(learner.expect(0, off)).to.equal(0)
  })
})
