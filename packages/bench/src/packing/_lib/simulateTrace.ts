import type { Placer } from '@gypsumspring/core'
import type { Trace, TraceGroup } from './generateTrace.ts'

/** The scheduler decides at most this often; the trace is played in these steps. */
const STEP_MS = 1000
const DECISIONS_PER_STEP = 10_000
/** Steps after which a trace that does not end is a fault. */
const STEP_LIMIT = 1_000_000

export interface TraceResult {
  meanWaitMs: number
  p99WaitMs: number
  /** Mean over the time in which groups arrive. */
  meanWorkersInUse: number
  /** Time until the last batch task ended. */
  makespanMs: number
  preemptions: number
  /** Starts of tasks, less those after preemption. */
  started: number
}

interface Running {
  task: string
  worker: string
  endsAt: number
}

/** Plays a trace and measures waiting, from submission to the first start of each task, and workers in use. */
export function simulateTrace (placer: Placer, trace: Trace, packingWeight: number): TraceResult {
  for (const worker of trace.workers) placer.addWorker(worker)
  placer.setPackingWeight(packingWeight)
  const groupOf = new Map<string, TraceGroup>()
  for (const entry of trace.groups) for (const task of entry.group.tasks) groupOf.set(task, entry)
  const arrivals = [...trace.groups].sort((a, b) => a.group.submittedAt - b.group.submittedAt)
  const lastArrival = arrivals[arrivals.length - 1]!.group.submittedAt
  const running = new Map<string, Running>()
  const waits = new Map<string, number>()
  let unfinished = trace.groups.reduce((sum, { group, runMs }) => sum + (runMs < Infinity ? group.tasks.length : 0), 0)
  let workersInUse = 0
  let samples = 0
  let preemptions = 0
  let now = 0
  for (let step = 0; unfinished > 0; step++) {
    if (step > STEP_LIMIT) throw new Error(`${unfinished} tasks have not ended after ${now} ms`)
    now = step * STEP_MS
    for (const { task, worker, endsAt } of [...running.values()]) {
      if (endsAt > now) continue
      running.delete(task)
      unfinished--
      placer.recordOutcome(task, worker, { succeeded: true, runMs: groupOf.get(task)!.runMs })
      placer.release(task)
    }
    while (arrivals.length > 0 && arrivals[0]!.group.submittedAt <= now) placer.submit(arrivals.shift()!.group)
    for (const decision of placer.decide(now, DECISIONS_PER_STEP)) {
      if (decision.kind === 'impossible') throw new Error(`group ${decision.group} is impossible: ${decision.reason}`)
      if (decision.kind === 'preempt') {
        // A victim that was stopped runs again from the start.
        for (const victim of decision.victims) {
          running.delete(victim)
          placer.release(victim)
          placer.requeue(victim, now)
          preemptions++
        }
        continue
      }
      for (const { task, worker } of decision.placements) {
        const { group, runMs } = groupOf.get(task)!
        running.set(task, { task, worker, endsAt: now + runMs })
        if (!waits.has(task)) waits.set(task, now - group.submittedAt)
      }
    }
    if (now > lastArrival) continue
    workersInUse += new Set([...running.values()].map(({ worker }) => worker)).size
    samples++
  }
  const sorted = [...waits.values()].sort((a, b) => a - b)
  return {
    meanWaitMs: Math.round(sorted.reduce((sum, wait) => sum + wait, 0) / sorted.length),
    p99WaitMs: sorted[Math.floor(sorted.length * 0.99)]!,
    meanWorkersInUse: Math.round(workersInUse / samples * 100) / 100,
    makespanMs: now,
    preemptions,
    started: waits.size
  }
}
