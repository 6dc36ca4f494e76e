import { sleep } from '@gypsumspring/protocol'
import type { RecordStore } from '../ports.ts'
import { CANCELS_TABLE, JOBS_TABLE, toJobPartitions } from '../records/index.ts'
import type { Cell } from './Cell.ts'

/** Time between two cleanup rounds, in ms. A round makes one write per partition with rows to remove. */
const ROUND_INTERVAL_MS = 1_000

/** Most jobs per round: each has up to two rows in a partition, and a transaction is limited to 100 entries. */
const MAX_JOBS_PER_ROUND = 50

/** Removes ended jobs from memory and from the store when their retention time is over. */
export class JobCleanup {
  readonly #cell: Cell
  readonly #store: RecordStore
  readonly #keepEndedMs: number
  readonly #onRemoved: (id: string) => void
  readonly #signal: AbortSignal

  /** @param onRemoved called for each job whose job and cancel rows are removed; its progress record still exists */
  constructor (
    cell: Cell, store: RecordStore, keepEndedMs: number, onRemoved: (id: string) => void, signal: AbortSignal
  ) {
    this.#cell = cell
    this.#store = store
    this.#keepEndedMs = keepEndedMs
    this.#onRemoved = onRemoved
    this.#signal = signal
  }

  async run (): Promise<void> {
    while (!this.#signal.aborted) {
      await sleep(ROUND_INTERVAL_MS)
      const removed = await this.#removeRows(this.#listExpired())
      if (this.#signal.aborted) return
      for (const id of removed) {
        this.#cell.jobs.delete(id)
        this.#onRemoved(id)
      }
    }
  }

  #listExpired (): string[] {
    const before = Date.now() - this.#keepEndedMs
    const expired: string[] = []
    for (const [id, job] of this.#cell.jobs) {
      if (expired.length === MAX_JOBS_PER_ROUND) break
      if (job.isOver && job.endedAt <= before && !this.#cell.dirty.has(job)) expired.push(id)
    }
    return expired
  }

  /**
   * Removes the rows that nodes wrote when they accepted and cancelled the jobs. The progress record must be removed
   * after them, since the next owner would take a job row without a progress record for a new job.
   *
   * @returns ids of the jobs whose rows are all removed
   */
  async #removeRows (ids: readonly string[]): Promise<string[]> {
    const byPartition = new Map<string, string[]>()
    for (const id of ids) {
      for (const partition of toJobPartitions(id)) byPartition.set(partition, [...byPartition.get(partition) ?? [], id])
    }
    const failed = new Set<string>()
    await Promise.all([...byPartition].map(async ([partition, keys]) => {
      const removes = keys.flatMap((key) => [{ table: JOBS_TABLE, key }, { table: CANCELS_TABLE, key }])
      const outcome = await this.#store.commit({ partition, expected: [], puts: [], removes })
      if (outcome.isLeft()) for (const key of keys) failed.add(key)
    }))
    return ids.filter((id) => !failed.has(id))
  }
}
