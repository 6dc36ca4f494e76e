import { failureOf, valueOf, type Outcome } from '@gypsumspring/protocol'
import type { Commit, CommitResult, StoredRow } from '../ports.ts'

/** Copies of conditional commits that were sent and that the store may have applied or may still apply. */
export class PendingCopies {
  /** Number of such copies of each commit. */
  readonly #counts = new Map<Commit, number>()

  /** Whether the store may have applied one of the copies, or may still do so. */
  get mayApply (): boolean {
    return this.#counts.size > 0
  }

  recordSent (commit: Commit): void {
    this.#counts.set(commit, (this.#counts.get(commit) ?? 0) + 1)
  }

  /** Records the outcome of a copy, also when its answer is no longer waited for. */
  recordOutcome (commit: Commit, outcome: Outcome<CommitResult>): void {
    const count = this.#counts.get(commit)
    if (count === undefined) return
    const result = valueOf(outcome)
    // Versions only rise, so that after a conflict no other copy can meet the condition any more.
    if (result?.kind === 'conflict' && showsNoEffect(commit, result.rows)) this.#counts.delete(commit)
    else if (failureOf(outcome)?.certainty === 'not-done') {
      if (count > 1) this.#counts.set(commit, count - 1)
      else this.#counts.delete(commit)
    }
  }
}

/** Whether the current rows of a conflict show that no copy of the commit was applied. */
function showsNoEffect ({ expected, puts }: Commit, rows: readonly StoredRow[]): boolean {
  const isUnchanged = ({ table, key }: Commit['puts'][number]) => {
    const isRow = (row: { table: string, key: string }) => row.table === table && row.key === key
    return (rows.find(isRow)?.version ?? 0) === (expected.find(isRow)?.version ?? 0)
  }
  return rows.length > 0 && puts.every(isUnchanged)
}
