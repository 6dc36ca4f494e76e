import { expect } from 'chai'
import type { TaskInstance } from '../model/index.ts'
import type { Queue, Step } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import { makeStep, makeWorker, NOW } from './_test/makeState.ts'
import { chooseFailureDomain } from './chooseFailureDomain/index.ts'
import { chooseWorker } from './chooseWorker/index.ts'
import { countRoom } from './countRoom/index.ts'
import { selectAdviceCandidates } from './selectAdviceCandidates/index.ts'
import { orderSteps } from './orderSteps/index.ts'
import { computeFillerPace } from './computeFillerPace/index.ts'

function occupy (worker: WorkerState, changes: Partial<Step>): WorkerState {
  worker.add(makeStep(changes).tasks[0]!)
  return worker
}

const demand = (cpuMillis: number, memoryMb = 100, accelerators = 0) => ({ cpuMillis, memoryMb, accelerators })

describe('chooseWorker', () => {
  const cases: Array<{
    name: string,
    step?: Partial<Step>,
    workers: () => WorkerState[],
    prepare?: (task: TaskInstance) => void,
    chosen: string | undefined
  }> = [
    {
      name: 'prefers the worker with the least free resources, so that large tasks still find room',
      workers: () => [makeWorker('empty'), occupy(makeWorker('half'), { demand: demand(4000, 4000) })],
      chosen: 'half'
    },
    {
      name: 'prefers the failure domain that the tasks of the step share',
      prepare: ({ step }) => { step.failureDomain = 'b' },
      workers: () => [
        occupy(makeWorker('elsewhere'), { demand: demand(2000, 2000) }), makeWorker('shared', { failureDomain: 'b' })
      ],
      chosen: 'shared'
    },
    {
      name: 'does not exceed the processors of a worker',
      step: { demand: demand(5000) },
      workers: () => [occupy(makeWorker('half'), { demand: demand(4000) })],
      chosen: undefined
    },
    {
      name: 'does not exceed the accelerators of a worker',
      step: { demand: demand(1000, 100, 2) },
      workers: () => [makeWorker('one')],
      chosen: undefined
    },
    {
      name: 'counts the memory of filler tasks, but not their CPU demand',
      step: { demand: demand(7000) },
      workers: () => [occupy(makeWorker('filled'), { demand: demand(6000), fills: true })],
      chosen: 'filled'
    },
    {
      name: 'avoids workers that are draining, unregistered or unreachable, or have not answered a poll yet',
      workers: () => [
        makeWorker('draining', { draining: true }), makeWorker('unlisted', {}, { unlistedSince: 1 }),
        makeWorker('silent', {}, { reachable: false }), makeWorker('new', {}, { hasAnswered: false })
      ],
      chosen: undefined
    },
    {
      name: 'chooses only workers with the required label',
      step: { requiredLabel: 'large' },
      workers: () => [makeWorker('small'), makeWorker('large', { labels: ['large', 'r1'] })],
      chosen: 'large'
    },
    {
      name: 'prefers the rack of the input data to a better fit',
      step: { preferredRack: 'r2' },
      workers: () => [occupy(makeWorker('full'), { demand: demand(4000, 4000) }), makeWorker('near',
        { labels: ['small', 'r2'] })],
      chosen: 'near'
    },
    {
      name: 'does not exceed the maximum number of tasks of a step on one worker',
      step: { count: 2, maxPerWorker: 1 },
      workers: () => [makeWorker('first'), makeWorker('second')],
      prepare: (task) => {
        const other = task.step.tasks[1]!
        other.status = 'running'
        other.worker = 'first'
      },
      chosen: 'second'
    },
    {
      name: 'does not choose a worker on which the task has failed',
      workers: () => [makeWorker('first')],
      prepare: (task) => { task.failedOn.add('first') },
      chosen: undefined
    },
    {
      name: 'chooses the worker with the most unclaimed CPU for filler tasks',
      step: { fills: true, demand: demand(2000) },
      workers: () => [occupy(makeWorker('half'), { demand: demand(4000) }), makeWorker('empty')],
      chosen: 'empty'
    }
  ]
  for (const { name, step, workers, prepare, chosen } of cases) {
    it(name, () => {
      const task = makeStep(step).tasks[0]!
      prepare?.(task)
      expect(chooseWorker(task, workers(), { now: NOW })?.id).to.equal(chosen)
    })
  }

  it('requires a valid ticket if the queue has a policy, unless tickets are ignored', () => {
    const task = makeStep({}, { advice: { decisionMs: 10, perWorkerMs: 1, validMs: 2000 } }).tasks[0]!
    const workers = [makeWorker('first'), makeWorker('second')]
    expect(chooseWorker(task, workers, { now: NOW })).to.equal(undefined)
    task.step.advice.record(['first', 'second'], [['second', 'ticket']], NOW + 100)
    expect(chooseWorker(task, workers, { now: NOW })?.id).to.equal('second')
    expect(chooseWorker(task, workers, { now: NOW + 200 })).to.equal(undefined)
    expect(chooseWorker(task, workers, { now: NOW + 200, ignoreTickets: true })?.id).to.equal('second')
  })

  // Each waiting step with a policy had the health of all workers checked in each round, also of those it can't use.
  it('checks the health and reservations only of workers for which the step has a ticket', () => {
    const task = makeStep({}, { advice: { decisionMs: 10, perWorkerMs: 1, validMs: 2000 } }).tasks[0]!
    const workers = Array.from({ length: 100 }, (_, index) => makeWorker(`w${index}`))
    task.step.advice.record(['w1', 'w2', 'w3'], [['w1', 'ticket'], ['w3', 'ticket']], NOW + 100)
    const healthChecked: string[] = []
    const reservationChecked: string[] = []
    chooseWorker(task, workers, {
      now: NOW,
      isHealthy: ({ id }) => healthChecked.push(id) > 0,
      isReserved: ({ id }) => reservationChecked.push(id) === 0
    })
    expect(healthChecked).to.deep.equal(['w1', 'w3'])
    expect(reservationChecked).to.deep.equal(['w1', 'w3'])
  })
})

describe('selectAdviceCandidates', () => {
  const empty = Array.from({ length: 100 }, (_, index) => makeWorker(`w${index}`))
  const cases = [
    {
      name: 'stops when the expected capacity suffices, since each worker adds to the duration of the call',
      step: makeStep({ count: 20, demand: demand(4000) }),
      share: 0.5,
      length: 60
    },
    {
      name: 'names a minimum number of workers',
      step: makeStep({ count: 1, demand: demand(4000) }),
      share: 0.5,
      length: 30
    },
    {
      name: 'names more if the policy allows few',
      step: makeStep({ count: 8, demand: demand(8000) }),
      share: 0.3,
      length: 80
    },
    {
      name: 'names all workers for a gang on one rack',
      step: makeStep({ count: 2, demand: demand(8000), gang: true, sameRack: true }),
      share: 1,
      length: 100
    }
  ]
  for (const { name, step, share, length } of cases) {
    it(name, () => { expect(selectAdviceCandidates(step, empty, share)).to.have.length(Math.min(length, 100)) })
  }

  it('names allowed workers with free resources first, and never names excluded ones', () => {
    const workers = [
      makeWorker('unknown'), makeWorker('excluded'), makeWorker('allowed'),
      occupy(makeWorker('full'), { demand: demand(8000) })
    ]
    const step = makeStep()
    step.advice.record(['excluded', 'allowed'], [['allowed', 'ticket']], NOW)
    expect(selectAdviceCandidates(step, workers, 0.5)).to.deep.equal(['allowed', 'unknown', 'full'])
  })
})

describe('countRoom', () => {
  const cases: Array<{ name: string, used: Partial<Step>, room: number }> = [
    { name: 'counts what fits beside the tasks of a worker', used: { demand: demand(6_000) }, room: 2 },
    { name: 'counts nothing on a worker over its processors', used: { demand: demand(9_000) }, room: 0 },
    // Such a worker was named in calls for advice before those that could take the task.
    { name: 'counts nothing on a worker over a resource of which the task needs none', used: { demand: demand(1_000, 100, 2) }, room: 0 }
  ]
  for (const { name, used, room } of cases) {
    it(name, () => {
      const worker = occupy(makeWorker('w0'), used)
      expect(countRoom(makeStep({ count: 5, demand: demand(1_000) }), worker, 0)).to.equal(room)
    })
  }
})

describe('orderSteps', () => {
  it('orders by priority, then by whether the objective can still be met, then by due time', () => {
    const lost = makeStep({}, { name: 'lost' }, NOW - 60_000)
    const late = makeStep({}, { name: 'late' }, NOW - 3_000)
    const early = makeStep({}, { name: 'early' }, NOW - 500)
    const recent = makeStep({}, { name: 'recent' }, NOW)
    const background = makeStep({}, { name: 'background', priority: 2 }, NOW - 1_000)
    const ordered = orderSteps([background, lost, recent, late, early], NOW)
    expect(ordered.map(({ step }) => step.job.definition.queue.name)).to.deep.equal(['early', 'recent', 'late', 'lost',
      'background'])
  })

  // Guards against an account whose burst delays the jobs that others send within their share.
  it('orders jobs with an account by share within a priority, with those too late to have any value last', () => {
    const order = (name: string, acceptedAt: number, beyondShare: boolean, queue: Partial<Queue> = {}) => {
      const step = makeStep({}, { name, ...queue }, acceptedAt)
      step.job.definition.account = 'one'
      step.job.beyondShare = beyondShare
      return step
    }
    const steps = [
      order('lost', NOW - 60_000, false), order('beyond', NOW - 500, true), order('late', NOW - 3_000, false),
      order('background', NOW - 500, false, { priority: 2 }), order('within', NOW, false)
    ]
    const names = orderSteps(steps, NOW).map(({ step }) => step.job.definition.queue.name)
    expect(names).to.deep.equal(['within', 'late', 'beyond', 'lost', 'background'])
  })
})

describe('orderSteps of jobs with an account', () => {
  // Guards against overload in which all jobs miss their objective by a little.
  it('starts the jobs first that need least work for their value', () => {
    const steps = [8, 1, 4].map((count) => {
      const step = makeStep({ count }, { name: String(count) }, NOW - count)
      step.job.definition.account = 'one'
      step.job.definition.queue.name = 'batch'
      return step
    })
    expect(orderSteps(steps, NOW).map(({ step }) => step.spec.count)).to.deep.equal([1, 4, 8])
  })
})

describe('chooseFailureDomain', () => {
  const inDomain = (id: string, failureDomain: string) => makeWorker(id, { failureDomain })
  const cases: Array<{ name: string, workers: () => WorkerState[], chosen: string | undefined }> = [
    {
      name: 'chooses the domain with most room',
      workers: () => [inDomain('a0', 'a'), inDomain('b0', 'b'), inDomain('b1', 'b')],
      chosen: 'b'
    },
    {
      name: 'counts only room that is free',
      workers: () => [inDomain('a0', 'a'), occupy(inDomain('b0', 'b'), { demand: demand(6000) })],
      chosen: 'a'
    },
    {
      name: 'chooses none when there is no room',
      workers: () => [occupy(inDomain('a0', 'a'), { demand: demand(8000) })],
      chosen: undefined
    }
  ]
  for (const { name, workers, chosen } of cases) {
    it(name, () => {
      const step = makeStep({ count: 8, demand: demand(1000) })
      expect(chooseFailureDomain(step, workers())).to.equal(chosen)
    })
  }
})

describe('computeFillerPace', () => {
  const cases = [
    { name: 'halves the pace near the target', pace: 100, tailMs: 180, expected: 50 },
    { name: 'quarters the pace above the target', pace: 100, tailMs: 300, expected: 25 },
    { name: 'suspends filler tasks that are already slow', pace: 25, tailMs: 300, expected: 0 },
    { name: 'keeps the pace while the tail latency is slightly below the target', pace: 50, tailMs: 150, expected: 50 },
    { name: 'raises the pace in steps while the tail latency is low', pace: 50, tailMs: 50, expected: 70 },
    { name: 'does not exceed 100 percent', pace: 95, tailMs: 50, expected: 100 }
  ]
  for (const { name, pace, tailMs, expected } of cases) {
    it(name, () => { expect(computeFillerPace(pace, [{ tailMs, targetMs: 200 }])).to.equal(expected) })
  }
})
