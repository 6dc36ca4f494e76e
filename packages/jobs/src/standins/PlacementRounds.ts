import { done, sleep } from '@gypsumspring/protocol'
import { hashText } from '../hashText/index.ts'
import { TrackedJob, type TaskInstance } from '../model/index.ts'
import { AdviceDispatcher } from '../owner/AdviceDispatcher.ts'
import { Cell } from '../owner/Cell.ts'
import { CrashRecord } from '../owner/CrashRecord.ts'
import { Placer } from '../owner/Placer.ts'
import { WorkerCircuitBreaker } from '../owner/WorkerCircuitBreaker.ts'
import type { Adviser } from '../ports.ts'
import type { Queue, Step } from '../types.ts'
import { WorkerState } from '../workers/WorkerState.ts'
import { createQueue, createStep } from './MemoryCell.ts'
import { createTicket } from './MemoryWorker.ts'
import type { SeededRandom } from './SeededRandom.ts'

interface Options {
  /** Number of workers. */
  workers: number
  /** Number of tasks that `fill` makes wait. */
  waiting: number
  /** Whether the queues have a policy service. */
  hasAdvice: boolean
}

/** A kind of job. Numbers of tasks and demands are spread evenly from half of the mean to one and a half times it. */
interface Kind {
  queue: Queue
  meanTasks: number
  meanDemand: Step['demand']
  step: Partial<Step>
}

const KINDS: readonly Kind[] = [
  {
    queue: createQueue('short', { priority: 0, advice: { decisionMs: 27, perWorkerMs: 0.4, validMs: 2_500 } }),
    meanTasks: 10,
    meanDemand: { cpuMillis: 2_200, memoryMb: 4_100, accelerators: 0 },
    step: { estimatedRunMs: 800 }
  },
  {
    queue: createQueue('service', { priority: 1, advice: { decisionMs: 585, perWorkerMs: 8.5, validMs: 2_500 } }),
    meanTasks: 20,
    meanDemand: { cpuMillis: 4_500, memoryMb: 4_600, accelerators: 0 },
    step: { longRunning: true, maxPerWorker: 2 }
  },
  {
    queue: createQueue('report', { priority: 2, advice: { decisionMs: 494, perWorkerMs: 7.2, validMs: 2_500 } }),
    meanTasks: 17,
    meanDemand: { cpuMillis: 4_500, memoryMb: 8_300, accelerators: 0 },
    step: { estimatedRunMs: 4_800, savesProgress: true }
  }
]

/** Nodes that call the policy service. */
const NODES = 40

/** Factors of the workers' capacity. */
const SIZES = [1, 1, 0.5, 2]

/**
 * The placement rounds of an owner, without nodes, a store or worker processes. It uses the runtime's clock and timers,
 * which callers can replace.
 */
export class PlacementRounds {
  readonly cell: Cell
  readonly #random: SeededRandom
  readonly #options: Options
  readonly #placer: Placer
  readonly #breaker = new WorkerCircuitBreaker()
  #jobs = 0

  constructor (random: SeededRandom, options: Options) {
    this.#random = random
    this.#options = options
    const nothing = () => {}
    this.cell = new Cell(() => ({ version: 1, queues: KINDS.map(({ queue }) => queue) }),
      { info: nothing, warn: nothing }, { count: nothing, recordDuration: nothing, set: nothing },
      { onChange: nothing, onDirty: nothing })
    const advice = new AdviceDispatcher(this.cell)
    const crashes = new CrashRecord(this.cell)
    this.#placer = new Placer(this.cell, advice, this.#breaker, crashes, (task) => this.cell.requeue(task))
    for (let index = 0; index < options.workers; index++) this.#addWorker(index)
    for (let index = 0; index < NODES; index++) advice.addNode({ id: `n${index}`, adviser: new SteadyAdviser() })
  }

  /** Runs one placement round. */
  run (): void {
    this.#placer.run()
  }

  /** Runs one placement round in parts. */
  runStepwise (): Generator<void> {
    return this.#placer.runStepwise()
  }

  /** Adds jobs until at least the given number of tasks waits, apart from those that are assigned. */
  fill (): void {
    for (let missing = this.#options.waiting - this.waiting; missing > 0;) missing -= this.#addJob()
  }

  /** Makes a number of assigned tasks, drawn at random, wait again, as if their workers were lost. */
  requeue (count: number): void {
    const assigned = [...this.#tasks()].filter(({ isAssigned }) => isAssigned)
    for (let index = 0; index < count && assigned.length > 0; index++) {
      const [task] = assigned.splice(this.#random.below(assigned.length), 1)
      this.cell.requeue(task!)
    }
  }

  /** Confirms the runs of all assigned tasks. */
  confirm (): void {
    for (const task of this.#tasks()) {
      if (task.status !== 'starting') continue
      task.status = 'running'
      task.startedAt = this.cell.now()
    }
  }

  /** Records failed runs of random waiting tasks on random workers, which may open the circuit breakers of these. */
  fail (count: number): void {
    const waiting = [...this.#tasks()].filter(({ status }) => status === 'waiting')
    const workers = [...this.cell.workers.keys()]
    for (let index = 0; index < count && waiting.length > 0; index++) {
      const task = this.#random.pick(waiting)
      const worker = this.#random.pick(workers)
      task.failedOn.add(worker)
      this.#breaker.recordResult(worker, task, false, this.cell.now())
    }
  }

  /** Number of tasks that wait. */
  get waiting (): number {
    let count = 0
    for (const { status } of this.#tasks()) if (status === 'waiting') count++
    return count
  }

  /** The worker of each task, as `JOB.STEP.TASK WORKER STATUS`. */
  listAssignments (): string[] {
    return [...this.#tasks()].map(({ step, index, worker, status }) => `${step.name}.${index} ${worker} ${status}`)
  }

  * #tasks (): Iterable<TaskInstance> {
    for (const job of this.cell.active) yield * job.tasks()
  }

  #addWorker (index: number): void {
    const size = this.#random.pick(SIZES)
    const entry = {
      id: `w${index}`,
      pool: 'pool',
      address: '',
      failureDomain: `d${index % 3}`,
      draining: false,
      leavesInMs: undefined,
      capacity: { cpuMillis: 16_000 * size, memoryMb: 32_768 * size, accelerators: 0 },
      labels: [index % 3 === 0 ? 'b' : 'a', `r${index % 18}`]
    }
    const worker = new WorkerState(entry, 0)
    Object.assign(worker, { reachable: true, hasAnswered: true, declaredRatio: 1 + this.#random.below(100) / 1000 })
    this.cell.workers.set(entry.id, worker)
  }

  /** Returns the number of the job's tasks. */
  #addJob (): number {
    const kind = this.#random.pick(KINDS)
    const spread = (mean: number) => Math.round(mean * (0.5 + this.#random.below(1_000) / 1_000))
    const { cpuMillis, memoryMb, accelerators } = kind.meanDemand
    const step = createStep({
      ...kind.step,
      count: spread(kind.meanTasks),
      demand: { cpuMillis: spread(cpuMillis), memoryMb: spread(memoryMb), accelerators },
      gang: kind.step.longRunning !== true && this.#random.chance(0.03),
      requiredLabel: this.#random.chance(0.2) ? 'a' : ''
    })
    const queue = this.#options.hasAdvice ? kind.queue : { ...kind.queue, advice: undefined }
    const definition = {
      id: (this.#jobs++).toString(16).padStart(16, '0'),
      queue,
      acceptedAt: Date.now() - this.#random.below(20_000),
      spec: { payload: '', steps: [step], occurrences: 0, firstRunAt: 0, intervalMs: 0 }
    }
    const job = new TrackedJob(definition, this.cell.now(), Date.now())
    job.openOccurrence(0, this.cell.now())
    this.cell.add(job)
    this.cell.active.add(job)
    return step.count
  }
}

/** Policy service as one node sees it: allows a fixed share of the workers for each step, one call at a time. */
class SteadyAdviser implements Adviser {
  #freeAt = 0

  async advise (step: Parameters<Adviser['advise']>[0], workers: string[]): ReturnType<Adviser['advise']> {
    const now = performance.now()
    this.#freeAt = Math.max(now, this.#freeAt) + DECISION_MS + PER_WORKER_MS * workers.length
    await sleep(this.#freeAt - now)
    const allowed = workers.filter((worker) => hashText(`${worker} ${step.job} ${step.step}`) % 100 < ALLOWED_PERCENT)
    return done({ tickets: allowed.map((worker): [string, string] => [worker, createTicket(2_500)]) })
  }
}

/** Mean duration of a call over the kinds of jobs, in ms. */
const DECISION_MS = 150
const PER_WORKER_MS = 2

/** Share of the workers that the policy allows, in percent. */
const ALLOWED_PERCENT = 45
