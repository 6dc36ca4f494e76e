/**
 * Ends the process with an error of a promise that nobody waits for: such an error is a fault of the program.
 *
 * @param error - What the promise was rejected with.
 *
 * @example
 * poll().catch(rethrow)
 */
export function rethrow (error: unknown): void {
  process.nextTick(() => { throw error })
}
