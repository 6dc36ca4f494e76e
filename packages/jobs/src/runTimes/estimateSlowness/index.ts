import { quantile } from '../quantile/index.ts'

/** Observations of one worker. All times are natural logarithms of factors, so that 0 is a worker like the others. */
export interface WorkerSample {
  id: string
  labels: readonly string[]
  /** Logarithms of run times relative to the other runs of their steps. */
  ratios: readonly number[]
}

/** Estimate for one worker. */
export interface Slowness {
  /** Logarithm of the worker's run times relative to a worker of mean speed. */
  log: number
  /** Whether the difference from 0 is too large to be chance. */
  isClear: boolean
}

/** A range of values, as of the estimates of the workers with one label. */
interface Range {
  middle: number
  /** Standard deviation, if the values were distributed normally. */
  spread: number
}

/** Runs from which on a worker is judged by its own runs. */
const MIN_RUNS = 5

/** Workers with own estimates from which on the others with the same label are assumed to be like them. */
const MIN_GROUP = 3

/** Largest spread of the estimates of a group that tells anything about a worker without runs. */
const MAX_GROUP_SPREAD = 0.15

/** Smallest spread assumed, of the runs of a worker and of the workers of a group: a few equal runs prove little. */
const MIN_SPREAD = 0.05

/** Share of the workers that is left out at each end when the mean speed is computed. */
const TRIMMED_SHARE = 0.1

/** Smallest difference that counts: 10% change the end of a job less than the time until its end is noticed. */
const MIN_DIFFERENCE = 0.1

/** Standard errors beyond which a difference is no chance. */
const CLEAR_ERRORS = 3

/** Standard error of a median relative to that of a mean, and of the median deviation to the standard deviation. */
const MEDIAN_ERROR = 1.25
const MEDIAN_DEVIATIONS = 1.48

/** Width of the middle 80% of a normal distribution, in standard deviations. */
const MIDDLE_DEVIATIONS = 2.56

/**
 * Estimates how slow the workers of a pool are. A worker with few runs is taken for one like those that share a label
 * with it, if these are alike; the more runs it has, the more it is judged by these. Medians are used throughout: some
 * tasks take many times as long as others of their step.
 *
 * @param samples - Observations of the workers of one pool.
 * @returns The estimates by id. The mean speed is 1.
 */
export function estimateSlowness (samples: readonly WorkerSample[]): Map<string, Slowness> {
  const own = new Map<string, Range>()
  for (const { id, ratios } of samples) if (ratios.length >= MIN_RUNS) own.set(id, measure(ratios))
  const groups = measureGroups(samples, own)
  const estimates = new Map<string, Range>()
  for (const { id, labels } of samples) {
    const estimate = combine(own.get(id), chooseGroup(labels, groups))
    if (estimate !== undefined) estimates.set(id, estimate)
  }
  // Workers that nothing is known of count as like the others.
  const shift = computeShift(samples.map(({ id }) => estimates.get(id)?.middle ?? 0))
  return new Map(samples.map(({ id }) => {
    const estimate = estimates.get(id)
    if (estimate === undefined) return [id, { log: 0, isClear: false }]
    const log = estimate.middle + shift
    return [id, { log, isClear: Math.abs(log) > Math.max(MIN_DIFFERENCE, CLEAR_ERRORS * estimate.spread) }]
  }))
}

/** Estimates a worker from its own runs: their median and its standard error. */
function measure (ratios: readonly number[]): Range {
  const middle = quantile(toSorted(ratios), 0.5)
  const deviation = quantile(toSorted(ratios.map((ratio) => Math.abs(ratio - middle))), 0.5)
  return {
    middle,
    spread: MEDIAN_ERROR * Math.max(MEDIAN_DEVIATIONS * deviation, MIN_SPREAD) / Math.sqrt(ratios.length)
  }
}

/** Measures the workers with each label, and all workers under the empty label. */
function measureGroups (samples: readonly WorkerSample[], own: ReadonlyMap<string, Range>): Map<string, Range> {
  const middles = new Map<string, number[]>([['', []]])
  for (const { id, labels } of samples) {
    const estimate = own.get(id)
    if (estimate === undefined) continue
    for (const label of ['', ...labels]) {
      const members = middles.get(label)
      if (members === undefined) middles.set(label, [estimate.middle])
      else members.push(estimate.middle)
    }
  }
  const groups = new Map<string, Range>()
  for (const [label, members] of middles) {
    if (members.length < MIN_GROUP) continue
    const sorted = toSorted(members)
    // The middle half alone would hide that a third of the group is of another kind.
    const width = quantile(sorted, 0.9) - quantile(sorted, 0.1)
    groups.set(label, {
      middle: quantile(sorted, 0.5), spread: Math.max(MIN_SPREAD, width / MIDDLE_DEVIATIONS)
    })
  }
  return groups
}

/** Chooses the group of a worker whose members are most alike. */
function chooseGroup (labels: readonly string[], groups: ReadonlyMap<string, Range>): Range | undefined {
  let best = groups.get('')
  for (const label of labels) {
    const group = groups.get(label)
    if (group !== undefined && group.spread < (best?.spread ?? Infinity)) best = group
  }
  return best
}

/** Weighs the own estimate of a worker and that of its group by their precision. */
function combine (own: Range | undefined, group: Range | undefined): Range | undefined {
  if (group === undefined) return own
  if (own === undefined) return group.spread <= MAX_GROUP_SPREAD ? group : undefined
  const distance = Math.abs(own.middle - group.middle)
  // A worker that is unlike its group, for example a faulty one, is not like it in part.
  if (distance > CLEAR_ERRORS * Math.hypot(own.spread, group.spread)) return own
  const ownWeight = own.spread ** -2
  const groupWeight = group.spread ** -2
  const weight = ownWeight + groupWeight
  return { middle: (own.middle * ownWeight + group.middle * groupWeight) / weight, spread: weight ** -0.5 }
}

/** What to add to all estimates, so that the mean speed is 1. A few faulty workers must not make all others fast. */
function computeShift (logs: readonly number[]): number {
  const trimmed = Math.ceil(TRIMMED_SHARE * logs.length)
  const sorted = toSorted(logs)
  const kept = logs.length > 2 * trimmed ? sorted.subarray(trimmed, logs.length - trimmed) : sorted
  return kept.length === 0 ? 0 : Math.log(kept.reduce((sum, log) => sum + Math.exp(-log), 0) / kept.length)
}

function toSorted (values: readonly number[]): Float64Array {
  return Float64Array.from(values).sort()
}
