import type { StepInstance } from '../../model/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { countRoom } from '../countRoom/index.ts'

/**
 * Chooses the failure domain that the tasks of a step should share. A job needs all its tasks: spread over all domains,
 * nearly every job waits for the one that is cut off; in one domain each, only the jobs in that one do. The domain with
 * most room is chosen, which spreads the jobs over the domains.
 *
 * @param step - The step.
 * @param workers - Workers that accept tasks and may run the step.
 * @returns The domain, or undefined when no worker has room.
 */
export function chooseFailureDomain (step: StepInstance, workers: Iterable<WorkerState>): string | undefined {
  const counts = step.countByWorker()
  const roomByDomain = new Map<string, number>()
  for (const worker of workers) {
    const { failureDomain } = worker.entry
    const room = countRoom(step, worker, counts.get(worker.id) ?? 0)
    roomByDomain.set(failureDomain, (roomByDomain.get(failureDomain) ?? 0) + room)
  }
  let best: string | undefined
  let mostRoom = 0
  for (const [domain, room] of roomByDomain) {
    if (room > mostRoom) {
      best = domain
      mostRoom = room
    }
  }
  return best
}
