import { parseJson } from '@gypsumspring/protocol'
import { Type, type Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { Job, type JobState } from '../types.ts'
import type { JobRun } from './JobRun.ts'

/** What lasts of a job and the work on it: enough for another owner to go on. */
export interface Progress {
  /** Absent once the job is over: only its state can still be asked for. */
  job: Job | undefined
  state: JobState
  endedAt: number
  finishedOccurrences: number[]
  /** Pairs of occurrence and step. */
  finishedSteps: Array<readonly [number, number]>
  tasks: TaskProgress[]
}

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

const STATES = ['queued', 'running', 'completed', 'failed', 'cancelled'] as const
const STATUSES = ['waiting', 'assigned', 'done'] as const

const Count = Type.Integer({ minimum: 0 })

/** Rows are arrays, since a record is rewritten with each change and bytes at the store are paid for. */
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
 * Encodes a job with its progress. Both are one row, since the rows of a commit are limited. Tasks of finished steps
 * are left out, and so are tasks that never ran. A job that is over is left out too, since each new owner reads all
 * rows.
 *
 * @param run - The job in memory.
 * @returns The bytes of its row.
 */
export function encodeProgress (run: JobRun): Uint8Array {
  const finishedSteps: Array<[number, number]> = []
  const tasks: ProgressRow[4] = []
  if (!run.isOver) {
    for (const [occurrence, steps] of run.occurrences) {
      for (const step of steps) {
        if (step.isDone) finishedSteps.push([occurrence, step.index])
        else for (const task of step.tasks) if (task.run > 0) tasks.push(encodeTask(task))
      }
    }
  }
  const row: ProgressRow = [
    STATES.indexOf(run.state), run.endedAt, run.isOver ? [] : [...run.finishedOccurrences], finishedSteps, tasks,
    run.isOver ? null : run.job
  ]
  return Buffer.from(JSON.stringify(row))
}

function encodeTask (task: Parameters<typeof statusOf>[0]): ProgressRow[4][number] {
  const { occurrence, step, index } = task.key
  return [
    occurrence, step, index, STATUSES.indexOf(statusOf(task)), task.run, task.failures,
    task.hasRun ? task.worker ?? '' : '', task.checkpoint
  ]
}

function statusOf (task: import('./JobRun.ts').TaskRun): TaskProgress['status'] {
  if (task.status === 'done') return 'done'
  return task.hasRun ? 'assigned' : 'waiting'
}

/**
 * Decodes the progress of a job.
 *
 * @param bytes - The bytes of its row.
 * @returns The progress, or undefined when the bytes are not a progress record.
 */
export function decodeProgress (bytes: Uint8Array): Progress | undefined {
  const row = parseJson(bytes)
  if (!Value.Check(ProgressRow, row)) return undefined
  const [state, endedAt, finishedOccurrences, finishedSteps, tasks, job] = row
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
