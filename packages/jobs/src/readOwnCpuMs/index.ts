/**
 * Returns the processor time that this process has used so far, in user and kernel mode and on all threads.
 *
 * @returns The time in ms.
 */
export function readOwnCpuMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}
