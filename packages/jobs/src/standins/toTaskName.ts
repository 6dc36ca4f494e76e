import type { TaskKey } from '../types.ts'

/** Name of a task under which the simulated workers and their checker keep it. */
export function toTaskName ({ job, occurrence, step, index }: TaskKey): string {
  return `${job}.${occurrence}.${step}.${index}`
}
