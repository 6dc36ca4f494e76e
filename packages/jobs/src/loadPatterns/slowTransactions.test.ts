import { expect } from 'chai'
import { describeCells } from './describeCells.ts'

/** Number of nodes, each of which sees only its own calls to the store. */
const NODES = 97

/** Jobs submitted per second, and for how long, in s. */
const JOBS_PER_S = 80
const SECONDS = 4

/** Share of the jobs that must be accepted before their callers give up. */
const TARGET_SHARE = 0.9

describeCells('A store with slow transactions', [
  {
    // The partitions of accepted jobs executed 40 transactions a second, and copies of unanswered ones took most of
    // these: 13 of 65 jobs a second were accepted.
    name: 'accepts the jobs of a burst',
    options: { nodes: NODES, workers: 10, storeLatencyMs: 5 },
    run: async (cell, clock) => {
      const results: string[] = []
      cell.rows.transactionMs = 400
      for (let index = 0; index < JOBS_PER_S * SECONDS; index++) {
        const id = index.toString(16).padStart(16, '0')
        cell.submit(id, [{ estimatedRunMs: 500 }], { node: `n${index % NODES}` })
          .then((result) => results.push(result), (error) => { throw error })
        await clock.tickAsync(1_000 / JOBS_PER_S)
      }
      await clock.tickAsync(3_000)
      const accepted = results.filter((result) => result === 'accepted').length
      expect(accepted / (JOBS_PER_S * SECONDS)).to.be.at.least(TARGET_SHARE)
      cell.rows.transactionMs = 0
      await clock.tickAsync(10_000)
    }
  }
])
