import { expect } from 'chai'
import { classifyCrash, type CrashEvidence, type AffectedRun } from './index.ts'

describe('classifyCrash', () => {
  const cases: Array<{
    name: string,
    /**
     * Ages in ms of the tasks on the worker; 'isolated' for a suspect that has just started, 'unanswered' for a task
     * whose order was sent as late and has no answer.
     */
    ages: Array<number | undefined | 'isolated' | 'unanswered'>,
    unexplainedLosses?: number,
    isCertain?: boolean,
    evidence: Array<CrashEvidence | undefined>
  }> = [
    { name: 'finds the task whose order was the last one', ages: [15, 700, 2_000], evidence: ['last', 'present', 'present'] },
    { name: 'can\'t tell tasks of one round apart', ages: [15, 40, 300], evidence: ['last', 'last', 'present'] },
    { name: 'finds no last task long after the last order', ages: [1_500, 2_000], evidence: ['present', 'present'] },
    { name: 'says nothing about tasks that have run for long', ages: [15, 6_000], evidence: ['last', undefined] },
    { name: 'takes an isolated suspect for the cause', ages: ['isolated', 2_000], evidence: ['alone', undefined] },
    { name: 'still counts tasks that had just started beside an isolated suspect', ages: ['isolated', 300], evidence: ['alone', 'present'] },
    { name: 'can\'t tell two isolated suspects apart', ages: ['isolated', 'isolated'], evidence: ['last', 'last'] },
    { name: 'finds a common cause if other workers ended too', ages: ['isolated', 15], unexplainedLosses: 1, evidence: ['weak', 'weak'] },
    {
      name: 'finds a common cause for all tasks that have started lately, and for no others',
      ages: [1_500, 300, 5_100],
      unexplainedLosses: 1,
      evidence: ['weak', 'weak', undefined]
    },
    {
      name: 'counts nothing against runs of an earlier owner if a tenth of the workers end',
      ages: ['isolated', 300, 5_100, undefined],
      unexplainedLosses: 5,
      evidence: ['weak', 'weak', undefined, undefined]
    },
    { name: 'is cautious while the worker may only be out of reach', ages: ['isolated', 15], isCertain: false, evidence: ['present', 'present'] },
    { name: 'is cautious about orders without an answer', ages: ['unanswered', 15, 700], evidence: ['weak', 'last', 'present'] },
    { name: 'counts runs of an earlier owner as present', ages: [undefined, 15], evidence: ['present', 'last'] },
    { name: 'finds nothing on a worker without tasks', ages: [], evidence: [] }
  ]

  for (const { name, ages, unexplainedLosses = 0, isCertain = true, evidence } of cases) {
    it(name, () => {
      const runs = ages.map((age): AffectedRun => ({
        ageMs: typeof age === 'string' ? 10 : age,
        confirmedMs: age === 'unanswered' ? undefined : typeof age === 'string' ? 5 : age,
        isIsolated: age === 'isolated'
      }))
      expect(classifyCrash(runs, { unexplainedLosses, workers: 50, isCertain })).to.deep.equal(evidence)
    })
  }
})
