import type { Clock } from '@sinonjs/fake-timers'
import { done, notDone, sleep, throwUncaught, unknownEffect } from '@gypsumspring/protocol'
import { hashText } from '../hashText/index.ts'
import type { Adviser } from '../ports.ts'
import {
  createQueue, createTicket, SeededRandom, TICKET_VALID_MS, type MemoryCell, type PlanRunEnd
} from '../standins/index.ts'
import type { Demand, Queue, Step } from '../types.ts'
import { AcceleratorFaults, MAX_FAULT_MS, listWorkers } from './acceleratorFaults.ts'

const CAPACITY = { cpuMillis: 64_000, memoryMb: 131_072, accelerators: 8 }
const RESOURCES: ReadonlyArray<keyof Demand> = ['cpuMillis', 'memoryMb', 'accelerators']
const WORKERS = 10
const NODES = 6

/** Time in which jobs are submitted and faults begin, in ms. */
const LOAD_MS = 20_000

/** Time after the last fault in which leases end and breakers are probed, in ms. */
const SETTLE_MS = 7_000

/** Time in which all jobs have to end after that, in ms. */
const DRAIN_MS = 60_000

/** Time without any run after which the scenario ends early, in ms. */
const QUIET_MS = 1_000

/** Interval of the checks, in ms. */
const CHECK_MS = 250

/** Longest time for which a job may have nothing running while there is room, in ms. */
const MAX_WAIT_MS = 3_000

const GANG_ADVICE = { decisionMs: 370, perWorkerMs: 5.2, validMs: TICKET_VALID_MS }
const SCORING_ADVICE = { decisionMs: 170, perWorkerMs: 2.4, validMs: TICKET_VALID_MS }
const GANGS: Queue = createQueue('matching', {
  priority: 1, stretch: 2.2, targetLatencyMs: 1_000, maxAttempts: 4, advice: GANG_ADVICE
})
const SCORING: Queue = createQueue('scoring', {
  priority: 2, stretch: 4, targetLatencyMs: 3_000, maxAttempts: 4, advice: SCORING_ADVICE
})

interface SubmittedJob {
  id: string
  queue: Queue
  step: Pick<Step, 'count' | 'demand' | 'estimatedRunMs' | 'maxPerWorker' | 'gang'>
  isAccepted: boolean
  /** Monotonic time of the last start of one of its tasks, in ms. */
  lastStartAt: number
  /** Index of the task of which every run fails; undefined in a sound job. */
  hopelessTask: number | undefined
}

/** A pool of few workers with accelerators under load, with random faults that end, and what has to hold then. */
export class AcceleratorScenario {
  readonly #seed: number
  readonly #random: SeededRandom
  readonly #jobs = new Map<string, SubmittedJob>()
  readonly #faults: AcceleratorFaults
  /** Monotonic time since which each job could run and does not, in ms. */
  readonly #couldRunSince = new Map<string, number>()
  /** Ids of jobs that waited for too long. */
  readonly overdue: string[] = []

  constructor (seed: number) {
    this.#seed = seed
    this.#random = new SeededRandom(seed)
    this.#faults = new AcceleratorFaults(this.#random)
  }

  get options (): ConstructorParameters<typeof MemoryCell>[0] {
    return {
      nodes: NODES,
      workers: WORKERS,
      capacity: CAPACITY,
      planRunEnd: this.#planRunEnd,
      createAdviser: () => this.#createAdviser()
    }
  }

  async run (cell: MemoryCell, clock: Clock): Promise<void> {
    cell.queues.push(GANGS, SCORING)
    const end = performance.now() + LOAD_MS
    let faults = this.#random.between(3, 14)
    while (performance.now() < end) {
      if (this.#random.chance(0.6)) this.#submit(cell)
      if (faults > 0 && this.#random.chance(0.25)) {
        faults--
        this.#faults.inject(cell)
      }
      await clock.tickAsync(this.#random.between(50, 500))
    }
    await clock.tickAsync(MAX_FAULT_MS + SETTLE_MS)
    let quietMs = 0
    for (let passedMs = 0; passedMs < DRAIN_MS && quietMs < QUIET_MS; passedMs += CHECK_MS) {
      this.#check(cell)
      const isQuiet = this.#couldRunSince.size === 0 && listWorkers(cell).every(({ runs }) => runs.size === 0)
      quietMs = isQuiet ? quietMs + CHECK_MS : 0
      await clock.tickAsync(CHECK_MS)
    }
  }

  #submit (cell: MemoryCell): void {
    const random = this.#random
    const id = this.#jobs.size.toString(16).padStart(16, '0')
    const isGang = random.chance(0.45)
    const count = isGang ? random.pick([1, 1, 1, 2, 2, 3]) : random.between(1, random.pick([4, 12, 32]))
    const step = {
      count,
      demand: isGang
        ? { cpuMillis: 31_000, memoryMb: 81_000, accelerators: random.pick([2, 4, 8, 8]) }
        : { cpuMillis: 5_600, memoryMb: 11_000, accelerators: 1 },
      estimatedRunMs: random.between(1_000, 6_000),
      gang: isGang,
      savesProgress: random.chance(0.8),
      maxPerWorker: random.chance(0.12) ? random.between(1, 5) : 0
    }
    const queue = isGang ? GANGS : SCORING
    const hopelessTask = random.chance(0.1) ? random.below(count) : undefined
    const job: SubmittedJob = { id, queue, step, hopelessTask, isAccepted: false, lastStartAt: 0 }
    this.#jobs.set(id, job)
    cell.submit(id, [step], { queue }).then((kind) => { job.isAccepted = kind === 'accepted' }).catch(throwUncaught)
  }

  readonly #planRunEnd: PlanRunEnd = ({ job, index }, _run, worker) => {
    const submitted = this.#jobs.get(job)!
    const { step: { estimatedRunMs }, hopelessTask } = submitted
    submitted.lastStartAt = performance.now()
    if (this.#faults.failing.has(worker)) return { reason: 'failed', afterMs: this.#random.between(5, 1_000) }
    if (hopelessTask === index) return { reason: 'failed', afterMs: this.#random.between(100, estimatedRunMs) }
    if (this.#faults.hanging.has(worker)) return undefined
    return { reason: 'done', afterMs: estimatedRunMs * this.#random.between(80, 130) / 100 }
  }

  /** The policy service handles one call at a time for each node. */
  #createAdviser (): Adviser {
    let freeAt = 0
    return {
      advise: async ({ job }, workers, timeoutMs) => {
        const fault = this.#faults.chooseAdviceFault()
        if (fault !== undefined) {
          if (fault === 'failed') return notDone('unavailable', 'the policy service is down')
          await sleep(timeoutMs)
          return unknownEffect('timeout', 'the policy service did not answer')
        }
        const { decisionMs, perWorkerMs } = this.#jobs.get(job)!.queue.advice!
        const now = performance.now()
        freeAt = Math.max(freeAt, now) + decisionMs + perWorkerMs * workers.length
        if (freeAt - now > timeoutMs) {
          await sleep(timeoutMs)
          return unknownEffect('timeout', 'the policy service is busy')
        }
        await sleep(freeAt - now)
        const allowed = workers.filter((worker) => this.#isAllowed(job, worker))
        return done({ tickets: allowed.map((worker): [string, string] => [worker, createTicket(TICKET_VALID_MS)]) })
      }
    }
  }

  #isAllowed (job: string, worker: string): boolean {
    const share = this.#jobs.get(job)!.queue === GANGS ? 0.3 : 0.45
    return mixBits(hashText(`${this.#seed} ${job} ${worker}`)) % 1_000 < share * 1_000
  }

  #listUnfinished ({ checker }: MemoryCell): SubmittedJob[] {
    return [...this.#jobs.values()].filter(({ id, step, isAccepted }) => isAccepted && !checker.hasFailed(id) &&
      toTaskNames({ id, step }).some((name) => !checker.isDone(name)))
  }

  /** Records the jobs that have had nothing running for too long, although there was room for one of their tasks. */
  #check (cell: MemoryCell): void {
    const now = performance.now()
    const isHalfInUse = this.#isHalfInUse(cell)
    const waiting = this.#listUnfinished(cell).filter((job) => {
      const isRunning = toTaskNames(job).some((name) => cell.checker.countRunning(name) > 0)
      return !isHalfInUse && !isRunning && this.#countRoom(cell, job) >= 2 * (job.step.gang ? job.step.count : 1)
    })
    const ids = new Set(waiting.map(({ id }) => id))
    for (const id of [...this.#couldRunSince.keys()]) if (!ids.has(id)) this.#couldRunSince.delete(id)
    for (const { id, lastStartAt } of waiting) {
      const since = Math.max(this.#couldRunSince.get(id) ?? now, lastStartAt)
      this.#couldRunSince.set(id, since)
      if (now - since > MAX_WAIT_MS && !this.overdue.includes(id)) this.overdue.push(id)
    }
  }

  /** Whether half of the processors, the memory or the accelerators of all workers are in use. */
  #isHalfInUse (cell: MemoryCell): boolean {
    const workers = listWorkers(cell)
    const runs = workers.flatMap((worker) => [...worker.runs.values()])
    const demands = runs.map(({ key }) => this.#jobs.get(key.job)!.step.demand)
    return RESOURCES.some((resource) => demands.reduce((sum, demand) => sum + demand[resource], 0) >=
      workers.reduce((sum, { entry }) => sum + entry.capacity[resource], 0) / 2)
  }

  /** Number of tasks of a job that the allowed workers have room for. */
  #countRoom (cell: MemoryCell, { id, step: { demand, maxPerWorker } }: SubmittedJob): number {
    let room = 0
    for (const { entry, runs } of listWorkers(cell)) {
      if (!this.#isAllowed(id, entry.id)) continue
      const running = [...runs.values()].map(({ key }) => this.#jobs.get(key.job)!)
      const own = running.filter((job) => job.id === id).length
      const fits = RESOURCES.map((resource) => {
        const used = running.reduce((sum, { step }) => sum + step.demand[resource], 0)
        return Math.floor((entry.capacity[resource] - used) / demand[resource])
      })
      room += Math.max(0, Math.min(...fits, maxPerWorker > 0 ? maxPerWorker - own : Infinity))
    }
    return room
  }
}

function toTaskNames ({ id, step }: Pick<SubmittedJob, 'id' | 'step'>): string[] {
  return Array.from({ length: step.count }, (_, index) => `${id}.0.0.${index}`)
}

/** Maps similar integers to integers that differ in all bits. */
function mixBits (value: number): number {
  const mixed = Math.imul(value ^ (value >>> 16), 0x45d9f3b)
  return (Math.imul(mixed ^ (mixed >>> 16), 0x45d9f3b) >>> 8)
}
