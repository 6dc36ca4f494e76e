/**
 * Finds a step that waits for a step which is not an earlier one of its job. Such a step could never start.
 *
 * @param steps - The steps of a job.
 * @returns The index of the first such step, or -1 if there is none.
 *
 * @example
 * findStepOutOfOrder([{ after: [] }, { after: [0] }]) // -1
 */
export function findStepOutOfOrder (steps: ReadonlyArray<{ after?: readonly number[] }>): number {
  return steps.findIndex(({ after = [] }, index) => after.some((dependency) => dependency >= index))
}
