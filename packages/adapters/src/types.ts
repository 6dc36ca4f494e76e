/**
 * The narrow interfaces to everything outside the system. Every call answers with an `Outcome`: success, a failure that
 * certainly had no effect (`not-done`), or a failure that may have had one (`unknown`). No method throws or rejects.
 */
import type { Outcome, Resources } from '@gypsumspring/protocol'

/** A row of the table service. Every put raises `version` by one; a row that was never written has version 0. */
export interface Row {
  key: string
  version: number
  value: unknown
}

export interface RowCheck {
  key: string
  /** Version the row must have; 0 means that the row must be absent. */
  version: number
}

export type RowWrite =
  | { kind: 'put', key: string, value: unknown }
  | { kind: 'delete', key: string }

export interface Transaction {
  checks: RowCheck[]
  writes: RowWrite[]
}

/** The transactional table service. A failed check is `conflict` with certainty `not-done`. */
export interface Table {
  /** Applies all writes if all checks hold, else nothing. Returns the new version of each row put, in order. */
  transact (transaction: Transaction): Promise<Outcome<{ versions: number[] }>>
  /** Returns the row, or undefined when absent. */
  read (key: string): Promise<Outcome<Row | undefined>>
  /** Returns the rows whose key starts with `prefix`, in key order. */
  scan (prefix: string): Promise<Outcome<Row[]>>
}

/** The object store. An object is written once under a unique or content-addressed key; a repeated put is harmless. */
export interface ObjectStore {
  put (key: string, bytes: Uint8Array): Promise<Outcome<void>>
  get (key: string): Promise<Outcome<Uint8Array | undefined>>
  remove (key: string): Promise<Outcome<void>>
}

export interface Machine {
  id: string
  kind: 'entry' | 'worker' | 'runner'
  failureDomain: string
  rack: string
  /** IP address and port of the machine's own interface (worker API, or the RPC port of an entry VM's process). */
  address: string
  state: 'live' | 'leaving'
  capacity?: Resources
}

/** The platform's list of VMs. It lags behind the truth. */
export interface Inventory {
  list (): Promise<Outcome<Machine[]>>
}

export type AttemptState = 'running' | 'succeeded' | 'failed' | 'stopped' | 'checkpointed'

/** What a worker says of one attempt of a task. */
export interface AttemptReport {
  task: string
  attempt: number
  state: AttemptState
  resources: Resources
  /** Measured use; lags, absent until first measured. */
  usage?: Resources
  /** Shown to operators for failed attempts. */
  detail?: string
}

export interface WorkerSession {
  worker: string
  session: string
  shard: string
  epoch: number
}

export interface AttemptStart {
  task: string
  attempt: number
  resources: Resources
  /** The attempt stops by itself when its lease is not renewed for this long, in ms on the worker's clock. */
  leaseMs: number
  payload: Record<string, unknown>
}

export interface StartResult {
  task: string
  attempt: number
  accepted: boolean
  /** State of an attempt that was known before (assumption A3) or has just started. */
  state?: AttemptState
  /** Why the attempt was not accepted. */
  detail?: string
}

export interface WorkerInspection {
  /** Highest epoch seen for the shard; 0 before the first session. */
  epoch: number
  label: string
  capacity: Resources
  attempts: AttemptReport[]
}

/**
 * One worker of the platform. Assumptions A1 to A3 of docs/design.md (epoch fencing, session expiry, idempotent start)
 * are part of this interface; the page says what holds without each.
 */
export interface WorkerClient {
  /** Opens a session and fences every lower epoch of the shard: `stale-epoch` when a higher one was seen. */
  openSession (
    request: { shard: string, epoch: number, ttlMs: number, label: string }
  ): Promise<Outcome<WorkerSession & WorkerInspection>>
  /**
   * Renews the session and the leases of the attempts named; reports every attempt that runs, or that has ended and is
   * not acknowledged yet. `acknowledge` lists ended attempts that the worker may forget.
   */
  heartbeat (session: WorkerSession, request: {
    renewals: Array<{ task: string, attempt: number }>
    leaseMs: number
    acknowledge: Array<{ task: string, attempt: number }>
  }): Promise<Outcome<{ attempts: AttemptReport[] }>>
  /** Starts attempts; each answers by itself. A repeat of a known attempt answers with its state and starts nothing. */
  start (session: WorkerSession, starts: AttemptStart[]): Promise<Outcome<{ results: StartResult[] }>>
  stop (session: WorkerSession, request: { task: string, attempt: number, graceMs: number }): Promise<Outcome<void>>
  checkpoint (session: WorkerSession, request: { task: string, attempt: number }): Promise<Outcome<void>>
  throttle (
    session: WorkerSession, request: { task: string, attempt: number, cpuMillis: number }
  ): Promise<Outcome<void>>
  /** Needs no session and changes nothing. */
  inspect (shard: string): Promise<Outcome<WorkerInspection>>
}

/** Makes the client of the worker at an address. */
export interface WorkerConnector {
  connect (machine: Pick<Machine, 'id' | 'address'>): WorkerClient
  close (): Promise<void>
}

export interface RunnerRequest {
  method: string
  path: string
  headers: Record<string, string | string[]>
  body: Uint8Array
  timeoutMs: number
  signal?: AbortSignal
}

export interface RunnerResponse {
  status: number
  headers: Record<string, string | string[]>
  /** The body in order; iterating throws when the runner's connection ends before the whole body has arrived. */
  body: AsyncIterable<Uint8Array>
}

/**
 * One HTTP exchange with a runner. `not-done` only when no byte of the request can have reached the runner, or the
 * runner itself said that it did not run it (503 with `gs-outcome: not-run`).
 */
export interface RunnerClient {
  send (address: string, request: RunnerRequest): Promise<Outcome<RunnerResponse>>
  /** Limits open connections to a runner; surplus idle ones are closed. */
  limitConnections (address: string, connections: number): void
  close (): Promise<void>
}

/** Everything outside, as one bundle that a foreign test bench can implement. */
export interface Platform {
  table: Table
  objects: ObjectStore
  inventory: Inventory
  workers: WorkerConnector
  runners: RunnerClient
}
