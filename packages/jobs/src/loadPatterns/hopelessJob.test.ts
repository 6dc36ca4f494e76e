import { expect } from 'chai'
import { createQueue, MemoryCell, TICKET_VALID_MS } from '../standins/index.ts'
import { describeCells, fetchState, submitInBackground } from './describeCells.ts'

/** Prefix of the ids of hopeless jobs. */
const HOPELESS = '00000000000000a'
const SOUND = '00000000000000b2'

/** Every run of hopeless jobs fails, wherever it starts; the runs of other jobs succeed. */
const failHopeless: ConstructorParameters<typeof MemoryCell>[0] = {
  workers: 2,
  planRunEnd: ({ job }) => job.startsWith(HOPELESS)
    ? { reason: 'failed', afterMs: 300 }
    : { reason: 'done', afterMs: 300 }
}

/** Less urgent than sound jobs, so that these come first when a worker may get a task. */
const HOPELESS_QUEUE = createQueue('batch', { priority: 5, maxAttempts: 4 })

/** Time that a task with one worker waits at most, in ms: 2 s since that has failures, and 1 s since its last start. */
const MAX_WAIT_MS = 3_500

describeCells('A sound job beside hopeless ones on its only worker', [
  { name: 'without a policy', queue: createQueue('batch') },
  {
    name: 'with tickets that expire meanwhile',
    queue: createQueue('batch', { advice: { decisionMs: 20, perWorkerMs: 0, validMs: TICKET_VALID_MS } })
  }
].map(({ name, queue }) => ({
  // The wait of a task that had not failed itself began anew with each start of another one, and with expired tickets.
  name: `starts after a short wait, ${name}`,
  options: { ...failHopeless, workers: 1 },
  run: async (cell, clock) => {
    for (let index = 0; index < 8; index++) submitInBackground(cell, `${HOPELESS}${index}`, [{}], HOPELESS_QUEUE)
    await clock.tickAsync(4_000)
    submitInBackground(cell, SOUND, [{}], queue)
    await clock.tickAsync(MAX_WAIT_MS)
    expect(cell.checker.isDone(`${SOUND}.0.0.0`) || cell.checker.countRunning(`${SOUND}.0.0.0`) > 0).to.equal(true)
  }
})))

describeCells('A hopeless job alone in the cell', [
  {
    // The last attempt waited for ever for a worker without failures, which no other job could show to be healthy.
    name: 'uses up its attempts although it has failed on every worker',
    options: failHopeless,
    run: async (cell, clock) => {
      submitInBackground(cell, `${HOPELESS}0`, [{}], createQueue('batch', { maxAttempts: 4 }))
      await clock.tickAsync(9_000)
      expect(await fetchState(cell, clock, `${HOPELESS}0`)).to.equal('failed')
    }
  },
  {
    // Two hopeless jobs opened the breakers of all workers, for up to 20 s.
    name: 'leaves the workers open to sound jobs after a short wait',
    options: failHopeless,
    run: async (cell, clock) => {
      const queue = createQueue('batch', { maxAttempts: 2 })
      for (let round = 0; round < 3; round++) {
        submitInBackground(cell, `${HOPELESS}${round}`, [{ count: 2 }], queue)
      }
      await clock.tickAsync(2_000)
      submitInBackground(cell, SOUND, [{}])
      await clock.tickAsync(4_000)
      expect(await fetchState(cell, clock, SOUND)).to.equal('completed')
    }
  },
  {
    // The other tasks of its step were passed over while a failed task waited to go back to its only worker.
    name: 'lets its other tasks start while a failed one waits',
    options: {
      workers: 1,
      planRunEnd: ({ index }) => index === 0 ? { reason: 'failed', afterMs: 50 } : { reason: 'done', afterMs: 300 }
    },
    run: async (cell, clock) => {
      const demand = { cpuMillis: 8_000, memoryMb: 0, accelerators: 0 }
      submitInBackground(cell, `${HOPELESS}0`, [{ count: 3, demand }], createQueue('batch', { maxAttempts: 4 }))
      await clock.tickAsync(1_500)
      for (const task of [1, 2]) expect(cell.checker.isDone(`${HOPELESS}0.0.0.${task}`), `task ${task}`).to.equal(true)
    }
  }
])
