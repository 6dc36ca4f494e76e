import type { Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { sleep } from '@gypsumspring/protocol'
import type { MemoryCell } from '../standins/index.ts'
import { describeCells } from './describeCells.ts'
import { TASK, startLongRunningTask } from './longRunningJob.ts'

/** Time in which another node must have taken over from a killed owner, in ms. */
const TAKEOVER_MS = 4_000

/** Delays the commits of all nodes, but not their reads, as when the partition of the cell is overloaded. */
function delayCommits (cell: MemoryCell, delayMs: number): void {
  for (const { store } of cell.nodes.values()) {
    const commit = store.commit.bind(store)
    store.commit = async (...args) => {
      await sleep(delayMs)
      return await commit(...args)
    }
  }
}

describeCells('A slow store', [
  {
    // Followers made no promises while their reads were fast, and no lease was renewed 0.5 s after a commit was sent.
    name: 'stops no task when only the commits are slow',
    run: async (cell, clock) => {
      await startLongRunningTask(cell, clock)
      delayCommits(cell, 900)
      await clock.tickAsync(15_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(1)
    }
  },
  // Followers renewed their promises to an owner that had ended, and none ever took over.
  ...[40, 70, 100, 200].map((storeLatencyMs) => ({
    name: `lets another node take over from a killed owner while calls take ${storeLatencyMs} ms`,
    options: { nodes: 4, storeLatencyMs },
    run: async (cell: MemoryCell, clock: Clock) => {
      await clock.tickAsync(3_000)
      cell.killNode(cell.owner!.name)
      await clock.tickAsync(TAKEOVER_MS)
      expect(cell.owner).to.not.equal(undefined)
    }
  })),
  ...[200, 900].map((delayMs) => ({
    name: `lets another node take over from a killed owner while commits take ${delayMs} ms`,
    options: { nodes: 4 },
    run: async (cell: MemoryCell, clock: Clock) => {
      delayCommits(cell, delayMs)
      await clock.tickAsync(3_000)
      cell.killNode(cell.owner!.name)
      await clock.tickAsync(TAKEOVER_MS)
      expect(cell.owner).to.not.equal(undefined)
    }
  }))
])
