import { expect } from 'chai'
import { exceedsCap } from './index.ts'

const demand = (cpuMillis: number, memoryMb = 0) => ({ cpuMillis, memoryMb, accelerators: 0 })

// Guards against starts above a cap that was lowered, and against tasks of a large step that stop each other.
describe('exceedsCap', () => {
  const cases = [
    { name: 'a task within the cap', used: demand(10), cap: demand(10), task: demand(5), exceeds: false },
    { name: 'one task more than the cap and its tolerance', used: demand(16), cap: demand(10), task: demand(5), exceeds: false },
    { name: 'two tasks more than the cap', used: demand(20), cap: demand(10), task: demand(5), exceeds: true },
    { name: 'a task that is alone and larger than the cap', used: demand(90), cap: demand(10), task: demand(90), exceeds: false },
    { name: 'memory above the cap', used: demand(2, 30), cap: demand(10, 10), task: demand(1, 1), exceeds: true },
    { name: 'memory above the cap that the task does not need', used: demand(2, 30), cap: demand(10, 10), task: demand(1), exceeds: false },
    { name: 'anything without a limit', used: demand(900), cap: demand(0), task: demand(1), exceeds: false }
  ]
  for (const { name, used, cap, task, exceeds } of cases) {
    it(`${exceeds ? 'stops' : 'allows'} ${name}`, () => { expect(exceedsCap(used, cap, task)).to.equal(exceeds) })
  }
})
