import { expect } from 'chai'
import { reconcileWorker, type ReportedAttempt } from './index.ts'

describe('reconcileWorker', () => {
  const live = (confirmed: boolean, stopWanted = false) => [{ task: 't', attempt: 2, confirmed, stopWanted }]
  const report = (attempt: number, state: ReportedAttempt['state']) => [{ task: 't', attempt, state }]
  const cases = [
    { guards: 'a running attempt started again after a takeover', live: live(false), reports: report(2, 'running'), key: 'running' },
    { guards: 'an unresolved start moved to another worker', live: live(false), reports: [], key: 'resend' },
    { guards: 'a cancelled start sent again', live: live(false, true), reports: [], key: 'absent' },
    { guards: 'a task that waits for ever on a worker that forgot it', live: live(true), reports: [], key: 'ended', result: 'lost' },
    { guards: 'an end that goes unrecorded', live: live(true), reports: report(2, 'succeeded'), key: 'ended', result: 'succeeded' },
    { guards: 'an attempt that outlived its recorded end', live: [], reports: report(1, 'running'), key: 'surplus', attempt: 1 },
    { guards: 'an end that is reported for ever', live: [], reports: report(1, 'failed'), key: 'forget', attempt: 1 }
  ] as const
  for (const { guards, live, reports, key, ...rest } of cases) {
    it(`prevents ${guards}`, () => {
      const result = reconcileWorker([...live], [...reports])
      expect(result[key]).to.deep.equal([{ task: 't', attempt: 2, ...rest }])
      expect(Object.values(result).flat()).to.have.length(1)
    })
  }
})
