import { failureOf, sleep, valueOf } from '@gypsumspring/protocol'
import { JOB_LIST_POLL_MS } from '../constants/index.ts'
import type { MetricsRecorder, RecordStore, StoredRow } from '../ports.ts'
import { listJobPartitions } from '../records/index.ts'
import { READ_RETRY_MS } from './readUntilDone.ts'

/** Partitions that are read at the same time: the workers' answers must not wait behind all rows of all jobs. */
const READS_AT_ONCE = 4

/** Reads a table that other nodes write: all its rows at first, then those of which no notification arrived. */
export class Intake {
  readonly #store: RecordStore
  readonly #table: string
  readonly #take: (row: StoredRow) => void
  readonly #ended: AbortSignal
  readonly #counters: MetricsRecorder
  #complete = false

  constructor (
    store: RecordStore, table: string, take: (row: StoredRow) => void, ended: AbortSignal, counters: MetricsRecorder
  ) {
    this.#store = store
    this.#table = table
    this.#take = take
    this.#ended = ended
    this.#counters = counters
  }

  /** Whether all rows were read that were there when the owner began. */
  get isComplete (): boolean {
    return this.#complete
  }

  async run (): Promise<void> {
    let version = await this.#readAll()
    this.#complete = !this.#ended.aborted
    while (!this.#ended.aborted) {
      await sleep(JOB_LIST_POLL_MS)
      const outcome = await this.#store.changes(this.#table, version, 0)
      const changes = valueOf(outcome)
      if (changes !== undefined) {
        version = changes.version
        for (const row of changes.rows) if (row.value !== undefined) this.#take(row)
      } else if (failureOf(outcome)?.reason === 'not-found') version = await this.#readAll()
    }
  }

  /** @returns the version from which changes are to be read */
  async #readAll (): Promise<number> {
    const partitions = listJobPartitions()
    const versions: number[] = []
    const readNext = async (): Promise<void> => {
      for (let partition = partitions.shift(); partition !== undefined; partition = partitions.shift()) {
        const read = valueOf(await this.#store.read(this.#table, partition))
        if (this.#ended.aborted) return
        if (read === undefined) {
          // The others must not wait for a partition that is away.
          partitions.push(partition)
          this.#counters.count('store_retries', { what: this.#table })
          await sleep(READ_RETRY_MS)
          continue
        }
        for (const row of read.rows) this.#take(row)
        versions.push(read.version)
      }
    }
    await Promise.all(Array.from({ length: READS_AT_ONCE }, readNext))
    return Math.min(...versions)
  }
}
