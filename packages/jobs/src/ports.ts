import type { Outcome } from '@gypsumspring/protocol'
import type {
  QueueConfiguration, RunOrder, StartOrder, StartRefusal, TaskKey, WorkerEntry, WorkerReport
} from './types.ts'

export interface StoredRow {
  table: string
  partition: string
  key: string
  version: number
  /** Undefined when the row was removed. */
  value: Uint8Array | undefined
}

export interface RowAddress {
  table: string
  key: string
}

/** An atomic, conditional write. All its rows belong to one partition. */
export interface Commit {
  partition: string
  /** Versions that the rows must have for the commit to apply; 0 requires the row to be absent. */
  expected: Array<RowAddress & { version: number }>
  puts: Array<RowAddress & { value: Uint8Array }>
  removes: RowAddress[]
}

export type CommitResult =
  /** `nowMs` is the time on the store's steady clock when it answered; undefined when it doesn't tell. */
  | { kind: 'committed', version: number, nowMs?: number }
  /** An expected version did not match and nothing was written; `rows` are the current rows of `expected`. */
  | { kind: 'conflict', rows: StoredRow[], nowMs?: number }

export interface RowChanges {
  rows: StoredRow[]
  /** Version of the store as of this answer, from which the next read continues. */
  version: number
  /** Time on the store's steady clock when it answered, in ms; undefined when it doesn't tell. */
  nowMs?: number
}

export interface ReadOptions {
  /** Called when a part of the answer arrives, but not for refusals. Stores without partial answers never call it. */
  onProgress?: () => void
  /** Cuts the read off. */
  signal?: AbortSignal
}

/**
 * The platform's row store. Calls are linearizable; a commit that timed out may still be applied later. The timeout of
 * a read limits the wait for the first part of its answer: large rows may take seconds to arrive over a slow link.
 */
export interface RecordStore {
  commit (commit: Commit, options?: { timeoutMs?: number }): Promise<Outcome<CommitResult>>
  /** Reads all rows of a table in one partition. */
  read (table: string, partition: string, options?: ReadOptions): Promise<Outcome<RowChanges>>
  /** Reads one row; undefined when absent. */
  readRow (
    table: string, partition: string, key: string, options?: ReadOptions & { timeoutMs?: number }
  ): Promise<Outcome<StoredRow | undefined>>
  /**
   * Reads the rows that changed after a version, waiting up to `waitMs` for a change. Fails with `not-found` when the
   * history no longer reaches back to that version.
   */
  changes (table: string, after: number, waitMs: number, options?: ReadOptions): Promise<Outcome<RowChanges>>
}

export type StartResult = { kind: 'started' } | { kind: 'refused', reason: StartRefusal }

/**
 * Client for one incarnation of a worker. Another one may answer at its address under its id. Polls that acknowledge
 * ends or renew the lease, and starts, reach only the incarnation that has answered the last poll; they fail as not
 * done with the reason `closed` when the connection at hand may lead to another. Other calls reach any incarnation.
 */
export interface WorkerClient {
  /**
   * Renews the lease of all runs until `leaseUntil` on the worker's clock, acknowledges ended runs up to the sequence
   * number `acknowledged`, and reads the worker's report. Waits up to `waitMs` for an end that is not yet acknowledged.
   */
  poll (options: {
    token: number,
    acknowledged: number,
    leaseUntil?: number,
    waitMs?: number
  }): Promise<Outcome<WorkerReport>>
  /** Starts a run. `leaseUntil` is on the worker's clock, as for `poll`. */
  start (order: StartOrder, token: number, leaseUntil: number): Promise<Outcome<StartResult>>
  stop (order: RunOrder, token: number): Promise<Outcome<void>>
  /** Sets the pace of a filler task. */
  pace (order: RunOrder, percent: number, token: number): Promise<Outcome<void>>
  close (): void
}

export interface WorkerConnector {
  /** Returns a client for the worker. */
  open (worker: WorkerEntry): WorkerClient
}

export interface Advice {
  /** Pairs of worker id and ticket, one for each worker that may run the step. */
  tickets: Array<[string, string]>
}

/** Client of the policy service, which decides which workers may run a step. */
export interface Adviser {
  /** Asks for tickets for the given workers. */
  advise (step: Pick<TaskKey, 'job' | 'occurrence' | 'step'>, workers: string[],
    timeoutMs: number): Promise<Outcome<Advice>>
}

/** Registry of all workers of the cell. */
export interface WorkerRegistry {
  /** Reads all entries. */
  list (): Promise<Outcome<{ workers: WorkerEntry[], version: number }>>
  /** Reads the entries that changed, and the ids that were removed, after a version; waits up to `waitMs`. */
  changes (after: number, waitMs: number): Promise<Outcome<{
    workers: WorkerEntry[],
    removed: string[],
    version: number
  }>>
}

export interface MachineEntry {
  /** Name of the machine; it stays the same while workers on it begin and end. */
  machine: string
  /** Id of the worker that the machine runs; empty when it runs none. */
  worker: string
}

/** The platform's inventory of the machines on which workers run. */
export interface WorkerInventory {
  /**
   * Lists all machines. Fails unless the listing is complete. Its parts may be of different times: a machine that moves
   * between them may be missing or listed twice.
   */
  listMachines (): Promise<Outcome<readonly MachineEntry[]>>
}

export interface ConfigurationSource {
  /** Latest configuration in force on this node; undefined before the first one has arrived. */
  current (): QueueConfiguration | undefined
}

/** Writes structured log lines. */
export interface LogWriter {
  info (fields: Record<string, unknown>, message: string): void
  warn (fields: Record<string, unknown>, message: string): void
}

/** Records counters, durations and gauges. */
export interface MetricsRecorder {
  count (name: string, labels?: Record<string, string>, amount?: number): void
  recordDuration (name: string, milliseconds: number): void
  /** Sets a gauge. */
  set (name: string, value: number, labels?: Record<string, string>): void
}
