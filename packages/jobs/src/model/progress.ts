import { parseJson } from '@gypsumspring/protocol'
import { Type, type Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { findStepOutOfOrder } from '../records/findStepOutOfOrder/index.ts'
import { Job, type JobState } from '../types.ts'
import type { TaskInstance, TrackedJob } from './TrackedJob.ts'

/** Stored state of a job and its tasks, from which another owner can continue. */
export interface Progress {
  /** Undefined once the job has ended and its runs too, since only its state can still be queried. */
  job: Job | undefined
  state: JobState
  endedAt: number
  finishedOccurrences: number[]
  /** Pairs of occurrence and step. */
  finishedSteps: Array<readonly [number, number]>
  tasks: TaskProgress[]
}

/** Stored state of one task; `assigned` covers all states in which the task has a run on a worker. */
export interface TaskProgress {
  occurrence: number
  step: number
  index: number
  status: 'waiting' | 'assigned' | 'done'
  run: number
  failures: number
  worker: string | undefined
  checkpoint: string
}

// The store holds indices into these two lists, so their order must not change.
const STATES = ['queued', 'running', 'completed', 'failed', 'cancelled'] as const
const STATUSES = ['waiting', 'assigned', 'done'] as const

const Count = Type.Integer({ minimum: 0 })

/** Rows are arrays instead of objects: a row is rewritten with each change, and writes are paid for by size. */
const ProgressRow = Type.Tuple([
  Type.Integer({ minimum: 0, maximum: STATES.length - 1 }),
  Type.Number(),
  Type.Array(Count),
  Type.Array(Type.Tuple([Count, Count])),
  Type.Array(Type.Tuple([
    Count, Count, Count, Type.Integer({ minimum: 0, maximum: STATUSES.length - 1 }), Count, Count, Type.String(),
    Type.String()
  ])),
  Type.Union([Job, Type.Null()])
])
type ProgressRow = Static<typeof ProgressRow>

/**
 * Encodes a job and its progress as one row, since the number of rows in a commit is limited. Omits tasks of finished
 * steps, tasks that never ran, and the definition of a job that has ended: each new owner reads all rows. Tasks of an
 * ended job that are still being stopped are kept, since a new owner has to know what its client account uses.
 *
 * @param tracked - The in-memory state of the job.
 * @param keepsRuns - Whether the row of an ended job has its runs; false when they don't fit. Default: true.
 * @returns The bytes of its row.
 */
export function encodeProgress (tracked: TrackedJob, keepsRuns = true): Uint8Array {
  const finishedSteps: Array<[number, number]> = []
  const tasks: ProgressRow[4] = []
  const { isOver } = tracked
  for (const [occurrence, steps] of tracked.occurrences) {
    for (const step of steps) {
      if (step.isDone && !isOver) finishedSteps.push([occurrence, step.index])
      if (step.isDone) continue
      for (const task of step.tasks) {
        if (isOver ? keepsRuns && task.isAssigned : task.run > 0) tasks.push(encodeTask(task))
      }
    }
  }
  const row: ProgressRow = [
    STATES.indexOf(tracked.state), tracked.endedAt, isOver ? [] : [...tracked.finishedOccurrences],
    finishedSteps, tasks, isOver && tasks.length === 0 ? null : tracked.definition
  ]
  return Buffer.from(JSON.stringify(row))
}

/** Largest number of bytes of a task, an occurrence and a finished step in a row. Ids of workers have 12 characters. */
const TASK_BYTES = 80
const OCCURRENCE_BYTES = 6
const FINISHED_STEP_BYTES = 10

/** Bytes of a row apart from the definition of the job, its tasks, occurrences and steps. */
const BASE_BYTES = 500

/**
 * Counts the occurrences of a job that may be open at a time, so that its progress fits into one row.
 *
 * @param job - The job.
 * @param maxRowBytes - Largest row that the store accepts, in bytes.
 * @returns The number of occurrences; 0 if not even one fits.
 */
export function countOpenOccurrences (job: Job, maxRowBytes: number): number {
  const { steps, occurrences } = job.spec
  const definition = Buffer.byteLength(JSON.stringify(job))
  const freeBytes = maxRowBytes - BASE_BYTES - definition - OCCURRENCE_BYTES * occurrences
  const tasks = steps.reduce((sum, { count }) => sum + count, 0)
  return Math.max(0, Math.floor(freeBytes / (TASK_BYTES * tasks + FINISHED_STEP_BYTES * steps.length)))
}

function encodeTask (task: TaskInstance): ProgressRow[4][number] {
  const { occurrence, step, index } = task.key
  return [
    occurrence, step, index, STATUSES.indexOf(statusOf(task)), task.run, task.failures,
    task.isAssigned ? task.worker ?? '' : '', task.checkpoint
  ]
}

function statusOf (task: TaskInstance): TaskProgress['status'] {
  if (task.status === 'done') return 'done'
  return task.isAssigned ? 'assigned' : 'waiting'
}

/**
 * Decodes the stored progress of a job.
 *
 * @param bytes - The bytes of its row.
 * @returns The progress, or undefined when the bytes are not a valid progress row.
 */
export function decodeProgress (bytes: Uint8Array): Progress | undefined {
  const row = parseJson(bytes)
  if (!Value.Check(ProgressRow, row)) return undefined
  const [state, endedAt, finishedOccurrences, finishedSteps, tasks, job] = row
  if (job !== null && findStepOutOfOrder(job.spec.steps) >= 0) return undefined
  return {
    job: job ?? undefined,
    state: STATES[state]!,
    endedAt,
    finishedOccurrences,
    finishedSteps,
    tasks: tasks.map(([occurrence, step, index, status, run, failures, worker, checkpoint]) => ({
      occurrence, step, index, status: STATUSES[status]!, run, failures, worker: worker || undefined, checkpoint
    }))
  }
}
