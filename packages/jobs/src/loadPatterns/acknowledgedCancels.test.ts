import { expect } from 'chai'
import { sleep, unknownEffect } from '@gypsumspring/protocol'
import type { MemoryCell } from '../standins/index.ts'
import { CANCELS_TABLE, toJobPartitions } from '../records/index.ts'
import { describeCells, fetchState, submitInBackground } from './describeCells.ts'

const CANCELLED = '00000000000000a1'
const OTHER = '00000000000000a2'

/** Time after which the cell has a new owner, in ms. */
const TAKEOVER_MS = 1_000

/** Makes the reads of cancelled jobs fail for all nodes for a time in ms, in the partitions of one job only. */
function failReadsOfCancels (cell: MemoryCell, id: string, forMs: number): void {
  const until = performance.now() + forMs
  const partitions = toJobPartitions(id)
  for (const { store } of cell.nodes.values()) {
    const read = store.read.bind(store)
    store.read = async (table, partition) => {
      if (table !== CANCELS_TABLE || !partitions.includes(partition) || performance.now() > until) {
        return await read(table, partition)
      }
      await sleep(250)
      return unknownEffect('timeout', 'no answer from the store')
    }
  }
}

describeCells('A new owner', [
  {
    // It started jobs whose cancels had been acknowledged and that it had not read yet.
    name: 'starts no cancelled job while it has not read the cancels of its partitions',
    run: async (cell, clock) => {
      cell.killNode(cell.owner!.name)
      failReadsOfCancels(cell, CANCELLED, TAKEOVER_MS + 1_000)
      submitInBackground(cell, CANCELLED, [{ longRunning: true }])
      submitInBackground(cell, OTHER, [{ longRunning: true }])
      await clock.tickAsync(50)
      const cancelled = cell.cancel(CANCELLED)
      await clock.tickAsync(50)
      expect(cell.owner).to.equal(undefined)
      expect(await cancelled).to.equal(true)
      await clock.tickAsync(TAKEOVER_MS)
      expect(cell.owner).not.to.equal(undefined)
      expect(cell.checker.countRunning(`${OTHER}.0.0.0`)).to.equal(1)
      await clock.tickAsync(10_000)
      expect(cell.checker.starts).to.equal(1)
      expect(await fetchState(cell, clock, CANCELLED)).to.equal('cancelled')
    }
  },
  {
    name: 'starts waiting tasks of a job after 2 s if it can not read the cancels of its partitions',
    run: async (cell, clock) => {
      cell.killNode(cell.owner!.name)
      failReadsOfCancels(cell, OTHER, 60_000)
      submitInBackground(cell, OTHER, [{ longRunning: true }])
      await clock.tickAsync(TAKEOVER_MS)
      expect(cell.owner).not.to.equal(undefined)
      expect(cell.checker.starts).to.equal(0)
      await clock.tickAsync(2_000)
      expect(cell.checker.countRunning(`${OTHER}.0.0.0`)).to.equal(1)
    }
  }
])
