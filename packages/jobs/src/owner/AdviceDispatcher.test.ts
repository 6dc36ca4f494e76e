import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { done, notDone, sleep } from '@gypsumspring/protocol'
import type { StepInstance } from '../model/index.ts'
import { makeStep, makeWorker } from '../placement/_test/makeState.ts'
import type { Adviser } from '../ports.ts'
import type { Queue } from '../types.ts'
import { AdviceDispatcher } from './AdviceDispatcher.ts'
import { Cell } from './Cell.ts'

const FAST: Partial<Queue> = { name: 'fast', priority: 0, advice: { decisionMs: 40, perWorkerMs: 0, validMs: 2_000 } }
const SLOW: Partial<Queue> = { name: 'slow', priority: 1, advice: { decisionMs: 800, perWorkerMs: 0, validMs: 2_000 } }

const failingAdviser: Adviser = { advise: async () => notDone('unavailable', 'the service is out of reach') }

/** Time in which a slow call must have an answer, in ms: those in flight on its node end, and it takes 800 ms. */
const ANSWER_MS = 1_000

describe('AdviceDispatcher', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  const cases = [
    { name: 'two nodes', nodes: 2 },
    { name: 'three nodes', nodes: 3 },
    { name: 'ten nodes', nodes: 10 }
  ]
  for (const { name, nodes } of cases) {
    // Hundreds of urgent steps that waited for workers kept all nodes busy, and long-running tasks waited for 13 s.
    it(`answers a slow request beside an endless backlog of fast ones on ${name}`, async () => {
      const workers = [makeWorker('w')]
      const nothing = () => {}
      const fastSteps = Array.from({ length: nodes * 4 }, () => makeStep({}, FAST))
      const requestFast = () => { for (const step of fastSteps) dispatcher.request(step, workers) }
      const cell = new Cell(() => undefined, { info: nothing, warn: nothing },
        { count: nothing, recordDuration: nothing, set: nothing }, { onChange: requestFast, onDirty: nothing })
      const dispatcher = new AdviceDispatcher(cell)
      for (let index = 0; index < nodes; index++) dispatcher.addNode({ id: `n${index}`, adviser: createAdviser() })
      requestFast()
      await clock.tickAsync(500)
      const step: StepInstance = makeStep({}, SLOW)
      dispatcher.request(step, workers)
      await clock.tickAsync(ANSWER_MS)
      expect(step.advice.isAllowed('w')).to.equal(true)
    })
  }

  for (const failing of [0, 1]) {
    // The only node that made calls of a kind could not reach the service, and none of them got an answer.
    it(`answers slow and fast requests through one of two nodes while node ${failing} fails`, async () => {
      const steps = [makeStep({}, SLOW), makeStep({}, FAST)]
      const dispatcher = createDispatcher(() => {})
      for (const index of [0, 1]) {
        dispatcher.addNode({ id: `n${index}`, adviser: index === failing ? failingAdviser : createAdviser() })
      }
      const workers = [makeWorker('w')]
      for (let passedMs = 0; passedMs < 4_000; passedMs += 100) {
        for (const step of steps) if (step.advice.isAllowed('w') === undefined) dispatcher.request(step, workers)
        dispatcher.tick()
        await clock.tickAsync(100)
      }
      expect(steps.map(({ advice }) => advice.isAllowed('w'))).to.deep.equal([true, true])
    })
  }

  for (const nodes of [1, 2, 6]) {
    // Old requests of less urgent steps all came before it, and an urgent step waited for 20 s.
    it(`answers an urgent request beside a backlog of overdue ones on ${nodes} nodes`, async () => {
      const workers = [makeWorker('w')]
      const backlog = Array.from({ length: 100 }, () => makeStep({}, { ...SLOW, priority: 5 }))
      const requestBacklog = () => { for (const step of backlog) dispatcher.request(step, workers) }
      const dispatcher: AdviceDispatcher = createDispatcher(requestBacklog)
      for (let index = 0; index < nodes; index++) dispatcher.addNode({ id: `n${index}`, adviser: createAdviser() })
      requestBacklog()
      await clock.tickAsync(5_000)
      const urgent = makeStep({}, { ...SLOW, name: 'urgent', priority: 0 })
      dispatcher.request(urgent, workers)
      // The call in flight, an overdue one and its own take 800 ms each.
      await clock.tickAsync(2_500)
      expect(urgent.advice.isAllowed('w')).to.equal(true)
    })
  }

  const idleCases = [
    { name: 'two nodes', nodes: 2, calls: 12 },
    { name: 'six nodes', nodes: 6, calls: 38 }
  ]
  for (const { name, nodes, calls } of idleCases) {
    // One of two nodes made no slow calls although there were no fast ones any more, and slow requests waited for 30 s.
    it(`uses the nodes reserved for fast calls for slow ones while there are none, on ${name}`, async () => {
      const workers = [makeWorker('w')]
      const dispatcher = createDispatcher(() => {})
      for (let index = 0; index < nodes; index++) dispatcher.addNode({ id: `n${index}`, adviser: createAdviser() })
      dispatcher.request(makeStep({}, FAST), workers)
      const steps = Array.from({ length: calls }, () => makeStep({}, SLOW))
      for (const step of steps) dispatcher.request(step, workers)
      // Calls of 800 ms: on the nodes for slow calls alone, 9 and 36 would be answered in this time.
      for (let passedMs = 0; passedMs < 7_500; passedMs += 100) {
        dispatcher.tick()
        await clock.tickAsync(100)
      }
      expect(steps.filter(({ advice }) => advice.isAllowed('w') === undefined)).to.have.length(0)
    })
  }

  // Fast calls never left the only node to a slow one.
  it('answers a slow request beside an endless backlog of fast ones on one node', async () => {
    const workers = [makeWorker('w')]
    const fastSteps = Array.from({ length: 4 }, () => makeStep({}, FAST))
    const requestFast = () => { for (const step of fastSteps) dispatcher.request(step, workers) }
    const dispatcher: AdviceDispatcher = createDispatcher(requestFast)
    dispatcher.addNode({ id: 'n0', adviser: createAdviser() })
    requestFast()
    await clock.tickAsync(500)
    const step = makeStep({}, SLOW)
    dispatcher.request(step, workers)
    await clock.tickAsync(1_500 + ANSWER_MS)
    expect(step.advice.isAllowed('w')).to.equal(true)
    const fast = makeStep({}, FAST)
    dispatcher.request(fast, workers)
    await clock.tickAsync(ANSWER_MS)
    expect(fast.advice.isAllowed('w')).to.equal(true)
  })

  const answers = [
    { name: 'keeps an answer about a worker that runs on', restarts: false, isAllowed: true },
    // Starts with such tickets were refused.
    { name: 'drops an answer about a worker that has started again since the call', restarts: true, isAllowed: undefined }
  ]
  for (const { name, restarts, isAllowed } of answers) {
    it(name, async () => {
      const cell = createCell(() => {})
      const dispatcher = new AdviceDispatcher(cell)
      dispatcher.addNode({ id: 'n0', adviser: createAdviser() })
      cell.workers.set('w', makeWorker('w', {}, { startedAt: 1 }))
      const step = makeStep({}, SLOW)
      dispatcher.request(step, [...cell.workers.values()])
      await clock.tickAsync(100)
      if (restarts) cell.workers.set('w', makeWorker('w', {}, { startedAt: 2 }))
      await clock.tickAsync(ANSWER_MS)
      expect(step.advice.isAllowed('w')).to.equal(isAllowed)
    })
  }

  function createDispatcher (onChange: () => void): AdviceDispatcher {
    return new AdviceDispatcher(createCell(onChange))
  }

  function createCell (onChange: () => void): Cell {
    const nothing = () => {}
    return new Cell(() => undefined, { info: nothing, warn: nothing },
      { count: nothing, recordDuration: nothing, set: nothing }, { onChange, onDirty: nothing })
  }

  /** A service that handles one call of a node at a time and allows all workers. */
  function createAdviser () {
    let freeAt = 0
    return {
      advise: async ({ job }: { job: string }, workers: string[], timeoutMs: number) => {
        const now = performance.now()
        freeAt = Math.max(now, freeAt) + (timeoutMs > 1_000 ? 800 : 40)
        await sleep(freeAt - now)
        return done({ tickets: workers.map((worker): [string, string] => [worker, job]) })
      }
    }
  }
})
