import { MAX_ADVICE_WORKERS } from '../../constants/index.ts'
import type { StepInstance } from '../../model/index.ts'
import { computeSpeedCost, type SpeedPreference } from '../../runTimes/chooseSpeedPreference/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { countRoom } from '../countRoom/index.ts'
import { fitsWhenEmpty } from '../fitsWhenEmpty/index.ts'

/** Capacity to ask for, as a multiple of the waiting tasks: other steps use some of it before the answer arrives. */
const ROOM_FACTOR = 3

/** Minimum number of workers to name: repeating a call costs more than naming a few additional workers. */
const MIN_WORKERS = 30

/**
 * Selects the workers to name in a call for advice. Each one adds to the duration of the call, so the selection stops
 * when the expected capacity suffices for the waiting tasks.
 *
 * @param step - The step.
 * @param workers - All workers of the pool.
 * @param allowedShare - Share of the workers that the policy usually allows for steps of the queue, 0 to 1.
 * @param speed - Whether the step should have fast or slow workers. Default: their speeds make no difference.
 * @returns Ids of the workers, those with the most expected capacity first. For a gang that prefers one rack, all
 * candidates up to the limit of a call, since the capacity has to be on the same rack.
 */
export function selectAdviceCandidates (
  step: StepInstance, workers: readonly WorkerState[], allowedShare: number, speed?: SpeedPreference
): string[] {
  const counts = step.countByWorker()
  const candidates: Array<{ id: string, room: number, free: number, rank: number }> = []
  for (const worker of workers) {
    const allowed = step.advice.isAllowed(worker.id)
    if (!worker.acceptsTasks || allowed === false || !fitsWhenEmpty(step, worker)) continue
    const room = countRoom(step, worker, counts.get(worker.id) ?? 0) * (allowed === true ? 1 : allowedShare)
    const free = 1 - worker.usedCpuMillis / worker.entry.capacity.cpuMillis
    const rank = speed === undefined ? room : room * Math.exp(-computeSpeedCost(speed, worker.slowdown))
    candidates.push({ id: worker.id, room, free, rank })
  }
  candidates.sort((a, b) => b.rank - a.rank || b.free - a.free)
  const limit = step.spec.gang && step.spec.sameRack ? MAX_ADVICE_WORKERS : countCandidatesNeeded(step, candidates)
  return candidates.slice(0, Math.min(limit, MAX_ADVICE_WORKERS)).map(({ id }) => id)
}

/** Number of leading candidates whose expected capacity suffices. */
function countCandidatesNeeded (step: StepInstance, candidates: ReadonlyArray<{ room: number }>): number {
  const wanted = ROOM_FACTOR * step.tasks.filter(({ status }) => status === 'waiting').length
  let room = 0
  let count = 0
  while (count < candidates.length && (room < wanted || count < MIN_WORKERS)) room += candidates[count++]!.room
  return count
}
