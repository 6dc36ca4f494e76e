import type { Outcome } from '@gypsumspring/protocol'
import type {
  QueueConfiguration, RunOrder, StartOrder, StartRefusal, TaskKey, WorkerEntry, WorkerView
} from './types.ts'

export interface StoredRow {
  table: string
  partition: string
  key: string
  version: number
  /** Undefined for a removed row. */
  value: Uint8Array | undefined
}

export interface RowAddress {
  table: string
  key: string
}

/** All rows of a commit are in one partition. */
export interface Commit {
  partition: string
  /** Versions that rows must have; 0 means that the row must be absent. */
  expected: Array<RowAddress & { version: number }>
  puts: Array<RowAddress & { value: Uint8Array }>
  removes: RowAddress[]
}

export type CommitResult =
  | { kind: 'committed', version: number }
  /** Nothing was written; the rows that were expected, as they are. */
  | { kind: 'conflict', rows: StoredRow[] }

export interface RowChanges {
  rows: StoredRow[]
  /** Where to continue. */
  version: number
}

/** The platform's store of rows. Calls are linearizable; a commit without answer may still be applied later. */
export interface RecordStore {
  commit (commit: Commit, options?: { timeoutMs?: number }): Promise<Outcome<CommitResult>>
  /** Reads a whole table of one partition. */
  read (table: string, partition: string): Promise<Outcome<RowChanges>>
  /** Reads one row; undefined when absent. */
  readRow (
    table: string, partition: string, key: string, options?: { timeoutMs?: number }
  ): Promise<Outcome<StoredRow | undefined>>
  /** Reads what changed after a version; `not-found` when the history no longer reaches back. */
  changes (table: string, after: number, waitMs: number): Promise<Outcome<RowChanges>>
}

export type StartResult = { kind: 'started' } | { kind: 'refused', reason: StartRefusal }

/** Orders to one incarnation of a worker. */
export interface WorkerLink {
  /** Renews the lease of all tasks and lists them; waits up to `waitMs` for an end that is new. */
  look (options: {
    token: number,
    acknowledged: number,
    leaseUntil?: number,
    waitMs?: number
  }): Promise<Outcome<WorkerView>>
  start (order: StartOrder, token: number, leaseUntil: number): Promise<Outcome<StartResult>>
  stop (order: RunOrder, token: number): Promise<Outcome<void>>
  pace (order: RunOrder, percent: number, token: number): Promise<Outcome<void>>
  close (): void
}

export interface WorkerLinks {
  open (worker: WorkerEntry): WorkerLink
}

export interface Advice {
  /** Tickets of the workers that may run the step, by worker. */
  tickets: Array<[string, string]>
}

/** Asks the policy service which workers may run a step. */
export interface Adviser {
  advise (step: Pick<TaskKey, 'job' | 'occurrence' | 'step'>, workers: string[],
    timeoutMs: number): Promise<Outcome<Advice>>
}

/** The workers as they are registered. */
export interface WorkerRegistry {
  /** Reads all entries. */
  list (): Promise<Outcome<{ workers: WorkerEntry[], version: number }>>
  /** Reads the entries that changed and the ids that were removed. */
  changes (after: number, waitMs: number): Promise<Outcome<{
    workers: WorkerEntry[],
    removed: string[],
    version: number
  }>>
}

export interface ConfigurationSource {
  /** The newest configuration in force here; undefined before the first. */
  current (): QueueConfiguration | undefined
}

/** Writes one log line for a decision. */
export interface DecisionLog {
  info (fields: Record<string, unknown>, message: string): void
  warn (fields: Record<string, unknown>, message: string): void
}

export interface Counters {
  count (name: string, labels?: Record<string, string>, amount?: number): void
  recordDuration (name: string, milliseconds: number): void
  set (name: string, value: number, labels?: Record<string, string>): void
}
