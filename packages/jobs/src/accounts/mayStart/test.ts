import { expect } from 'chai'
import fc from 'fast-check'
import { mayStart } from './index.ts'

const demand = (cpuMillis: number, memoryMb = 0, accelerators = 0) => ({ cpuMillis, memoryMb, accelerators })

// Guards against accounts that run more than their cap, and against tasks that their cap keeps waiting for ever.
describe('mayStart', () => {
  const cases = [
    { name: 'a task that fits', used: demand(6), cap: demand(10), task: demand(4), allowed: true },
    { name: 'a task that is too large for the rest', used: demand(7), cap: demand(10), task: demand(4), allowed: false },
    { name: 'a large task while half of the cap is in use', used: demand(5), cap: demand(10), task: demand(9), allowed: true },
    { name: 'a task larger than the cap while nothing runs', used: demand(0), cap: demand(10), task: demand(90), allowed: true },
    { name: 'any task without a limit', used: demand(900), cap: demand(0), task: demand(4), allowed: true },
    { name: 'a task that exceeds the cap of its memory', used: demand(0, 8), cap: demand(10, 10), task: demand(1, 4), allowed: false },
    { name: 'a task that needs nothing of a resource over its cap', used: demand(0, 80), cap: demand(10, 10), task: demand(1), allowed: true },
    { name: 'an accelerator over the cap', used: demand(0, 0, 2), cap: demand(0, 0, 2), task: demand(1, 1, 1), allowed: false },
    { name: 'any task after a cap was lowered below what runs', used: demand(60), cap: demand(10), task: demand(1), allowed: false },
    { name: 'a gang that fits', used: demand(2), cap: demand(10), task: demand(2), count: 4, allowed: true },
    { name: 'a gang of which all but one member fit, while half of the cap is in use', used: demand(5), cap: demand(10), task: demand(4), count: 2, allowed: true },
    { name: 'a gang of which two members do not fit', used: demand(5), cap: demand(10), task: demand(4), count: 3, allowed: false },
    { name: 'a gang that does not fit while more than half of the cap is in use', used: demand(6), cap: demand(10), task: demand(2), count: 3, allowed: false },
    { name: 'a gang that does not fit', used: demand(2), cap: demand(10), task: demand(2), count: 6, allowed: false }
  ]
  for (const { name, used, cap, task, count, allowed } of cases) {
    it(`${allowed ? 'allows' : 'holds back'} ${name}`, () => { expect(mayStart(used, cap, task, count)).to.equal(allowed) })
  }

  it('never lets more run than the cap and one task', () => {
    const size = fc.integer({ min: 1, max: 50 })
    fc.assert(fc.property(fc.integer({ min: 1, max: 100 }), fc.array(size, { maxLength: 60 }), (cap, tasks) => {
      let used = 0
      let largest = 0
      for (const task of tasks) {
        if (!mayStart(demand(used), demand(cap), demand(task))) continue
        used += task
        largest = Math.max(largest, task)
      }
      return used <= cap + largest
    }), { seed: 45, numRuns: 200 })
  })
})
