/**
 * Waits on the runtime's timers, which tests pause and advance.
 *
 * @param delayMs - Time to wait, in ms.
 *
 * @example
 * await sleep(200)
 */
export async function sleep (delayMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, delayMs))
}
