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
  /** Client account that submits the jobs. Default: none. */
  account?: string
  /** Number of equal steps that run one after the other. Default: 1. */
  chain?: number
  /** Time in which more jobs arrive, in ms from the begin of the period, and by which factor. Default: none. */
  surge?: { fromMs: number, toMs: number, factor: number }
}

/** What became of the jobs of a kind. */
export interface LoadOutcome {
  submitted: number
  /** Completed within their objective. */
  inTime: number
  /** Completed later, but within three times their objective. */
  late: number
  refused: number
  /** Value of the jobs in time as a share of that of all: 0.3 for a job, and 0.7 by its work. */
  value: number
}

interface SubmittedJob {
  kind: JobKind
  runMs: number
  submittedAt: number
  /** Tasks of each step. */
  count: number
  /** Answer to the submission; undefined before it arrives. */
  answer: string | undefined
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
      for (let atMs = this.#drawGapMs(kind, 0); atMs < periodMs; atMs += this.#drawGapMs(kind, atMs)) {
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
    const { inTime, submitted } = this.summarize([kind], endedAt)
    return inTime / submitted
  }

  /** Summarizes what became of the submitted jobs of some kinds. */
  summarize (kinds: readonly JobKind[], endedAt: (job: string) => number | undefined): LoadOutcome {
    const outcome: LoadOutcome = { submitted: 0, inTime: 0, late: 0, refused: 0, value: 0 }
    let totalValue = 0
    for (const [id, job] of this.#jobs) {
      const { kind, runMs, submittedAt, count, answer } = job
      if (!kinds.includes(kind)) continue
      const objective = kind.queue.stretch * (kind.chain ?? 1) * runMs + kind.queue.targetLatencyMs
      const tookMs = (endedAt(id) ?? Infinity) - submittedAt
      const value = 0.3 + 0.7 * count * runMs / (kind.meanTasks * kind.meanRunMs)
      outcome.submitted++
      totalValue += value
      if (answer === 'refused') outcome.refused++
      if (tookMs <= objective) {
        outcome.inTime++
        outcome.value += value
      } else if (tookMs <= 3 * objective) outcome.late++
    }
    return { ...outcome, value: outcome.value / totalValue }
  }

  #drawGapMs ({ rate, surge }: JobKind, atMs: number): number {
    const factor = surge !== undefined && atMs >= surge.fromMs && atMs < surge.toMs ? surge.factor : 1
    return -Math.log(1 - this.#random.below(1_000_000) / 1_000_000) * 1_000 / (rate * factor)
  }

  #submit (cell: MemoryCell, kind: JobKind): void {
    const id = this.#jobs.size.toString(16).padStart(16, '0')
    const runMs = kind.meanRunMs * (0.5 + this.#random.below(1_000) / 1_000)
    const estimatedRunMs = runMs * (1 + kind.estimateError * (this.#random.below(2_000) / 1_000 - 1))
    let count = 1
    while (this.#random.chance(1 - 1 / kind.meanTasks)) count++
    const job: SubmittedJob = { kind, runMs, submittedAt: performance.now(), count, answer: undefined }
    this.#jobs.set(id, job)
    const demand = this.#random.pick(kind.demands)
    const steps = Array.from({ length: kind.chain ?? 1 }, (_, index) => (
      { count, demand, estimatedRunMs, after: index === 0 ? [] : [index - 1], ...kind.step }))
    const { queue, account } = kind
    cell.submit(id, steps, { queue, account }).then((answer) => { job.answer = answer }).catch(throwUncaught)
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
