import type { Placer } from '@gypsumspring/core'
import type { Trace, TraceGroup } from './generateTrace.ts'

/** Step of the simulation: the shortest interval between two decision rounds of the scheduler. */
const STEP_MS = 1000
const DECISIONS_PER_STEP = 10_000
/** Step after which a trace with unfinished tasks counts as stuck. */
const MAX_STEPS = 1_000_000

/** Figures of a simulated trace. The wait time of a task is the time from its submission to its first start. */
export interface TraceResult {
  meanWaitMs: number
  p99WaitMs: number
  /** Mean number of workers with a running task, up to the last submission. */
  meanWorkersInUse: number
  /** Time until the last batch or gang task ended. */
  makespanMs: number
  preemptions: number
  /** Number of tasks started, without restarts after preemption. */
  started: number
}

interface RunningTask {
  task: string
  worker: string
  endsAt: number
}

/**
 * Simulates a trace with a placer and measures wait times and the number of workers in use.
 *
 * @param placer - An empty placer.
 * @param trace - The trace.
 * @param packingWeight - Weight of packing against wait time: 0 minimises wait times, 1 maximises packing.
 * @returns The figures.
 * @throws Error when a group can never be placed, or the trace does not end.
 *
 * @example
 * simulateTrace(new IndexedPlacer(), trace, 0.5)
 */
export function simulateTrace (placer: Placer, trace: Trace, packingWeight: number): TraceResult {
  for (const worker of trace.workers) placer.addWorker(worker)
  placer.setPackingWeight(packingWeight)
  const groupByTask = new Map<string, TraceGroup>()
  for (const traceGroup of trace.groups) for (const task of traceGroup.group.tasks) groupByTask.set(task, traceGroup)
  const arrivals = [...trace.groups].sort((a, b) => a.group.submittedAt - b.group.submittedAt)
  const lastArrival = arrivals[arrivals.length - 1]!.group.submittedAt
  const running = new Map<string, RunningTask>()
  const waitByTask = new Map<string, number>()
  let unfinished = trace.groups.reduce((sum, { group, runMs }) => sum + (runMs < Infinity ? group.tasks.length : 0), 0)
  let workersInUseSum = 0
  let samples = 0
  let preemptions = 0
  let now = 0
  for (let step = 0; unfinished > 0; step++) {
    if (step > MAX_STEPS) throw new Error(`${unfinished} tasks have not ended after ${now} ms of simulated time`)
    now = step * STEP_MS
    for (const { task, worker, endsAt } of [...running.values()]) {
      if (endsAt > now) continue
      running.delete(task)
      unfinished--
      placer.recordOutcome(task, worker, { succeeded: true, runMs: groupByTask.get(task)!.runMs })
      placer.release(task)
    }
    while (arrivals.length > 0 && arrivals[0]!.group.submittedAt <= now) placer.submit(arrivals.shift()!.group)
    for (const decision of placer.decide(now, DECISIONS_PER_STEP)) {
      if (decision.kind === 'impossible') throw new Error(`group ${decision.group} can never be placed: ${decision.reason}`)
      if (decision.kind === 'preempt') {
        // A preempted task restarts from the beginning.
        for (const victim of decision.victims) {
          running.delete(victim)
          placer.release(victim)
          placer.requeue(victim, now)
          preemptions++
        }
        continue
      }
      for (const { task, worker } of decision.placements) {
        const { group, runMs } = groupByTask.get(task)!
        running.set(task, { task, worker, endsAt: now + runMs })
        if (!waitByTask.has(task)) waitByTask.set(task, now - group.submittedAt)
      }
    }
    if (now > lastArrival) continue
    workersInUseSum += new Set([...running.values()].map(({ worker }) => worker)).size
    samples++
  }
  const sortedWaits = [...waitByTask.values()].sort((a, b) => a - b)
  return {
    meanWaitMs: Math.round(sortedWaits.reduce((sum, wait) => sum + wait, 0) / sortedWaits.length),
    p99WaitMs: sortedWaits[Math.floor(sortedWaits.length * 0.99)]!,
    meanWorkersInUse: Math.round(workersInUseSum / samples * 100) / 100,
    makespanMs: now,
    preemptions,
    started: waitByTask.size
  }
}
