import { Value } from '@sinclair/typebox/value'
import { JOB_PARTITIONS } from '../constants/index.ts'
import { Job } from '../types.ts'

/** Accepted jobs, each written once by the node that accepted it. */
export const JOBS_TABLE = 'jobs'

/** Cancelled jobs. */
export const CANCELS_TABLE = 'cancels'

/** Progress of jobs, written by the owner of the cell only. */
export const PROGRESS_TABLE = 'progress'

/** Partition of the owner's rows. */
export const CELL_PARTITION = 'cell'

/**
 * Finds the partition of a job's own rows.
 *
 * @param id - Id of the job.
 * @returns One of `listJobPartitions()`.
 */
export function toJobPartition (id: string): string {
  let hash = 0
  for (let position = 0; position < id.length; position++) hash = (hash * 31 + id.charCodeAt(position)) >>> 0
  return `jobs-${hash % JOB_PARTITIONS}`
}

export function listJobPartitions (): string[] {
  return Array.from({ length: JOB_PARTITIONS }, (_, index) => `jobs-${index}`)
}

export function encodeJob (job: Job): Uint8Array {
  return Buffer.from(JSON.stringify(job))
}

/**
 * Decodes an accepted job.
 *
 * @param bytes - The bytes of its row.
 * @returns The job, or undefined when the bytes are no job.
 */
export function decodeJob (bytes: Uint8Array): Job | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(bytes).toString())
    return Value.Check(Job, value) ? value : undefined
  } catch {
    return undefined
  }
}
