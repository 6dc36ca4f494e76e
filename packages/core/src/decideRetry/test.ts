import { expect } from 'chai'
import { decideRetry, type RetryPolicy } from './index.ts'

const batch: RetryPolicy = { kind: 'batch', restart: 'on-failure', retryLimit: 1 }
const service: RetryPolicy = { kind: 'service', restart: 'always', retryLimit: 1 }

describe('decideRetry', () => {
  const cases = [
    { guards: 'a second run of a batch task that succeeded', result: 'succeeded', failures: 0, policy: batch, after: { kind: 'over', succeeded: true } },
    { guards: 'a retry of a batch task beyond its limit', result: 'failed', failures: 2, policy: batch, after: { kind: 'over', succeeded: false } },
    { guards: 'a preemption that counts as a failed attempt', result: 'checkpointed', failures: 9, policy: batch, after: { kind: 'retry', delayMs: 0 } },
    { guards: 'a service that is no longer retried after many failures', result: 'failed', failures: 50, policy: service, after: { kind: 'retry', delayMs: 30_000 } },
    { guards: 'a service that stays down after a clean exit', result: 'succeeded', failures: 0, policy: service, after: { kind: 'retry', delayMs: 500 } }
  ] as const
  for (const { guards, result, failures, policy, after } of cases) {
    it(`prevents ${guards}`, () => {
      expect(decideRetry(result, failures, policy)).to.deep.equal(after)
    })
  }
})
