import type { EventQueue } from '../../_lib/EventQueue.ts'
import { createRandom } from '../../_lib/createRandom.ts'
import type { Runner } from '../../_lib/Runner.ts'
import type { Tally } from './Tally.ts'
import { HOP_MS, RUNNERS, type TraceRequest } from './trace.ts'

const RETRIES = 3

/** A random runner for each attempt, whatever its load, and a fixed number of retries for repeatable requests. */
export function runReference (trace: TraceRequest[], events: EventQueue, runners: Runner[], tally: Tally): void {
  const random = createRandom(22)
  const attempt = (request: TraceRequest, retriesLeft: number, ended: { value: boolean, drop?: () => void }): void => {
    const runner = runners[random.integer(RUNNERS)] as Runner
    tally.recordSend(request)
    events.add(events.now + HOP_MS, () => {
      if (ended.value) return
      ended.drop = runner.offer(request.serviceMs, (result) => {
        events.add(events.now + HOP_MS, () => {
          if (ended.value) return
          if (result !== 'answered' && retriesLeft > 0 && (request.repeatable || result === 'refused')) {
            return attempt(request, retriesLeft - 1, ended)
          }
          ended.value = true
          if (result === 'answered') tally.recordAnswer(request, events.now)
          else if (result === 'refused') tally.recordRefusal(request)
          else tally.recordError(request)
        })
      })
    })
  }
  for (const request of trace) {
    events.add(request.at, () => {
      const ended: { value: boolean, drop?: () => void } = { value: false }
      attempt(request, RETRIES, ended)
      events.add(request.deadline, () => {
        if (ended.value) return
        ended.value = true
        ended.drop?.()
        tally.recordMiss(request)
      })
    })
  }
}
