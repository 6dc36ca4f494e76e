/**
 * Interfaces to the external services. Every call returns an `Outcome`: success, a failure that certainly had no effect
 * (`not-done`), or a failure that may have had one (`unknown`). No method throws or rejects.
 */
import type { Outcome, Resources } from '@gypsumspring/protocol'

/** A row of the table service. Each put increments `version`; a row that was never written has version 0. */
export interface Row {
  key: string
  version: number
  value: unknown
}

/** Precondition of a transaction. */
export interface RowCheck {
  key: string
  /** Version that the row must have; 0 means that it must not exist. */
  version: number
}

export type RowWrite =
  | { kind: 'put', key: string, value: unknown }
  | { kind: 'delete', key: string }

export interface Transaction {
  checks: RowCheck[]
  writes: RowWrite[]
}

/** The transactional table service. A failed check is reported as `conflict` with certainty `not-done`. */
export interface Table {
  /** Applies all writes if all checks hold, else none. Returns the new version of each row that was put, in order. */
  transact (transaction: Transaction): Promise<Outcome<{ versions: number[] }>>
  /** Returns the row, or undefined if it does not exist. */
  read (key: string): Promise<Outcome<Row | undefined>>
  /** Returns the rows whose key starts with `prefix`, in key order. */
  scan (prefix: string): Promise<Outcome<Row[]>>
}

/** The object store. Each object is written once under a unique or content-addressed key, so puts are idempotent. */
export interface ObjectStore {
  put (key: string, bytes: Uint8Array): Promise<Outcome<void>>
  get (key: string): Promise<Outcome<Uint8Array | undefined>>
  remove (key: string): Promise<Outcome<void>>
}

/** A VM in the platform's inventory. */
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

/** The platform's list of VMs, which may be out of date. */
export interface Inventory {
  list (): Promise<Outcome<Machine[]>>
}

export type AttemptState = 'running' | 'succeeded' | 'failed' | 'stopped' | 'checkpointed'

/** A worker's report on one attempt of a task. */
export interface AttemptReport {
  task: string
  attempt: number
  state: AttemptState
  resources: Resources
  /** Measured usage. May be out of date; absent until first measured. */
  usage?: Resources
  /** Shown to operators for failed attempts. */
  detail?: string
}

/** A session of a shard owner with a worker. */
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
  /** The worker stops the attempt if its lease is not renewed for this long, in ms on the worker's clock. */
  leaseMs: number
  payload: Record<string, unknown>
}

export interface StartResult {
  task: string
  attempt: number
  accepted: boolean
  /** State of the attempt, which has just started or was already known to the worker (assumption A3). */
  state?: AttemptState
  /** Why the attempt was not accepted. */
  detail?: string
}

/** A worker's state as seen by one shard. */
export interface WorkerInspection {
  /** Highest epoch seen for the shard; 0 before the first session. */
  epoch: number
  label: string
  capacity: Resources
  attempts: AttemptReport[]
}

/**
 * Client of one worker. Workers must satisfy assumptions A1 to A3 of docs/design.md (epoch fencing, session expiry,
 * idempotent start); that page also describes what still holds if one of them does not.
 */
export interface WorkerClient {
  /** Opens a session and fences lower epochs of the shard. Fails with `stale-epoch` if a higher epoch was seen. */
  openSession (
    request: { shard: string, epoch: number, ttlMs: number, label: string }
  ): Promise<Outcome<WorkerSession & WorkerInspection>>
  /**
   * Renews the session and the leases of the listed attempts. Returns every attempt that is running, or that has ended
   * and is not yet acknowledged. `acknowledge` lists ended attempts that the worker need no longer report.
   */
  heartbeat (session: WorkerSession, request: {
    renewals: Array<{ task: string, attempt: number }>
    leaseMs: number
    acknowledge: Array<{ task: string, attempt: number }>
  }): Promise<Outcome<{ attempts: AttemptReport[] }>>
  /** Starts attempts, with one result for each. Repeating a known attempt returns its state and starts nothing. */
  start (session: WorkerSession, starts: AttemptStart[]): Promise<Outcome<{ results: StartResult[] }>>
  stop (session: WorkerSession, request: { task: string, attempt: number, graceMs: number }): Promise<Outcome<void>>
  checkpoint (session: WorkerSession, request: { task: string, attempt: number }): Promise<Outcome<void>>
  throttle (
    session: WorkerSession, request: { task: string, attempt: number, cpuMillis: number }
  ): Promise<Outcome<void>>
  /** Reads the state of the worker. Needs no session. */
  inspect (shard: string): Promise<Outcome<WorkerInspection>>
}

/** Creates clients of workers. */
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
  /** Body chunks in order; iterating throws if the runner's connection closes before the whole body has arrived. */
  body: AsyncIterable<Uint8Array>
}

/**
 * HTTP client of the runners. A failure is `not-done` only if no byte of the request can have reached the runner, or if
 * the runner reports that it did not run the request (503 with `gs-outcome: not-run`).
 */
export interface RunnerClient {
  send (address: string, request: RunnerRequest): Promise<Outcome<RunnerResponse>>
  /** Limits the open connections to a runner; surplus idle ones are closed. */
  limitConnections (address: string, connections: number): void
  close (): Promise<void>
}

/** All external services in one object, which a third-party test harness can implement. */
export interface Platform {
  table: Table
  objects: ObjectStore
  inventory: Inventory
  workers: WorkerConnector
  runners: RunnerClient
}
