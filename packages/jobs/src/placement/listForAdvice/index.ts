import { MAX_ADVICE_WORKERS } from '../../constants/index.ts'
import type { StepRun } from '../../book/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { couldRun } from '../couldRun/index.ts'

/** Room that is asked for, as a multiple of what the waiting tasks take: other steps take some of it meanwhile. */
const ROOM_FACTOR = 3

/** Least number of workers that are named: a call that has to be repeated costs more than a few names. */
const MIN_WORKERS = 30

/**
 * Lists the workers that are worth naming in a call for advice. Each one adds to the time of the call, so no more are
 * named than are likely to give the waiting tasks room.
 *
 * @param step - The step.
 * @param workers - All workers of the pool.
 * @param allowedShare - Share of the workers that the policy usually allows for steps of the queue, 0 to 1.
 * @returns Ids, those with the most expected room first; all that may be named for a gang that wants one rack, since
 * the room has to be on the same rack.
 */
export function listForAdvice (step: StepRun, workers: readonly WorkerState[], allowedShare: number): string[] {
  const counts = step.countByWorker()
  const candidates: Array<{ id: string, room: number, free: number }> = []
  for (const worker of workers) {
    const allowed = step.advice.isGood(worker.id)
    if (!worker.acceptsTasks || allowed === false || !couldRun(step, worker)) continue
    const room = countRoom(step, worker, counts.get(worker.id) ?? 0) * (allowed === true ? 1 : allowedShare)
    candidates.push({ id: worker.id, room, free: 1 - worker.usedCpuMillis / worker.entry.capacity.cpuMillis })
  }
  candidates.sort((a, b) => b.room - a.room || b.free - a.free)
  const limit = step.spec.gang && step.spec.sameRack ? MAX_ADVICE_WORKERS : countNeeded(step, candidates)
  return candidates.slice(0, Math.min(limit, MAX_ADVICE_WORKERS)).map(({ id }) => id)
}

function countNeeded (step: StepRun, candidates: ReadonlyArray<{ room: number }>): number {
  const wanted = ROOM_FACTOR * step.tasks.filter(({ status }) => status === 'waiting').length
  let room = 0
  let count = 0
  while (count < candidates.length && (room < wanted || count < MIN_WORKERS)) room += candidates[count++]!.room
  return count
}

/** Tasks of the step that the worker has room for now, beside those of the step that it holds. */
function countRoom (step: StepRun, worker: WorkerState, held: number): number {
  const { demand, fills, maxPerWorker } = step.spec
  const { capacity } = worker.entry
  const limits = [
    maxPerWorker > 0 ? maxPerWorker - held : Infinity,
    fills ? Infinity : divide(capacity.cpuMillis - worker.usedCpuMillis, demand.cpuMillis),
    divide(capacity.memoryMb - worker.usedMemoryMb, demand.memoryMb),
    divide(capacity.accelerators - worker.usedAccelerators, demand.accelerators),
    step.tasks.length
  ]
  return Math.max(0, Math.min(...limits))
}

function divide (free: number, demand: number): number {
  return demand > 0 ? Math.floor(free / demand) : Infinity
}
