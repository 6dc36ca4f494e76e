/**
 * What the end of a worker says about a task that was on it:
 * - `weak`: its start order was sent lately, but had no answer, or other workers ended at about the same time, which it
 *   doesn't explain.
 * - `present`: the task was there; others were too.
 * - `last`: its start order was the last one before the end, or was sent together with the last one.
 * - `alone`: it was isolated, the only suspect that had just started there.
 */
export type CrashEvidence = 'weak' | 'present' | 'last' | 'alone'

/** A task on a worker that has ended unplanned. */
export interface AffectedRun {
  /** Time from the start order to the end of the worker, in ms; undefined for a run of an earlier owner. */
  ageMs: number | undefined
  /** Time from the worker's confirmation of the run to its end, in ms; undefined if it has not confirmed the run. */
  confirmedMs: number | undefined
  /** The task was under suspicion from earlier ends of workers when it was started. */
  isIsolated: boolean
}

/** A run that lasted longer doesn't count against its task, in ms: the start was not what ended the worker. */
export const SURVIVAL_MS = 5_000

/** Longest time from the last start order to the end of the worker for which the order counts as the cause, in ms. */
const LAST_ORDER_MS = 1_000

/** Orders within this time of the last one were sent in the same placement round, in ms; they arrive in any order. */
const SAME_ROUND_MS = 50

/**
 * Other workers that end at the same time without an order that explains it and so show a common cause. A rack of few
 * machines must count; a second task that does so and ends its worker at the same moment, has an order of its own.
 */
const MIN_COMMON_LOSSES = 1

/** Share of the workers that end at the same time, as when a domain fails, after which no inherited run counts. */
const MASS_LOSS_SHARE = 0.1

/** Least number of workers in `MASS_LOSS_SHARE`, for small cells. */
const MIN_MASS_LOSSES = 4

/**
 * Classifies what the unplanned end of a worker says about each task on it.
 *
 * @param runs - The tasks with a run, or an order that may have created one.
 * @param options.unexplainedLosses - Other workers that ended at about the same time and had no order just before.
 * @param options.workers - Number of workers in the cell.
 * @param options.isCertain - Whether another incarnation has shown that the worker has ended. Without it, the worker
 * may only be out of reach.
 * @returns The evidence for each task in their order; undefined if the end says nothing about it.
 */
export function classifyCrash (
  runs: readonly AffectedRun[],
  { unexplainedLosses, workers, isCertain }: { unexplainedLosses: number, workers: number, isCertain: boolean }
): Array<CrashEvidence | undefined> {
  const isMassLoss = unexplainedLosses >= Math.max(MIN_MASS_LOSSES, MASS_LOSS_SHARE * workers)
  const isCommon = unexplainedLosses >= MIN_COMMON_LOSSES
  const isolated = runs.filter(({ isIsolated }) => isIsolated)
  const youngest = Math.min(...runs.map(({ ageMs }) => ageMs ?? Infinity))
  return runs.map((run) => {
    const { ageMs, confirmedMs, isIsolated } = run
    if (hasSurvived(run)) return undefined
    if (isMassLoss && ageMs === undefined) return undefined
    // A predecessor's answer may have confirmed a run that this owner knows only from the store.
    if (isCommon || (confirmedMs === undefined && ageMs !== undefined)) return 'weak'
    if (!isCertain || ageMs === undefined) return 'present'
    if (isolated.length === 1) {
      if (isIsolated) return 'alone'
      return ageMs !== undefined && ageMs <= LAST_ORDER_MS ? 'present' : undefined
    }
    return ageMs !== undefined && ageMs <= Math.min(LAST_ORDER_MS, youngest + SAME_ROUND_MS) ? 'last' : 'present'
  })
}

/** Whether a run has lasted. Its age doesn't tell: its order may have been repeated for long before it arrived. */
export function hasSurvived ({ confirmedMs }: AffectedRun): boolean {
  return confirmedMs !== undefined && confirmedMs > SURVIVAL_MS
}
