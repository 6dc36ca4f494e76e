import { parseJson } from '@gypsumspring/protocol'
import { Value } from '@sinclair/typebox/value'
import { JOB_PARTITIONS } from '../constants/index.ts'
import { hashText } from '../hashText/index.ts'
import { Job } from '../types.ts'

/** Accepted jobs, each written once by the node that accepted it. */
export const JOBS_TABLE = 'jobs'

/** Cancelled jobs. */
export const CANCELS_TABLE = 'cancels'

/** Jobs that the owner has taken in with their progress: a new owner needs no other partition to go on. */
export const PROGRESS_TABLE = 'progress'

/** Partition of the owner's rows. */
export const CELL_PARTITION = 'cell'

/** Partitions that are tried for one job; some may be out of service. */
const PARTITIONS_PER_JOB = 3

/**
 * Finds the partitions of a job's own rows. The same job may be in several of them: its id tells that it is one.
 *
 * @param id - Id of the job.
 * @returns Some of `listJobPartitions()`, in the order in which they are tried.
 */
export function toJobPartitions (id: string): string[] {
  const hash = hashText(id)
  return Array.from({ length: PARTITIONS_PER_JOB }, (_, index) => `jobs-${(hash + index * PARTITION_STRIDE) % JOB_PARTITIONS}`)
}

/** Distance between the partitions of one job; no divisor of their number. */
const PARTITION_STRIDE = 5

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
  const value = parseJson(bytes)
  return Value.Check(Job, value) ? value : undefined
}
