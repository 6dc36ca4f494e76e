import { expect } from 'chai'
import type { CrashEvidence } from '../classifyCrash/index.ts'
import { isCrashSuspect, isCrashCause } from './index.ts'

describe('isCrashCause', () => {
  const cases: Array<{ name: string, crashes: CrashEvidence[], isSuspect: boolean, isCrashCause: boolean }> = [
    { name: 'leaves a task with one end of a worker alone', crashes: ['present'], isSuspect: false, isCrashCause: false },
    { name: 'suspects the task that was last', crashes: ['last'], isSuspect: true, isCrashCause: false },
    { name: 'suspects a task under which two workers ended', crashes: ['present', 'present'], isSuspect: true, isCrashCause: false },
    { name: 'needs more than one end even in isolation', crashes: ['alone'], isSuspect: true, isCrashCause: false },
    { name: 'finds the cause in a task that was last and then alone', crashes: ['last', 'alone'], isSuspect: true, isCrashCause: true },
    { name: 'needs a second end with more than weak evidence', crashes: ['weak', 'alone'], isSuspect: true, isCrashCause: false },
    { name: 'does not find the cause in a task that was last twice', crashes: ['last', 'last'], isSuspect: true, isCrashCause: false },
    { name: 'finds the cause in a task that was last three times', crashes: ['last', 'last', 'last'], isSuspect: true, isCrashCause: true },
    { name: 'goes on after three ends with little evidence', crashes: ['present', 'present', 'present'], isSuspect: true, isCrashCause: false },
    { name: 'finds the cause in a task after four ends', crashes: ['present', 'weak', 'present', 'weak'], isSuspect: true, isCrashCause: true },
    { name: 'goes on after four ends with weak evidence', crashes: ['weak', 'weak', 'weak', 'weak'], isSuspect: true, isCrashCause: false },
    { name: 'finds the cause in a task after five ends with weak evidence', crashes: ['weak', 'weak', 'weak', 'weak', 'weak'], isSuspect: true, isCrashCause: true }
  ]

  for (const { name, crashes, ...expected } of cases) {
    it(name, () => {
      expect({ isSuspect: isCrashSuspect(crashes), isCrashCause: isCrashCause(crashes) }).to.deep.equal(expected)
    })
  }
})
