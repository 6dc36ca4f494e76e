import { expect } from 'chai'
import type { StepInstance } from '../../model/index.ts'
import { SeededRandom } from '../../standins/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { fitsWhenEmpty } from '../fitsWhenEmpty/index.ts'
import { makeStep, makeWorker, NOW } from '../_test/makeState.ts'
import { chooseReservation } from './index.ts'

/** Random cells that are compared. */
const CELLS = 2_000

/** The worker that the conditions describe, found by looking at all of them for each worker. */
function findReservation (
  step: StepInstance, workers: readonly WorkerState[], reserved: ReadonlyMap<WorkerState, unknown>
): WorkerState | undefined {
  const counts = step.countByWorker()
  const { maxPerWorker } = step.spec
  const possible = workers.filter((worker) => worker.acceptsTasks && !reserved.has(worker) &&
    fitsWhenEmpty(step, worker) && !worker.hasRoom(step.spec) &&
    (step.job.definition.queue.advice === undefined || step.advice.isAllowed(worker.id) === true) &&
    (maxPerWorker === 0 || (counts.get(worker.id) ?? 0) < maxPerWorker))
  const free = ({ entry, usedCpuMillis }: WorkerState) => entry.capacity.cpuMillis - usedCpuMillis
  return possible.find((worker) => possible.every((other) => free(other) <= free(worker)))
}

function makeCell (random: SeededRandom) {
  const advice = random.chance(0.5) ? { decisionMs: 20, perWorkerMs: 1, validMs: 2_000 } : undefined
  const step = makeStep({
    count: 4,
    demand: { cpuMillis: random.below(9) * 1_000, memoryMb: random.below(9) * 1_000, accelerators: random.below(2) },
    maxPerWorker: random.below(3),
    requiredLabel: random.pick(['', 'small', 'r2']),
    fills: random.chance(0.1)
  }, { advice })
  const workers = Array.from({ length: 1 + random.below(12) }, (_, index) => makeWorker(`w${index}`, {
    draining: random.chance(0.1),
    labels: [random.pick(['small', 'large']), random.pick(['r1', 'r2'])]
  }, { usedCpuMillis: random.below(9) * 1_000, usedMemoryMb: random.below(9) * 1_000 }))
  const reserved = new Map<WorkerState, unknown>()
  for (const worker of workers) if (random.chance(0.2)) reserved.set(worker, {})
  for (const { id } of workers) {
    if (random.chance(0.7)) step.advice.record([id], random.chance(0.6) ? [[id, 't']] : [], NOW)
  }
  for (const task of step.tasks) {
    if (random.chance(0.4)) Object.assign(task, { status: 'running', worker: random.pick(workers).id })
  }
  return { step, workers, reserved }
}

describe('chooseReservation', () => {
  // A cheaper order of the checks could choose another worker.
  it('chooses the first of the possible workers with the most free CPU in random cells', () => {
    let chosen = 0
    for (let seed = 0; seed < CELLS; seed++) {
      const { step, workers, reserved } = makeCell(new SeededRandom(seed))
      const worker = chooseReservation(step, workers, reserved)
      expect(worker?.id, `cell ${seed}`).to.equal(findReservation(step, workers, reserved)?.id)
      if (worker !== undefined) chosen++
    }
    expect(chosen).to.be.within(CELLS / 10, CELLS * 9 / 10)
  })
})
