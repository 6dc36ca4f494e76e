import { failureOf, sleep, valueOf } from '@gypsumspring/protocol'
import { JOB_LIST_POLL_MS } from '../constants/index.ts'
import type { MetricsRecorder, RecordStore, StoredRow } from '../ports.ts'
import { listJobPartitions } from '../records/index.ts'
import { READ_RETRY_DELAY_MS } from './readWithRetry.ts'

interface Options {
  /** Partitions that are read concurrently. */
  maxConcurrentReads: number
  /** Called when all rows that existed when the owner started have been read. */
  onComplete?: () => void
}

/**
 * Reads a table that other nodes write: first all rows, then changes at intervals. Nodes also notify the owner
 * directly, so that polling only has to find the rows whose notification was lost.
 */
export class TablePoller {
  readonly #store: RecordStore
  readonly #table: string
  readonly #onRow: (row: StoredRow) => void
  readonly #signal: AbortSignal
  readonly #metrics: MetricsRecorder
  readonly #options: Options
  readonly #readPartitions = new Set<string>()
  #complete = false

  constructor (
    store: RecordStore, table: string, onRow: (row: StoredRow) => void, signal: AbortSignal, metrics: MetricsRecorder,
    options: Options
  ) {
    this.#options = options
    this.#store = store
    this.#table = table
    this.#onRow = onRow
    this.#signal = signal
    this.#metrics = metrics
  }

  /** Whether all rows that existed when the owner started have been read. */
  get isComplete (): boolean {
    return this.#complete
  }

  /** Whether all rows of some partitions that existed when the owner started have been read. */
  hasRead (partitions: readonly string[]): boolean {
    return partitions.every((partition) => this.#readPartitions.has(partition))
  }

  async run (): Promise<void> {
    let version = await this.#readAll()
    this.#complete = !this.#signal.aborted
    if (this.#complete) this.#options.onComplete?.()
    while (!this.#signal.aborted) {
      await sleep(JOB_LIST_POLL_MS)
      const outcome = await this.#store.changes(this.#table, version, 0)
      const changes = valueOf(outcome)
      if (changes !== undefined) {
        version = changes.version
        for (const row of changes.rows) if (row.value !== undefined) this.#onRow(row)
      } else if (failureOf(outcome)?.reason === 'not-found') version = await this.#readAll()
    }
  }

  /** @returns the version after which changes have to be read */
  async #readAll (): Promise<number> {
    const partitions = listJobPartitions()
    const versions: number[] = []
    const readNext = async (): Promise<void> => {
      for (let partition = partitions.shift(); partition !== undefined; partition = partitions.shift()) {
        const read = valueOf(await this.#store.read(this.#table, partition))
        if (this.#signal.aborted) return
        if (read === undefined) {
          // Retry later, so that an unavailable partition doesn't delay the others.
          partitions.push(partition)
          this.#metrics.count('store_retries', { what: this.#table })
          await sleep(READ_RETRY_DELAY_MS)
          continue
        }
        for (const row of read.rows) this.#onRow(row)
        this.#readPartitions.add(partition)
        versions.push(read.version)
      }
    }
    await Promise.all(Array.from({ length: this.#options.maxConcurrentReads }, readNext))
    return Math.min(...versions)
  }
}
