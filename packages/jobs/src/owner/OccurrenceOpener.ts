import { getHeapStatistics } from 'node:v8'
import { countOpenOccurrences, type TrackedJob } from '../model/index.ts'
import type { Cell } from './Cell.ts'

/** Memory that a task takes, in bytes; measured with 1,400 jobs of 260 tasks. */
const TASK_BYTES = 420

/** Tasks for which a step counts: it has advice of its own, and each placement round looks at it. */
const TASKS_PER_STEP = 10

/** Part of the heap for open tasks of one priority and the more urgent ones. Rows, jobs and garbage need the rest. */
const OPEN_TASKS_HEAP_PART = 1 / 8

/**
 * An occurrence opens while its tasks are at most this part of those that may still open. When many large jobs wait,
 * there is room for small ones.
 */
const MAX_PART_OF_REST = 1 / 8

/** Options of `OccurrenceOpener`. */
export interface OccurrenceOpenerOptions {
  /** Largest value of a row that the store accepts, in bytes. */
  maxRowBytes: number
  /**
   * Tasks of one priority and the more urgent ones that may be open, where each step counts as `TASKS_PER_STEP` more.
   * Default: by the largest heap of the process.
   */
  maxOpenTasks?: number
}

/**
 * Creates the tasks of occurrences that are due, as far as there is memory for them and their progress can be stored.
 * Other occurrences stay due: a job without tasks takes as much memory as its definition.
 */
export class OccurrenceOpener {
  readonly #cell: Cell
  readonly #maxRowBytes: number
  readonly #maxOpenTasks: number
  /** Size of the open occurrences, in tasks, by priority; those that have ended count until the next tick. */
  readonly #openSizes = new Map<number, number>()
  /** Number of occurrences of a job whose progress fits into a row. */
  readonly #maxOpenOccurrences = new WeakMap<TrackedJob, number>()
  /** Whether an occurrence that is due has not been opened for lack of room since the last tick. */
  #isFull = false

  constructor (cell: Cell, { maxRowBytes, maxOpenTasks = deriveMaxOpenTasks() }: OccurrenceOpenerOptions) {
    this.#cell = cell
    this.#maxRowBytes = maxRowBytes
    this.#maxOpenTasks = maxOpenTasks
  }

  /** Opens the occurrences of a job that are due. */
  openDue (job: TrackedJob): void {
    const now = Date.now()
    const maxOpen = this.#countMaxOpen(job)
    for (let occurrence = 0; occurrence < job.occurrenceCount; occurrence++) {
      if (job.dueAt(occurrence) > now || job.occurrences.size >= maxOpen) return
      if (job.finishedOccurrences.has(occurrence) || job.occurrences.has(occurrence)) continue
      if (!this.#hasRoom(job)) {
        this.#isFull = true
        return
      }
      job.openOccurrence(occurrence, performance.now())
      this.#count(job, 1)
    }
  }

  /** Opens the occurrences that have become due, or for which there is room since others have ended. */
  tick (): void {
    const wasFull = this.#isFull
    this.#isFull = false
    this.#openSizes.clear()
    for (const job of this.#cell.active) this.#count(job, job.occurrences.size)
    const pending = [...this.#cell.active]
      .filter(({ spec, occurrences }) => spec.occurrences > 0 || occurrences.size === 0)
    if (wasFull) pending.sort(compareUrgency)
    for (const job of pending) this.openDue(job)
    let tasks = 0
    for (const { taskCount, occurrences } of this.#cell.active) tasks += taskCount * occurrences.size
    this.#cell.metrics.set('tasks_open', tasks)
    if (this.#isFull === wasFull) return
    if (this.#isFull) this.#cell.log.warn({ maxOpenTasks: this.#maxOpenTasks }, 'jobs wait until others have ended')
    else this.#cell.log.info({}, 'no jobs wait until others have ended')
  }

  #hasRoom (job: TrackedJob): boolean {
    let rest = this.#maxOpenTasks
    for (const [priority, size] of this.#openSizes) if (priority <= job.definition.queue.priority) rest -= size
    // An occurrence that is larger than this part of the limit opens alone.
    return sizeOf(job) <= rest * MAX_PART_OF_REST || rest === this.#maxOpenTasks
  }

  #count (job: TrackedJob, occurrences: number): void {
    const { priority } = job.definition.queue
    this.#openSizes.set(priority, (this.#openSizes.get(priority) ?? 0) + occurrences * sizeOf(job))
  }

  #countMaxOpen (job: TrackedJob): number {
    if (job.spec.occurrences <= 1) return 1
    let count = this.#maxOpenOccurrences.get(job)
    if (count === undefined) {
      count = Math.max(1, countOpenOccurrences(job.definition, this.#maxRowBytes))
      this.#maxOpenOccurrences.set(job, count)
    }
    return count
  }
}

function deriveMaxOpenTasks (): number {
  return Math.floor(getHeapStatistics().heap_size_limit * OPEN_TASKS_HEAP_PART / TASK_BYTES)
}

/** Size of one occurrence of a job, in tasks. */
function sizeOf ({ taskCount, spec }: TrackedJob): number {
  return taskCount + TASKS_PER_STEP * spec.steps.length
}

function compareUrgency ({ definition: a }: TrackedJob, { definition: b }: TrackedJob): number {
  return a.queue.priority - b.queue.priority || a.acceptedAt - b.acceptedAt
}
