import { expect } from 'chai'
import type { CrashEvidence } from '../judgeCrash/index.ts'
import { isCrashSuspect, isCulprit } from './index.ts'

describe('isCulprit', () => {
  const cases: Array<{ name: string, crashes: CrashEvidence[], isSuspect: boolean, isCulprit: boolean }> = [
    { name: 'leaves a task with one end of a worker alone', crashes: ['present'], isSuspect: false, isCulprit: false },
    { name: 'suspects the task that was last', crashes: ['last'], isSuspect: true, isCulprit: false },
    { name: 'suspects a task under which two workers ended', crashes: ['present', 'present'], isSuspect: true, isCulprit: false },
    { name: 'needs more than one end even on trial', crashes: ['alone'], isSuspect: true, isCulprit: false },
    { name: 'blames a task that was last and then alone', crashes: ['last', 'alone'], isSuspect: true, isCulprit: true },
    { name: 'needs a second end without a common cause', crashes: ['common', 'alone'], isSuspect: true, isCulprit: false },
    { name: 'does not blame a task that was last twice', crashes: ['last', 'last'], isSuspect: true, isCulprit: false },
    { name: 'blames a task that was last three times', crashes: ['last', 'last', 'last'], isSuspect: true, isCulprit: true },
    { name: 'goes on after three ends with little evidence', crashes: ['present', 'present', 'present'], isSuspect: true, isCulprit: false },
    { name: 'blames a task after four ends', crashes: ['present', 'common', 'present', 'common'], isSuspect: true, isCulprit: true },
    { name: 'goes on after four ends with a common cause', crashes: ['common', 'common', 'common', 'common'], isSuspect: true, isCulprit: false },
    { name: 'blames a task after five ends', crashes: ['common', 'common', 'common', 'common', 'common'], isSuspect: true, isCulprit: true }
  ]

  for (const { name, crashes, ...expected } of cases) {
    it(name, () => {
      expect({ isSuspect: isCrashSuspect(crashes), isCulprit: isCulprit(crashes) }).to.deep.equal(expected)
    })
  }
})
