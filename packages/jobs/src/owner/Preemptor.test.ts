import { expect } from 'chai'
import { makeStep, makeWorker, NOW } from '../placement/_test/makeState.ts'
import { Cell } from './Cell.ts'
import { Preemptor } from './Preemptor.ts'

const WORKERS = 100

/** Time that the task has waited, in ms; long enough for others to be stopped. */
const WAITED_MS = 1_000

describe('Preemptor, while a step waits on a cell with many workers', () => {
  const metrics = { count: () => {}, recordDuration: () => {}, set: () => {} }
  const log = { info: () => {}, warn: () => {} }
  const cell = new Cell(() => undefined, log, metrics, { onChange: () => {}, onDirty: () => {} })
  const workers = Array.from({ length: WORKERS }, (_, index) => makeWorker(`w${index}`))

  // The checks were copied, and the tasks of the step counted, again for each worker.
  it('prepares the checks once and not for each worker', () => {
    const step = makeStep({ maxPerWorker: 1 })
    const calls = { countByWorker: 0, preparedChecks: 0, checkedWorkers: 0 }
    const countByWorker = step.countByWorker.bind(step)
    step.countByWorker = () => {
      calls.countByWorker++
      return countByWorker()
    }
    const checks = {
      get isHealthy () {
        calls.preparedChecks++
        return () => {
          calls.checkedWorkers++
          return true
        }
      },
      isReserved: () => false
    }
    const looked = new Preemptor(cell, () => {}).makeRoom(step.tasks[0]!, workers, checks, NOW + WAITED_MS)
    expect(looked).to.equal(true)
    expect(calls).to.deep.equal({ countByWorker: 1, preparedChecks: 1, checkedWorkers: WORKERS })
  })
})
