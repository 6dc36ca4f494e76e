import { expect } from 'chai'
import { makeStep, makeWorker } from '../placement/_test/makeState.ts'
import type { RunEndReason, StartOrder } from '../types.ts'
import { InvariantChecker } from './InvariantChecker.ts'

const TASK = 'a.0.0.0'
const MAX_ATTEMPTS = 2

/** Ends of the runs before the last one; `lost` are those that no owner had acknowledged when the worker crashed. */
const cases: Array<{ name: string, ends: RunEndReason[], lost: RunEndReason[], violations: number }> = [
  { name: 'a run after as many failures as are allowed', ends: ['failed', 'failed'], lost: [], violations: 1 },
  { name: 'no run after fewer failures', ends: ['failed', 'stopped'], lost: [], violations: 0 },
  // The owner and the worker that knew of the failure had both ended.
  { name: 'no run after a failure of which nobody can know', ends: ['failed', 'failed'], lost: ['failed'], violations: 0 },
  { name: 'a run after known failures and a lost end of another kind', ends: ['failed', 'failed'], lost: ['stopped'], violations: 1 }
]

describe('InvariantChecker', () => {
  for (const { name, ends, lost, violations } of cases) {
    it(`reports ${name}`, () => {
      const checker = new InvariantChecker()
      const { entry } = makeWorker('w0')
      checker.registerJob('a', makeStep().job.spec, MAX_ATTEMPTS)
      const start = (run: number) => {
        checker.recordStart({ key: { job: 'a', occurrence: 0, step: 0, index: 0 }, run } as StartOrder, entry)
      }
      for (const [index, reason] of ends.entries()) {
        start(index + 1)
        checker.recordEnd(TASK, index + 1, entry.id, reason)
      }
      for (const reason of lost) checker.recordLostEnd(TASK, reason)
      start(ends.length + 1)
      expect(checker.violations).to.have.length(violations)
    })
  }
})
