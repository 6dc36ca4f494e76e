import { parseJson } from '@gypsumspring/protocol'
import type { Static, TSchema } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { JOB_PARTITIONS } from '../constants/index.ts'
import { hashText } from '../hashText/index.ts'
import { Job } from '../types.ts'
import { findStepOutOfOrder } from './findStepOutOfOrder/index.ts'

/** Table of accepted jobs, each written once by the node that accepted it. */
export const JOBS_TABLE = 'jobs'

/** Table of cancelled jobs. */
export const CANCELS_TABLE = 'cancels'

/** Table of the fences: one row in each partition of accepted jobs, whose version writes of jobs there expect. */
export const FENCES_TABLE = 'fences'

/** Key of the fence of a partition. */
export const FENCE_KEY = 'jobs'

/**
 * Table of the jobs that the owner manages, with their progress. A new owner can continue from the one partition that
 * holds it.
 */
export const PROGRESS_TABLE = 'progress'

/** Partition that holds the owner's rows. */
export const CELL_PARTITION = 'cell'

/** Number of partitions that are tried for one job, since some may be unavailable. */
const PARTITIONS_PER_JOB = 3

/**
 * Returns the partitions that may hold the row of an accepted job. A job may be stored in several of them, and its id
 * identifies the duplicates.
 *
 * @param id - Id of the job.
 * @returns A subset of `listJobPartitions()`, in the order in which they are tried.
 */
export function toJobPartitions (id: string): string[] {
  const hash = hashText(id)
  return Array.from({ length: PARTITIONS_PER_JOB },
    (_, index) => `jobs-${(hash + index * PARTITION_STRIDE) % JOB_PARTITIONS}`)
}

/** Distance between the partitions of one job; must not divide `JOB_PARTITIONS`. */
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
 * @returns The job, or undefined when the bytes are not a valid job.
 */
export function decodeJob (bytes: Uint8Array): Job | undefined {
  const job = decodeRow(Job, bytes)
  return job !== undefined && findStepOutOfOrder(job.spec.steps) < 0 ? job : undefined
}

/**
 * Decodes the JSON value of a row.
 *
 * @param schema - Schema of the value.
 * @param bytes - The bytes of the row; undefined if it does not exist.
 * @returns The value, or undefined when the bytes are not a valid one.
 */
export function decodeRow<Schema extends TSchema> (
  schema: Schema, bytes: Uint8Array | undefined
): Static<Schema> | undefined {
  const value = bytes === undefined ? undefined : parseJson(bytes)
  return Value.Check(schema, value) ? value : undefined
}
