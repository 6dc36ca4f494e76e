import { expect } from 'chai'
import { reconcileWorker, type ReportedAttempt } from './index.ts'

describe('reconcileWorker', () => {
  const live = (confirmed: boolean, stopRequested = false) => [{ task: 't', attempt: 2, confirmed, stopRequested }]
  const report = (attempt: number, state: ReportedAttempt['state']) => [{ task: 't', attempt, state }]
  const cases = [
    { guards: 'a second start of a running attempt after a takeover', live: live(false), reports: report(2, 'running'), key: 'running' },
    { guards: 'a start with unknown outcome that is moved to another worker', live: live(false), reports: [], key: 'resend' },
    { guards: 'a start that is repeated after its cancellation', live: live(false, true), reports: [], key: 'absent' },
    { guards: 'a task that waits forever for an attempt its worker has lost', live: live(true), reports: [], key: 'ended', result: 'lost' },
    { guards: 'an end that is not recorded', live: live(true), reports: report(2, 'succeeded'), key: 'ended', result: 'succeeded' },
    { guards: 'an attempt that keeps running after its recorded end', live: [], reports: report(1, 'running'), key: 'surplus', attempt: 1 },
    { guards: 'an end that is reported forever', live: [], reports: report(1, 'failed'), key: 'forget', attempt: 1 }
  ] as const
  for (const { guards, live, reports, key, ...rest } of cases) {
    it(`prevents ${guards}`, () => {
      const result = reconcileWorker([...live], [...reports])
      expect(result[key]).to.deep.equal([{ task: 't', attempt: 2, ...rest }])
      expect(Object.values(result).flat()).to.have.length(1)
    })
  }
})
