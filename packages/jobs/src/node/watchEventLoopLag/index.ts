import { readOwnCpuMs } from '../../readOwnCpuMs/index.ts'

/** Interval at which the lag of the event loop is sampled, in ms. */
const SAMPLE_INTERVAL_MS = 100

/** Average lag above which a node is too slow to own a cell, in ms; an operation waits for several loop iterations. */
const MAX_AVERAGE_LAG_MS = 60

/**
 * Share of its processors, at most of one, that a process uses on a machine that is not slow while its event loop lags.
 * Its own work delays it then, which would delay another node as well.
 */
const BUSY_SHARE = 0.5

/**
 * Initial time in which samples are ignored, in ms. A new owner opens connections to all workers, which delays timers
 * on any machine, so a handover would not help: the next owner would lag as well.
 */
export const WARM_UP_MS = 3_000

/** Weight of a new sample in the moving average. */
const SMOOTHING_FACTOR = 0.1

interface Options {
  /** Returns the processor time that the process has used so far, in ms. Default: as the system reports it. */
  readCpuMs?: () => number
}

/**
 * Measures how late timers fire and calls back while the average lag is too high although the process uses little
 * processor time. The averages follow within about a second when a machine has become slow.
 *
 * @param processors - Processors of the machine; may be a fraction.
 * @param onSlow - Receives the average lag, in ms, and the average use of processors.
 * @param options - Source of the processor time.
 * @returns The timer, which the caller has to clear.
 */
export function watchEventLoopLag (
  processors: number,
  onSlow: (lagMs: number, usedProcessors: number) => void,
  { readCpuMs = readOwnCpuMs }: Options = {}
): ReturnType<typeof setInterval> {
  const startedAt = performance.now()
  const warmUpEndsAt = startedAt + WARM_UP_MS
  const busyFrom = BUSY_SHARE * Math.min(1, processors)
  let sampledAt = startedAt
  let sampledCpuMs = readCpuMs()
  let averageMs = 0
  let usedProcessors = busyFrom
  return setInterval(() => {
    const now = performance.now()
    const elapsedMs = Math.max(1, now - sampledAt)
    const cpuMs = readCpuMs()
    const lagMs = Math.min(Math.max(0, elapsedMs - SAMPLE_INTERVAL_MS), SAMPLE_INTERVAL_MS * 2)
    usedProcessors += SMOOTHING_FACTOR * ((cpuMs - sampledCpuMs) / elapsedMs - usedProcessors)
    if (now >= warmUpEndsAt) averageMs += SMOOTHING_FACTOR * (lagMs - averageMs)
    sampledAt = now
    sampledCpuMs = cpuMs
    if (averageMs > MAX_AVERAGE_LAG_MS && usedProcessors < busyFrom) onSlow(averageMs, usedProcessors)
  }, SAMPLE_INTERVAL_MS)
}
