import type { TaskGroup, WorkerNode } from '@gypsumspring/core'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Size, failure domains and teams of a deployment for which traces are generated. */
export interface Deployment {
  name: string
  workers: number
  coresPerWorker: number
  memoryMbPerWorker: number
  failureDomains: string[]
  teams: string[]
}

/** A task group and what only the simulation knows of it. */
export interface TraceGroup {
  group: TaskGroup
  /** Actual run time of each task in ms; intimed for services, which run until the end of the trace. */
  runMs: number
}

/** Workers of a cell and the task groups submitted to it. */
export interface Trace {
  workers: WorkerNode[]
  groups: TraceGroup[]
}

const WORKERS_PER_RACK = 8

export const DEPLOYMENTS: Deployment[] = [
  {
    name: 'arquivo',
    workers: 30,
    coresPerWorker: 16,
    memoryMbPerWorker: 32 * 1024,
    failureDomains: ['paco-municipal', 'arquivo-historico', 'biblioteca-centro'],
    teams: ['indexing', 'lineage', 'transcription', 'web']
  },
  {
    name: 'daugava-lauks',
    workers: 30,
    coresPerWorker: 32,
    memoryMbPerWorker: 64 * 1024,
    failureDomains: ['hall-kengarags', 'hall-purvciems', 'hall-imanta'],
    teams: ['fixtures', 'results', 'bookings']
  }
]

export interface TraceOptions {
  /** Number of task groups, services included. */
  groups: number
  /** Mean share of the processors that batch and gang tasks would use if they never waited. */
  load: number
}

/**
 * Generates a trace that resembles a day. Services come first, one for each failure domain; then come batch runs and
 * gangs (a tenth), at an arrival rate with two peaks. Estimated run times are wrong by a factor of up to 3 in either
 * direction.
 *
 * @param deployment - The deployment to model.
 * @param seed - Any integer; the same seed gives the same trace.
 * @param options - Number of groups and load.
 * @returns The trace.
 *
 * @example
 * generateTrace(DEPLOYMENTS[0], 1, { groups: 200, load: 0.8 })
 */
export function generateTrace (deployment: Deployment, seed: number, { groups, load }: TraceOptions): Trace {
  const random = xoroshiro128plus(seed)
  const uniform = (): number => uniformFloat64(random)
  const { coresPerWorker, memoryMbPerWorker, failureDomains, teams } = deployment
  const workers = Array.from({ length: deployment.workers }, (_, index): WorkerNode => ({
    id: `worker-${index}`,
    failureDomain: failureDomains[Math.floor(index / WORKERS_PER_RACK) % failureDomains.length]!,
    rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
    capacity: { cpuMillis: coresPerWorker * 1000, memoryMb: memoryMbPerWorker, accelerators: 0 }
  }))
  const memoryPerCore = memoryMbPerWorker / coresPerWorker
  const traceGroups = Array.from({ length: groups }, (_, index): TraceGroup => {
    const kind = index < failureDomains.length ? 'service' : uniform() < 0.1 ? 'gang' : 'batch'
    const cores = kind === 'service' ? 1 : Math.max(0.5, Math.round(coresPerWorker / 2 * uniform() ** 3 * 2) / 2)
    const taskCount = kind === 'service'
      ? 8
      : kind === 'gang' ? 4 + Math.floor(uniform() * 8) : 1 + Math.floor(uniform() * 6)
    const runMs = Math.round(20_000 * Math.exp(uniform() * 3.5))
    return {
      runMs: kind === 'service' ? Infinity : runMs,
      group: {
        id: `group-${index}`,
        team: teams[Math.floor(uniform() * teams.length)]!,
        kind,
        priority: kind === 'service' ? 'high' : uniform() < 0.02 ? 'urgent' : uniform() < 0.3 ? 'low' : 'normal',
        spread: kind === 'service' ? 'rack' : 'none',
        preemptible: kind === 'batch' && uniform() < 0.5,
        resources: {
          cpuMillis: cores * 1000,
          memoryMb: Math.round(cores * memoryPerCore * (0.3 + 1.2 * uniform())),
          accelerators: 0
        },
        tasks: Array.from({ length: taskCount }, (_, task) => `group-${index}-${task}`),
        estimatedRunMs: kind === 'service' ? undefined : Math.round(runMs * 3 ** (2 * uniform() - 1)),
        submittedAt: 0
      }
    }
  })
  assignSubmissionTimes(traceGroups, load * workers.length * coresPerWorker * 1000, uniform)
  return { workers, groups: traceGroups }
}

/** Spaces the batch and gang groups so that on average they need `targetCpuMillis`, at a rate with two peaks. */
function assignSubmissionTimes (groups: TraceGroup[], targetCpuMillis: number, uniform: () => number): void {
  const timed = groups.filter(({ group }) => group.kind !== 'service')
  const work = timed.reduce((sum, { group, runMs }) => sum + group.resources.cpuMillis * group.tasks.length * runMs, 0)
  const meanGapMs = work / targetCpuMillis / timed.length
  let now = 0
  for (const [index, { group }] of timed.entries()) {
    const rate = 1 + 0.6 * Math.sin(4 * Math.PI * index / timed.length)
    now += -Math.log(1 - uniform()) * meanGapMs / rate
    group.submittedAt = Math.round(now)
  }
}
