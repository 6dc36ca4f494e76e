import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import type { MemoryCell, MemoryNode, PlanRunEnd } from '../standins/index.ts'
import { describeCells, submitInBackground } from './describeCells.ts'
import { putControlRow } from './owners.ts'

/** Worker on which runs fail. */
const FAILING = 'w0'

const RUN_MS = 600

/** Time between two jobs, in ms; together they need less than the capacity of one worker. */
const JOB_INTERVAL_MS = 50

/** Time between two changes of the owner, in ms. */
const OWNED_MS = 2_000

/** Most runs on the failing worker in 12 s: probes after cooldowns of 3 and 6 s, and one that had just started. */
const MAX_PROBES = 3

/** Size of the cell: the failing worker has room for all waiting tasks, and so have the others. */
const OPTIONS = { nodes: 9, workers: 3, capacity: { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 } }

/** Counts runs on the failing worker. Its runs fail while `isFailing` is set; all others succeed. */
class FailingWorker {
  isFailing = true
  runs = 0

  readonly planRunEnd: PlanRunEnd = (_key, _run, worker) => {
    if (worker === FAILING) this.runs++
    return { reason: worker === FAILING && this.isFailing ? 'failed' : 'done', afterMs: RUN_MS }
  }
}

/** Submits jobs of one task again and again, and changes the owner at intervals if `change` is given. */
async function submitJobs (
  cell: MemoryCell, clock: Clock, durationMs: number, change: (owner: MemoryNode) => void = () => {}
): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += JOB_INTERVAL_MS) {
    submitJob(cell, Math.round(performance.now()))
    if (passedMs % OWNED_MS === 0) change(cell.owner!)
    await clock.tickAsync(JOB_INTERVAL_MS)
  }
}

function submitJob (cell: MemoryCell, id: number): void {
  submitInBackground(cell, id.toString(16).padStart(16, '0'), [{ estimatedRunMs: RUN_MS }])
}

const failing = new FailingWorker()
const recovering = new FailingWorker()
const unknown = new FailingWorker()

describeCells('Workers on which all runs fail while the owner changes', [
  {
    // Each new owner knew of no failures, and gave the worker a share of the tasks that waited for it.
    name: 'get only probes although the owner ends again and again',
    options: { ...OPTIONS, planRunEnd: failing.planRunEnd },
    run: async (cell, clock) => {
      await submitJobs(cell, clock, OWNED_MS)
      const runsBefore = failing.runs
      expect(runsBefore).to.be.greaterThan(0)
      await submitJobs(cell, clock, 6 * OWNED_MS, ({ name }) => cell.killNode(name))
      expect(failing.runs - runsBefore).to.be.at.most(MAX_PROBES)
    }
  },
  {
    // A record that outlasts the failures would keep tasks from a healthy worker.
    name: 'get all tasks from the next owner once runs have succeeded again',
    options: { ...OPTIONS, workers: 1, planRunEnd: recovering.planRunEnd },
    run: async (cell, clock) => {
      await submitJobs(cell, clock, OWNED_MS)
      recovering.isFailing = false
      await clock.tickAsync(30_000)
      const handover = cell.owner!.cellNode.resign()
      await clock.tickAsync(1_000)
      await handover
      const runsBefore = recovering.runs
      for (let index = 0; index < 10; index++) submitJob(cell, index)
      await clock.tickAsync(RUN_MS / 2)
      expect(recovering.runs - runsBefore).to.equal(10)
    }
  },
  {
    // After the first success the workers still got no tasks until the restored cooldown was over.
    name: 'get tasks again after the first success of a probe',
    options: { ...OPTIONS, workers: 2, planRunEnd: () => ({ reason: 'done', afterMs: RUN_MS }) },
    run: async (cell, clock) => {
      const openUntilAt = cell.rows.nowMs + 20_000
      const row = [['w0', openUntilAt, 20_000], ['w1', openUntilAt, 20_000]]
      putControlRow(cell, 'breakers', JSON.stringify(row))
      cell.killNode(cell.owner!.name)
      await clock.tickAsync(2_000)
      for (let index = 0; index < 8; index++) submitJob(cell, index)
      await clock.tickAsync(6_000)
      expect(cell.checker.starts).to.equal(8)
    }
  },
  {
    // A row that can't be decoded would end the process of each owner in turn.
    name: 'don\'t stop an owner for which the record of the former one is malformed',
    options: { ...OPTIONS, planRunEnd: unknown.planRunEnd },
    run: async (cell, clock) => {
      await submitJobs(cell, clock, OWNED_MS)
      putControlRow(cell, 'breakers', '[["w0",null]]')
      cell.killNode(cell.owner!.name)
      await clock.tickAsync(3_000)
      const startsBefore = cell.checker.starts
      submitJob(cell, 1)
      await clock.tickAsync(1_000)
      expect(cell.checker.starts - startsBefore).to.be.greaterThan(0)
    }
  }
])
