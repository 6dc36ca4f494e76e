import { expect } from 'chai'
import { decideAfterEnd, type RetryPolicy } from './index.ts'

const batch: RetryPolicy = { kind: 'batch', restart: 'on-failure', retryLimit: 1 }
const service: RetryPolicy = { kind: 'service', restart: 'always', retryLimit: 1 }

describe('decideAfterEnd', () => {
  const cases = [
    { guards: 'a finished batch task that runs again', result: 'succeeded', failures: 0, policy: batch, after: { kind: 'over', succeeded: true } },
    { guards: 'a batch task retried beyond its limit', result: 'failed', failures: 2, policy: batch, after: { kind: 'over', succeeded: false } },
    { guards: 'a preempted task that loses a retry', result: 'checkpointed', failures: 9, policy: batch, after: { kind: 'retry', delayMs: 0 } },
    { guards: 'a service that is given up', result: 'failed', failures: 50, policy: service, after: { kind: 'retry', delayMs: 30_000 } },
    { guards: 'a service that is gone after a clean exit', result: 'succeeded', failures: 0, policy: service, after: { kind: 'retry', delayMs: 500 } }
  ] as const
  for (const { guards, result, failures, policy, after } of cases) {
    it(`prevents ${guards}`, () => {
      expect(decideAfterEnd(result, failures, policy)).to.deep.equal(after)
    })
  }
})
