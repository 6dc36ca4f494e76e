import type { ProcessContext } from '../types.ts'

/** Adds the parts of the entry role to the life cycle. */
export function addEntryParts (context: ProcessContext): void {
  context.lifecycle.add({ name: 'entry' })
}
