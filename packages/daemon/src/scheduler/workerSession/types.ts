import type { AttemptReport, AttemptStart, StartResult, WorkerClient, WorkerInspection } from '@gypsumspring/adapters'
import type { AttemptId, LeaseRight } from '@gypsumspring/core'
import type { Failure } from '@gypsumspring/protocol'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { CallLimiter } from '../_lib/CallLimiter.ts'

/** What the owner of the shard tells a session and hears from it. Calls are synchronous. */
export interface SessionOwner {
  right (): LeaseRight
  /** Attempts whose leases the next heartbeat renews. */
  listRenewals (worker: string): AttemptId[]
  onOpened (worker: string, inspection: WorkerInspection): void
  onReports (worker: string, reports: AttemptReport[]): void
  onStarted (worker: string, results: StartResult[]): void
  onStartFailed (worker: string, starts: AttemptStart[], failure: Failure): void
  onSilent (worker: string): void
  /** The worker has seen a higher epoch. */
  onFenced (worker: string): void
}

export interface SessionOptions {
  worker: string
  client: WorkerClient
  shard: string
  epoch: number
  ownedSince: number
  label: () => string
  terms: { sessionTtlMs: number, taskLeaseMs: number, runHorizonMs: number, heartbeatMs: number }
  owner: SessionOwner
  startLimiter: CallLimiter
  callLimiter: CallLimiter
  log: Logger
  metrics: Metrics
}

export interface StopOrder extends AttemptId {
  checkpoint: boolean
}
