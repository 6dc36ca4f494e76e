import { done, sleep, throwUncaught } from '@gypsumspring/protocol'
import { hashText } from '../hashText/index.ts'
import type { Adviser } from '../ports.ts'
import type { Demand, Queue, Step } from '../types.ts'
import type { MemoryCell } from './MemoryCell.ts'
import { createTicket, type PlanRunEnd } from './MemoryWorker.ts'
import type { SeededRandom } from './SeededRandom.ts'

/** A kind of job that arrives at random times. */
export interface JobKind {
  queue: Queue
  /** Jobs per second. */
  rate: number
  /** Mean number of tasks; the numbers are distributed geometrically. */
  meanTasks: number
  /** Demand of the tasks of one job, which is drawn from these. */
  demands: Demand[]
  /** Mean run time, in ms. Run times are spread evenly from half of it to one and a half times it. */
  meanRunMs: number
  /** Largest error of the estimated run time, as a share of the true one. */
  estimateError: number
  /** Share of the workers that the policy allows for a step. */
  allowedShare: number
  step?: Partial<Step>
}

interface SubmittedJob {
  kind: JobKind
  runMs: number
  submittedAt: number
}

/** Submits jobs of several kinds at random times, and reports which of them met their objective. */
export class LoadGenerator {
  readonly #random: SeededRandom
  readonly #kinds: readonly JobKind[]
  readonly #jobs = new Map<string, SubmittedJob>()

  constructor (random: SeededRandom, kinds: readonly JobKind[]) {
    this.#random = random
    this.#kinds = kinds
  }

  /** Runs of a job take the true run time that was drawn for it. */
  readonly planRunEnd: PlanRunEnd = ({ job }) => ({ reason: 'done', afterMs: this.#jobs.get(job)!.runMs })

  /** Draws the arrivals of a period from now on and submits each job at its time. */
  schedule (cell: MemoryCell, periodMs: number): void {
    for (const kind of this.#kinds) {
      for (let atMs = this.#drawGapMs(kind); atMs < periodMs; atMs += this.#drawGapMs(kind)) {
        setTimeout(() => this.#submit(cell, kind), atMs)
      }
    }
  }

  /** Creates a client of a policy service that follows the kinds of the jobs. */
  createAdviser (): Adviser {
    return new SelectiveAdviser((job) => this.#jobs.get(job)!.kind)
  }

  /** Share of the submitted jobs of a kind that were shown as completed within their objective. */
  shareInTime (kind: JobKind, endedAt: (job: string) => number | undefined): number {
    const jobs = [...this.#jobs].filter(([, job]) => job.kind === kind)
    const inTime = jobs.filter(([id, { runMs, submittedAt }]) => {
      const { stretch, targetLatencyMs } = kind.queue
      return (endedAt(id) ?? Infinity) <= submittedAt + stretch * runMs + targetLatencyMs
    })
    return inTime.length / jobs.length
  }

  #drawGapMs ({ rate }: JobKind): number {
    return -Math.log(1 - this.#random.below(1_000_000) / 1_000_000) * 1_000 / rate
  }

  #submit (cell: MemoryCell, kind: JobKind): void {
    const id = this.#jobs.size.toString(16).padStart(16, '0')
    const runMs = kind.meanRunMs * (0.5 + this.#random.below(1_000) / 1_000)
    const estimatedRunMs = runMs * (1 + kind.estimateError * (this.#random.below(2_000) / 1_000 - 1))
    let count = 1
    while (this.#random.chance(1 - 1 / kind.meanTasks)) count++
    this.#jobs.set(id, { kind, runMs, submittedAt: performance.now() })
    const demand = this.#random.pick(kind.demands)
    const steps = [{ count, demand, estimatedRunMs, ...kind.step }]
    cell.submit(id, steps, { queue: kind.queue }).catch(throwUncaught)
  }
}

/**
 * Policy service as one node sees it, which allows a fixed share of the workers for each step, takes the time that the
 * queue states, and handles one call of the node at a time.
 */
class SelectiveAdviser implements Adviser {
  readonly #kindOf: (job: string) => JobKind
  #freeAt = 0

  constructor (kindOf: (job: string) => JobKind) {
    this.#kindOf = kindOf
  }

  async advise (step: Parameters<Adviser['advise']>[0], workers: string[]): ReturnType<Adviser['advise']> {
    const { queue, allowedShare } = this.#kindOf(step.job)
    const { decisionMs, perWorkerMs, validMs } = queue.advice!
    const now = performance.now()
    this.#freeAt = Math.max(now, this.#freeAt) + decisionMs + perWorkerMs * workers.length
    await sleep(this.#freeAt - now)
    const allowed = workers.filter((worker) => hashText(`${worker} ${step.job} ${step.step}`) % 100 < allowedShare * 100)
    return done({ tickets: allowed.map((worker): [string, string] => [worker, createTicket(validMs)]) })
  }
}
