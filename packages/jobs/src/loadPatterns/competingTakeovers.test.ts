import { expect } from 'chai'
import type { MemoryCell } from '../standins/index.ts'
import { describeCells } from './describeCells.ts'

/** Nodes on strong and on weak machines; these wait longer before they claim the cell. */
const STRONG_NODES = 10
const WEAK_NODES = 50

/** Claims that may fail: those of nodes that are as strong as the first one. */
const MAX_CONFLICTS = STRONG_NODES

/** Counts the commits that fail since the cell has another owner than they expect. */
function countConflicts (cell: MemoryCell): { conflicts: number } {
  const count = { conflicts: 0 }
  const apply = cell.rows.apply.bind(cell.rows)
  cell.rows.apply = (commit) => {
    const result = apply(commit)
    if (result.kind === 'conflict') count.conflicts++
    return result
  }
  return count
}

const weakNodes = Array.from({ length: WEAK_NODES }, (_, index) => `n${STRONG_NODES + index}`)

describeCells('Many nodes that find the owner gone', [
  {
    // Nearly all of 97 nodes claimed the cell after another one had it, and the partition executed their transactions
    // before the first ones of the new owner.
    name: 'make few claims',
    options: { nodes: STRONG_NODES + WEAK_NODES, weakNodes, workers: 4, storeLatencyMs: 10 },
    run: async (cell, clock) => {
      await clock.tickAsync(2_000)
      const count = countConflicts(cell)
      const previous = cell.owner!
      cell.killNode(previous.name)
      await clock.tickAsync(2_000)
      expect(cell.owner).to.not.equal(undefined)
      expect(count.conflicts).to.be.at.most(MAX_CONFLICTS)
    }
  }
])
