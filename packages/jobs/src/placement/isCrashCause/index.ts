import type { CrashEvidence } from '../classifyCrash/index.ts'

/** Workers that must have ended under a task before it may be given up; a single end may have any cause. */
const MIN_CRASHES = 2

/** Ends of workers right after an order for the task that suffice without isolation. */
const MIN_CRASHES_AS_LAST = 3

/**
 * Ends of workers in a row that suffice with little evidence. Further starts would cost a worker each, and no task
 * without blame loses as many workers within seconds after each of its starts.
 */
const MAX_CRASHES = 4

/** The same if nearly all are weak evidence. */
const MAX_WEAK_CRASHES = 5

/**
 * Whether a task is to run apart from others, so that a further end of a worker shows whether it is the cause.
 *
 * @param crashes - Evidence of each unplanned end of a worker under the task since it last survived a run.
 */
export function isCrashSuspect (crashes: readonly CrashEvidence[]): boolean {
  return crashes.length >= 2 || crashes.some(isDirect)
}

/**
 * Whether a task ends the workers that start it, so that it has to be given up.
 *
 * @param crashes - Evidence of each unplanned end of a worker under the task since it last survived a run.
 */
export function isCrashCause (crashes: readonly CrashEvidence[]): boolean {
  const own = crashes.filter((evidence) => evidence !== 'weak').length
  if (own >= MIN_CRASHES && crashes.includes('alone')) return true
  if (crashes.filter(isDirect).length >= MIN_CRASHES_AS_LAST) return true
  return crashes.length >= (own >= 2 ? MAX_CRASHES : MAX_WEAK_CRASHES)
}

function isDirect (evidence: CrashEvidence): boolean {
  return evidence === 'last' || evidence === 'alone'
}
