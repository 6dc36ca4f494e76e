import { sleep } from '@gypsumspring/protocol'
import type { RecordStore } from '../ports.ts'
import { CANCELS_TABLE, JOBS_TABLE, toJobPartitions } from '../records/index.ts'
import type { Cell } from './Cell.ts'

/** Time between two rounds, in ms; each takes one write for each partition with rows to remove. */
const ROUND_MS = 1_000

/** Jobs of one round; with two rows for each in a partition they fit into one transaction of 100. */
const MAX_JOBS_PER_ROUND = 50

/** Forgets ended jobs after the time for which their state can be asked for. */
export class Cleanup {
  readonly #cell: Cell
  readonly #store: RecordStore
  readonly #keepEndedMs: number
  readonly #forget: (id: string) => void
  readonly #ended: AbortSignal

  /** @param forget called for each job whose rows of other nodes are gone; its progress record is still there */
  constructor (
    cell: Cell, store: RecordStore, keepEndedMs: number, forget: (id: string) => void, ended: AbortSignal
  ) {
    this.#cell = cell
    this.#store = store
    this.#keepEndedMs = keepEndedMs
    this.#forget = forget
    this.#ended = ended
  }

  async run (): Promise<void> {
    while (!this.#ended.aborted) {
      await sleep(ROUND_MS)
      const removed = await this.#removeRows(this.#listOld())
      if (this.#ended.aborted) return
      for (const id of removed) {
        this.#cell.jobs.delete(id)
        this.#forget(id)
      }
    }
  }

  #listOld (): string[] {
    const before = Date.now() - this.#keepEndedMs
    const old: string[] = []
    for (const [id, job] of this.#cell.jobs) {
      if (old.length === MAX_JOBS_PER_ROUND) break
      if (job.isOver && job.endedAt <= before && !this.#cell.dirty.has(job)) old.push(id)
    }
    return old
  }

  /**
   * Removes the rows that nodes wrote when they accepted and cancelled the jobs. The progress record has to outlast
   * them: a job row without one is a new job to the next owner.
   *
   * @returns the jobs that have no such rows any more
   */
  async #removeRows (ids: readonly string[]): Promise<string[]> {
    const byPartition = new Map<string, string[]>()
    for (const id of ids) {
      for (const partition of toJobPartitions(id)) byPartition.set(partition, [...byPartition.get(partition) ?? [], id])
    }
    const left = new Set<string>()
    await Promise.all([...byPartition].map(async ([partition, keys]) => {
      const removes = keys.flatMap((key) => [{ table: JOBS_TABLE, key }, { table: CANCELS_TABLE, key }])
      const outcome = await this.#store.commit({ partition, expected: [], puts: [], removes })
      if (outcome.isLeft()) for (const key of keys) left.add(key)
    }))
    return ids.filter((id) => !left.has(id))
  }
}
