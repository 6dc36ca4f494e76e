import type { TaskGroup, WorkerNode } from '@gypsumspring/core'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export interface Deployment {
  name: string
  workers: number
  coresPerWorker: number
  memoryMbPerWorker: number
  failureDomains: string[]
  teams: string[]
}

export interface TraceGroup {
  group: TaskGroup
  /** Actual run time of each task; services run to the end of the trace. */
  runMs: number
}

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
  groups: number
  /** Mean share of the processors that the work would use if it never waited. */
  load: number
}

/**
 * Generates a day-like trace: services first, then batch runs and a tenth gangs whose arrival rate rises and falls
 * twice. Declared run times are off by up to a factor of 3 either way.
 */
export function generateTrace (deployment: Deployment, seed: number, { groups, load }: TraceOptions): Trace {
  const random = xoroshiro128plus(seed)
  const draw = (): number => uniformFloat64(random)
  const { coresPerWorker, memoryMbPerWorker, failureDomains, teams } = deployment
  const workers = Array.from({ length: deployment.workers }, (_, index): WorkerNode => ({
    id: `worker-${index}`,
    failureDomain: failureDomains[Math.floor(index / WORKERS_PER_RACK) % failureDomains.length]!,
    rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
    capacity: { cpuMillis: coresPerWorker * 1000, memoryMb: memoryMbPerWorker, accelerators: 0 }
  }))
  const memoryPerCore = memoryMbPerWorker / coresPerWorker
  const drawn = Array.from({ length: groups }, (_, index): TraceGroup => {
    const kind = index < failureDomains.length ? 'service' : draw() < 0.1 ? 'gang' : 'batch'
    const cores = kind === 'service' ? 1 : Math.max(0.5, Math.round(coresPerWorker / 2 * draw() ** 3 * 2) / 2)
    const taskCount = kind === 'service' ? 8 : kind === 'gang' ? 4 + Math.floor(draw() * 8) : 1 + Math.floor(draw() * 6)
    const runMs = Math.round(20_000 * Math.exp(draw() * 3.5))
    return {
      runMs: kind === 'service' ? Infinity : runMs,
      group: {
        id: `group-${index}`,
        team: teams[Math.floor(draw() * teams.length)]!,
        kind,
        priority: kind === 'service' ? 'high' : draw() < 0.02 ? 'urgent' : draw() < 0.3 ? 'low' : 'normal',
        spread: kind === 'service' ? 'rack' : 'none',
        preemptible: kind === 'batch' && draw() < 0.5,
        resources: {
          cpuMillis: cores * 1000, memoryMb: Math.round(cores * memoryPerCore * (0.3 + 1.2 * draw())), accelerators: 0
        },
        tasks: Array.from({ length: taskCount }, (_, task) => `group-${index}-${task}`),
        estimatedRunMs: kind === 'service' ? undefined : Math.round(runMs * 3 ** (2 * draw() - 1)),
        submittedAt: 0
      }
    }
  })
  spreadArrivals(drawn, load * workers.length * coresPerWorker * 1000, draw)
  return { workers, groups: drawn }
}

/** Spaces the groups so that their work is the wanted share of the processors, at a rate with two peaks. */
function spreadArrivals (groups: TraceGroup[], wantedCpuMillis: number, draw: () => number): void {
  const batch = groups.filter(({ group }) => group.kind !== 'service')
  const work = batch.reduce((sum, { group, runMs }) => sum + group.resources.cpuMillis * group.tasks.length * runMs, 0)
  const meanGapMs = work / wantedCpuMillis / batch.length
  let now = 0
  for (const [index, { group }] of batch.entries()) {
    const rate = 1 + 0.6 * Math.sin(4 * Math.PI * index / batch.length)
    now += -Math.log(1 - draw()) * meanGapMs / rate
    group.submittedAt = Math.round(now)
  }
}
