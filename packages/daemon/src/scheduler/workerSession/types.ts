import type { AttemptReport, AttemptStart, StartResult, WorkerClient, WorkerInspection } from '@gypsumspring/adapters'
import type { AttemptId, LeaseRight } from '@gypsumspring/core'
import type { Failure } from '@gypsumspring/protocol'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { CallLimiter } from '../_lib/CallLimiter.ts'

/** Interface through which a session queries and notifies the owner of the shard. Calls are synchronous. */
export interface SessionDelegate {
  /** What the shard's lease permits at this moment. */
  right (): LeaseRight
  /** Lists the attempts whose task leases the next heartbeat renews. */
  listRenewals (worker: string): AttemptId[]
  /** A session was opened; the worker has reported its capacity and its attempts. */
  onOpened (worker: string, inspection: WorkerInspection): void
  onReports (worker: string, reports: AttemptReport[]): void
  onStarted (worker: string, results: StartResult[]): void
  onStartFailed (worker: string, starts: AttemptStart[], failure: Failure): void
  /** A call failed after the worker was reachable. */
  onUnreachable (worker: string): void
  /** The worker knows a higher epoch, so the shard has another owner. */
  onFenced (worker: string): void
}

export interface SessionOptions {
  worker: string
  client: WorkerClient
  shard: string
  epoch: number
  /** When the owner took the shard over, in ms. */
  ownedSince: number
  /** Text that the worker shows with the session; the configuration version. */
  label: () => string
  durations: { sessionTtlMs: number, taskLeaseMs: number, runHorizonMs: number, heartbeatMs: number }
  delegate: SessionDelegate
  startLimiter: CallLimiter
  callLimiter: CallLimiter
  log: Logger
  metrics: Metrics
}

/** Request to stop an attempt; `checkpoint` asks for a checkpoint first. */
export interface StopRequest extends AttemptId {
  checkpoint: boolean
}
