import type { ProcessContext } from '../types.ts'

/** Adds the parts of the scheduler role to the life cycle. */
export function addSchedulerParts (context: ProcessContext): void {
  context.lifecycle.add({ name: 'scheduler' })
}
