import type { EventQueue } from '../../_lib/EventQueue.ts'
import { createRandom } from '../../_lib/createRandom.ts'
import type { SimulatedRunner } from '../../_lib/SimulatedRunner.ts'
import type { RequestStatistics } from './RequestStatistics.ts'
import { HOP_LATENCY_MS, RUNNER_COUNT, type TraceRequest } from './trace.ts'

const RETRIES = 3

/** Progress of one request over all its attempts. */
interface Progress {
  isEnded: boolean
  /** Cancels the latest attempt while it waits at its runner. */
  cancel?: () => void
}

/**
 * Simulates the baseline: each attempt goes to a random runner regardless of load. Refused requests, and repeatable
 * requests that fail, are retried up to three times.
 */
export function simulateRandomRouting (
  trace: TraceRequest[], events: EventQueue, runners: SimulatedRunner[], statistics: RequestStatistics
): void {
  const random = createRandom(22)
  const sendAttempt = (request: TraceRequest, retriesLeft: number, progress: Progress): void => {
    const runner = runners[random.integer(RUNNER_COUNT)] as SimulatedRunner
    statistics.recordSend(request)
    events.add(events.now + HOP_LATENCY_MS, () => {
      if (progress.isEnded) return
      progress.cancel = runner.submit(request.serviceMs, (result) => {
        events.add(events.now + HOP_LATENCY_MS, () => {
          if (progress.isEnded) return
          if (result !== 'answered' && retriesLeft > 0 && (request.repeatable || result === 'refused')) {
            return sendAttempt(request, retriesLeft - 1, progress)
          }
          progress.isEnded = true
          if (result === 'answered') statistics.recordAnswer(request, events.now)
          else if (result === 'refused') statistics.recordRefusal(request)
          else statistics.recordError(request)
        })
      })
    })
  }
  for (const request of trace) {
    events.add(request.at, () => {
      const progress: Progress = { isEnded: false }
      sendAttempt(request, RETRIES, progress)
      events.add(request.deadline, () => {
        if (progress.isEnded) return
        progress.isEnded = true
        progress.cancel?.()
        statistics.recordMiss(request)
      })
    })
  }
}
