import type { AttemptResult } from '../recordTypes.ts'

export interface AttemptId {
  task: string
  attempt: number
}

/** An attempt that is recorded as live on the worker. */
export interface LiveAttempt extends AttemptId {
  /** The worker has confirmed the attempt to this owner. */
  confirmed: boolean
  stopRequested: boolean
}

export interface ReportedAttempt extends AttemptId {
  state: 'running' | 'succeeded' | 'failed' | 'stopped' | 'checkpointed'
}

export interface Reconciliation {
  /** Running as recorded. */
  running: AttemptId[]
  ended: Array<AttemptId & { result: AttemptResult }>
  /** Recorded, never confirmed and not reported: its start has to be sent to this worker again. */
  resend: AttemptId[]
  /** As `resend`, but a stop was requested: it has ended once no earlier start can still arrive. */
  absent: AttemptId[]
  /** Running although the journal has no record of it or records its end: has to be stopped. */
  surplus: AttemptId[]
  /** Has ended and is not live in the journal: the worker may discard its report. */
  forget: AttemptId[]
}

/**
 * Compares the attempts recorded as live on a worker with the complete report of the worker. Used at takeover and at
 * each heartbeat.
 *
 * @param live - Recorded attempts on the worker that have not ended.
 * @param reports - All attempts known to the worker whose end was not acknowledged.
 * @returns The attempts by the action they need. A confirmed attempt that is not reported was lost by the worker.
 *
 * @example
 * reconcileWorker([{ task: 'a', attempt: 1, confirmed: false, stopRequested: false }], [])
 * // => { resend: [{ task: 'a', attempt: 1 }], ... }
 */
export function reconcileWorker (live: LiveAttempt[], reports: ReportedAttempt[]): Reconciliation {
  const result: Reconciliation = { running: [], ended: [], resend: [], absent: [], surplus: [], forget: [] }
  const reported = new Map(reports.map((report) => [toKey(report), report]))
  const recorded = new Set<string>()
  for (const { task, attempt, confirmed, stopRequested } of live) {
    const key = toKey({ task, attempt })
    recorded.add(key)
    const state = reported.get(key)?.state
    if (state === 'running') result.running.push({ task, attempt })
    else if (state !== undefined) result.ended.push({ task, attempt, result: state })
    else if (confirmed) result.ended.push({ task, attempt, result: 'lost' })
    else result[stopRequested ? 'absent' : 'resend'].push({ task, attempt })
  }
  for (const { task, attempt, state } of reports) {
    if (!recorded.has(toKey({ task, attempt }))) result[state === 'running' ? 'surplus' : 'forget'].push({ task, attempt })
  }
  return result
}

function toKey ({ task, attempt }: AttemptId): string {
  return `${task}#${attempt}`
}
