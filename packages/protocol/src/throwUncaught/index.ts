/**
 * Rethrows a promise rejection as an uncaught exception, which terminates the process. For promises that are not
 * awaited and reject only because of a bug.
 *
 * @param error - The rejection reason.
 *
 * @example
 * poll().catch(throwUncaught)
 */
export function throwUncaught (error: unknown): void {
  process.nextTick(() => { throw error })
}
