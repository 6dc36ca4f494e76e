import type { Row, RowWrite, Table, Transaction } from '@gypsumspring/adapters'
import { done, notDone, type Outcome } from '@gypsumspring/protocol'
import { FaultInjector } from '../faults/index.ts'

/** In-memory table service with fault injection. Values are copied, as they would be over a network. */
export class MemoryTable implements Table {
  readonly faults = new FaultInjector()
  readonly #rows = new Map<string, Row>()
  /** Version numbers survive a delete, so that a row written again never has the version of the deleted row. */
  readonly #lastVersions = new Map<string, number>()
  /** Called for each write that takes effect. */
  onWrite: (write: RowWrite) => void = () => {}
  /** Number of transactions that took effect. */
  writeCount = 0
  /** Number of reads and scans. */
  readCount = 0

  transact (transaction: Transaction): Promise<Outcome<{ versions: number[] }>> {
    return this.faults.apply(() => {
      for (const check of transaction.checks) {
        const version = this.#rows.get(check.key)?.version ?? 0
        if (version !== check.version) {
          return notDone('conflict', `row ${check.key} has version ${version}, expected ${check.version}`)
        }
      }
      this.writeCount++
      return done({ versions: transaction.writes.flatMap((write) => this.#write(write)) })
    })
  }

  read (key: string): Promise<Outcome<Row | undefined>> {
    return this.faults.apply(() => {
      this.readCount++
      const row = this.#rows.get(key)
      return done(row && structuredClone(row))
    })
  }

  scan (prefix: string): Promise<Outcome<Row[]>> {
    return this.faults.apply(() => {
      this.readCount++
      const rows = [...this.#rows.values()].filter((row) => row.key.startsWith(prefix))
      return done(structuredClone(rows.sort((a, b) => a.key < b.key ? -1 : 1)))
    })
  }

  #write (write: Transaction['writes'][number]): number[] {
    this.onWrite(write)
    if (write.kind === 'delete') {
      this.#rows.delete(write.key)
      return []
    }
    const version = (this.#lastVersions.get(write.key) ?? 0) + 1
    this.#lastVersions.set(write.key, version)
    this.#rows.set(write.key, { key: write.key, version, value: structuredClone(write.value) })
    return [version]
  }
}
