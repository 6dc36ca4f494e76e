import { done, valueOf, type Outcome } from '@gypsumspring/protocol'
import type { Instant } from '../instant/index.ts'
import type { Commit, StoredRow } from '../ports.ts'
import { FENCE_KEY, FENCES_TABLE, JOBS_TABLE, toJobPartitions } from '../records/index.ts'
import { FenceRaiser, type FenceStore } from './FenceRaiser.ts'
import { JobFence } from './JobFence.ts'

/**
 * Fences off job writes that are still on their way to the store. Each partition has a fence row, and a job is stored
 * only under the condition that the fence still has the version that the writing node knows. Raising the fence changes
 * its version, so that the store refuses all writes that were sent before, also those of nodes that have ended.
 */
export class JobFences {
  readonly #store: FenceStore
  readonly #fences = new Map<string, JobFence>()
  readonly #raisers = new Map<string, FenceRaiser>()

  constructor (store: FenceStore) {
    this.#store = store
  }

  /** Creates the commits that store a job unless it is stored or has been fenced off, one for each partition. */
  createCommits (id: string, value: Uint8Array): Commit[] {
    const key = { table: JOBS_TABLE, key: id }
    return toJobPartitions(id).map((partition) => ({
      partition,
      expected: [
        { ...key, version: 0 },
        { table: FENCES_TABLE, key: FENCE_KEY, version: this.#fenceOf(partition).version }
      ],
      puts: [{ ...key, value }],
      removes: []
    }))
  }

  /**
   * Finds out whether the store has refused to store a job since it is stored, and takes note of the fence.
   *
   * @param id - Id of the job.
   * @param rows - Current rows of the conflict; those that don't exist may be missing.
   * @param storeMs - Time on the store's clock in the answer, if it tells.
   */
  resolveConflict (id: string, rows: readonly StoredRow[], storeMs: number | undefined): { isStored: boolean } {
    const row = rows.find(({ table }) => table === FENCES_TABLE)
    const partitions = row === undefined ? toJobPartitions(id) : [row.partition]
    for (const partition of partitions) this.#fenceOf(partition).update(row, storeMs)
    return { isStored: rows.some(({ table, version }) => table === JOBS_TABLE && version > 0) }
  }

  /** Whether the job was, or may have been, cancelled since a call to store it began. */
  isCancelled (id: string, callBeganAt: Instant): boolean {
    return toJobPartitions(id).some((partition) => this.#fenceOf(partition).isCancelled(id, callBeganAt))
  }

  /**
   * Fences off the writes of a job that may still be on their way to the store.
   *
   * @param id - Id of the job.
   * @returns Whether the job is stored. If not, no write that was sent before can store it any more.
   */
  async raise (id: string): Promise<Outcome<boolean>> {
    const raised = await Promise.all(toJobPartitions(id).map((partition) => this.#raiserOf(partition).raise(id)))
    if (raised.some((outcome) => valueOf(outcome) === true)) return done(true)
    return raised.find((outcome) => outcome.isLeft()) ?? done(false)
  }

  #fenceOf (partition: string): JobFence {
    let fence = this.#fences.get(partition)
    if (fence === undefined) this.#fences.set(partition, fence = new JobFence())
    return fence
  }

  #raiserOf (partition: string): FenceRaiser {
    let raiser = this.#raisers.get(partition)
    if (raiser === undefined) {
      this.#raisers.set(partition, raiser = new FenceRaiser(this.#store, partition, this.#fenceOf(partition)))
    }
    return raiser
  }
}
