/**
 * Waits for a given time. Uses the global `setTimeout`, which tests replace by fake timers.
 *
 * @param delayMs - Delay in ms.
 *
 * @example
 * await sleep(200)
 */
export async function sleep (delayMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, delayMs))
}
