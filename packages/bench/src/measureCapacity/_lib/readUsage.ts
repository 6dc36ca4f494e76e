import { readFile } from 'node:fs/promises'

/** Resource usage of a process since its start. */
export interface ProcessUsage {
  /** Time of the reading on the clock of `performance.now()`, in ms. */
  at: number
  cpuMs: number
  /** Resident memory, in MiB. */
  residentMb: number
  receivedBytes: number
  sentBytes: number
  /** Number of write system calls, most of which carry one message. */
  writeCalls: number
}

/** Resource usage of a process over an interval. */
export interface IntervalUsage {
  seconds: number
  cpuMs: number
  /** Processor time as a percentage of one core. */
  corePercent: number
  /** Resident memory at the end of the interval, in MiB. */
  residentMb: number
  receivedBytes: number
  sentBytes: number
  receivedKbPerSecond: number
  sentKbPerSecond: number
  writeCallsPerSecond: number
}

/** Clock ticks per second in /proc/<pid>/stat (USER_HZ), which Linux fixes at 100 for user space. */
const TICKS_PER_SECOND = 100

/**
 * Reads the processor time, resident memory and transferred bytes of a process from /proc.
 *
 * @param pid - Process id.
 * @returns The usage since the start of the process. Bytes are those of read and write calls, which Node.js also makes
 * for sockets; they include log lines and exclude TCP and IP headers. `compareByteCounts` checks them against a known
 * amount.
 * @throws Error when the process has ended.
 *
 * @example
 * await readUsage(process.pid)
 */
export async function readUsage (pid: number): Promise<ProcessUsage> {
  const [stat, status, io] = await Promise.all(['stat', 'status', 'io'].map((file) =>
    readFile(`/proc/${pid}/${file}`, 'utf8'))) as [string, string, string]
  // After the program name in parentheses, the 12th and 13th fields are the user and the system time.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return {
    at: performance.now(),
    cpuMs: (Number(fields[11]) + Number(fields[12])) * 1000 / TICKS_PER_SECOND,
    residentMb: Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1]) / 1024,
    receivedBytes: Number(/^rchar: (\d+)/m.exec(io)?.[1]),
    sentBytes: Number(/^wchar: (\d+)/m.exec(io)?.[1]),
    writeCalls: Number(/^syscw: (\d+)/m.exec(io)?.[1])
  }
}

/** Returns the usage between two readings of one process. */
export function subtractUsage (later: ProcessUsage, earlier: ProcessUsage): IntervalUsage {
  const seconds = (later.at - earlier.at) / 1000
  const cpuMs = later.cpuMs - earlier.cpuMs
  const receivedBytes = later.receivedBytes - earlier.receivedBytes
  const sentBytes = later.sentBytes - earlier.sentBytes
  return {
    seconds,
    cpuMs,
    corePercent: cpuMs / seconds / 10,
    residentMb: later.residentMb,
    receivedBytes,
    sentBytes,
    receivedKbPerSecond: receivedBytes / seconds / 1000,
    sentKbPerSecond: sentBytes / seconds / 1000,
    writeCallsPerSecond: (later.writeCalls - earlier.writeCalls) / seconds
  }
}

/** Measures the mean usage of several processes while an action runs. */
export async function measureMeanUsage (pids: number[], action: () => Promise<unknown>): Promise<IntervalUsage> {
  const before = await Promise.all(pids.map(readUsage))
  await action()
  const after = await Promise.all(pids.map(readUsage))
  const usages = after.map((usage, index) => subtractUsage(usage, before[index] as ProcessUsage))
  const fields = Object.keys(usages[0] ?? {}) as Array<keyof IntervalUsage>
  return Object.fromEntries(fields.map((field) =>
    [field, usages.reduce((sum, usage) => sum + usage[field], 0) / usages.length])) as unknown as IntervalUsage
}
