import type { TaskInstance } from '../../model/index.ts'
import type { Demand } from '../../types.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'

/** Tasks that are expected to end within this time are not stopped, in ms: waiting for them takes hardly longer. */
const MIN_REMAINING_MS = 600

/** Most times that one task is stopped for others. */
const MAX_PREEMPTIONS = 2

/** Factor by which the work of tasks within the share of their client account counts more than that beyond it. */
const WITHIN_SHARE_FACTOR = 1_000

/** Processors that count as much as one accelerator when the work of tasks is compared. */
const CPU_MILLIS_PER_ACCELERATOR = 8_000

/** Tasks to stop on a worker so that another task has room there. */
export interface Preemption {
  worker: WorkerState
  /** Tasks to stop; empty when tasks that are being stopped already leave enough room. */
  victims: TaskInstance[]
}

/**
 * Chooses tasks to stop so that a more urgent task can start. Only tasks of less urgent queues that save their progress
 * are stopped, and as little of their work as possible. Tasks beyond the share of their client account are stopped
 * before those within it.
 *
 * @param task - The task that needs room.
 * @param workers - Workers that the task may run on.
 * @param now - Monotonic time, in ms.
 * @returns The worker and the tasks to stop there, or undefined when no worker could make room.
 */
export function choosePreemption (
  task: TaskInstance, workers: Iterable<WorkerState>, now: number
): Preemption | undefined {
  let best: Preemption | undefined
  let bestCost = Infinity
  for (const worker of workers) {
    const victims = chooseVictims(task, worker, now)
    if (victims === undefined) continue
    const cost = victims.reduce((sum, victim) => sum + weigh(victim), 0)
    if (cost < bestCost) {
      best = { worker, victims }
      bestCost = cost
    }
  }
  return best
}

function chooseVictims (task: TaskInstance, worker: WorkerState, now: number): TaskInstance[] | undefined {
  const missing = missingRoom(task, worker)
  for (const { status, step } of worker.tasks) if (status === 'stopping') subtract(missing, step.spec)
  for (const { step } of worker.lingering.keys()) subtract(missing, step.spec)
  if (isCovered(missing)) return []
  const { priority } = task.step.job.definition.queue
  const candidates = [...worker.tasks]
    .filter((other) => mayStop(other, priority, now))
    .sort((a, b) => weigh(a) - weigh(b))
  const victims: TaskInstance[] = []
  for (const candidate of candidates) {
    if (!helps(missing, candidate.step.spec)) continue
    victims.push(candidate)
    subtract(missing, candidate.step.spec)
    if (isCovered(missing)) return victims
  }
  return undefined
}

function mayStop ({ step, status, preemptions, startedAt }: TaskInstance, priority: number, now: number): boolean {
  const { savesProgress, longRunning, gang } = step.spec
  return status === 'running' && savesProgress && !longRunning && !gang && preemptions < MAX_PREEMPTIONS &&
    step.job.definition.queue.priority > priority && startedAt + step.expectedRunMs - now > MIN_REMAINING_MS
}

/** Resources that the worker lacks for the task; negative where it has more than enough. */
function missingRoom ({ step: { spec } }: TaskInstance, worker: WorkerState): Demand {
  const { capacity } = worker.entry
  return {
    cpuMillis: spec.fills ? 0 : worker.usedCpuMillis + spec.demand.cpuMillis - capacity.cpuMillis,
    memoryMb: worker.usedMemoryMb + spec.demand.memoryMb - capacity.memoryMb,
    accelerators: worker.usedAccelerators + spec.demand.accelerators - capacity.accelerators
  }
}

function subtract (missing: Demand, { demand, fills }: { demand: Demand, fills: boolean }): void {
  if (!fills) missing.cpuMillis -= demand.cpuMillis
  missing.memoryMb -= demand.memoryMb
  missing.accelerators -= demand.accelerators
}

function isCovered ({ cpuMillis, memoryMb, accelerators }: Demand): boolean {
  return cpuMillis <= 0 && memoryMb <= 0 && accelerators <= 0
}

function helps (missing: Demand, { demand, fills }: { demand: Demand, fills: boolean }): boolean {
  return (missing.cpuMillis > 0 && !fills && demand.cpuMillis > 0) || (missing.memoryMb > 0 && demand.memoryMb > 0) ||
    (missing.accelerators > 0 && demand.accelerators > 0)
}

function weigh ({ step: { job, spec: { demand: { cpuMillis, accelerators } } } }: TaskInstance): number {
  return (cpuMillis + accelerators * CPU_MILLIS_PER_ACCELERATOR) * (job.beyondShare ? 1 : WITHIN_SHARE_FACTOR)
}
