import type { AttemptEnd } from '../recordTypes.ts'

export interface AttemptId {
  task: string
  attempt: number
}

/** An attempt that is recorded as live on the worker. */
export interface LiveAttempt extends AttemptId {
  /** The worker has confirmed the attempt to this owner. */
  confirmed: boolean
  stopWanted: boolean
}

export interface ReportedAttempt extends AttemptId {
  state: 'running' | 'succeeded' | 'failed' | 'stopped' | 'checkpointed'
}

export interface Reconciliation {
  /** Runs as recorded. */
  running: AttemptId[]
  ended: Array<AttemptId & { result: AttemptEnd }>
  /** Recorded, never confirmed and not reported: start the same attempt on the same worker again. */
  resend: AttemptId[]
  /** As `resend`, but no longer wanted; over when the worker goes on not reporting it. */
  absent: AttemptId[]
  /** Runs although the journal does not know it or has ended it. */
  surplus: AttemptId[]
  /** Has ended and is not live in the journal: the worker may forget it. */
  forget: AttemptId[]
}

/**
 * Compares the attempts recorded as live on a worker with the worker's whole report, at takeover and at each heartbeat.
 *
 * @param live - Recorded attempts on the worker that have not ended.
 * @param reports - All attempts that the worker knows and that were not acknowledged.
 * @returns What to do for each attempt. A confirmed attempt that is missing was lost by the worker.
 *
 * @example
 * reconcileWorker([{ task: 'a', attempt: 1, confirmed: false, stopWanted: false }], [])
 * // => { resend: [{ task: 'a', attempt: 1 }], ... }
 */
export function reconcileWorker (live: LiveAttempt[], reports: ReportedAttempt[]): Reconciliation {
  const result: Reconciliation = { running: [], ended: [], resend: [], absent: [], surplus: [], forget: [] }
  const reported = new Map(reports.map((report) => [toKey(report), report]))
  const recorded = new Set<string>()
  for (const { task, attempt, confirmed, stopWanted } of live) {
    const key = toKey({ task, attempt })
    recorded.add(key)
    const state = reported.get(key)?.state
    if (state === 'running') result.running.push({ task, attempt })
    else if (state !== undefined) result.ended.push({ task, attempt, result: state })
    else if (confirmed) result.ended.push({ task, attempt, result: 'lost' })
    else result[stopWanted ? 'absent' : 'resend'].push({ task, attempt })
  }
  for (const { task, attempt, state } of reports) {
    if (!recorded.has(toKey({ task, attempt }))) result[state === 'running' ? 'surplus' : 'forget'].push({ task, attempt })
  }
  return result
}

function toKey ({ task, attempt }: AttemptId): string {
  return `${task}#${attempt}`
}
