import { readFile } from 'node:fs/promises'

/** What a process has used so far. */
export interface Usage {
  /** Time of the reading on the clock of `performance.now()`, in ms. */
  at: number
  cpuMs: number
  /** Resident memory, in MiB. */
  residentMb: number
  receivedBytes: number
  sentBytes: number
  /** Write calls, most of which carry one message. */
  writeCalls: number
}

/** Use of a process over an interval. */
export interface UsageRate {
  seconds: number
  cpuMs: number
  /** Share of one core, in percent. */
  corePercent: number
  residentMb: number
  receivedBytes: number
  sentBytes: number
  receivedKbPerSecond: number
  sentKbPerSecond: number
  writeCallsPerSecond: number
}

/** Clock ticks per second in /proc/<pid>/stat; fixed in Linux's interface to user processes. */
const TICKS_PER_SECOND = 100

/**
 * Reads the processor time, resident memory and transferred bytes of a process from /proc.
 *
 * @param pid - Process id.
 * @returns The use so far. Bytes are those of read and write calls, which Node also makes for sockets; they include a
 * process's log lines and leave out TCP and IP headers. `checkByteCounts` compares them with a known amount.
 * @throws Error when the process has ended.
 *
 * @example
 * await readUsage(process.pid)
 */
export async function readUsage (pid: number): Promise<Usage> {
  const [stat, status, io] = await Promise.all(['stat', 'status', 'io'].map((file) =>
    readFile(`/proc/${pid}/${file}`, 'utf8'))) as [string, string, string]
  // The fields after the program name, which is in parentheses: user and system time are the 12th and 13th.
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

/** Use between two readings of one process. */
export function subtractUsage (later: Usage, earlier: Usage): UsageRate {
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

/** Mean use of several processes while an action runs. */
export async function measureMean (pids: number[], action: () => Promise<unknown>): Promise<UsageRate> {
  const before = await Promise.all(pids.map(readUsage))
  await action()
  const after = await Promise.all(pids.map(readUsage))
  const rates = after.map((usage, index) => subtractUsage(usage, before[index] as Usage))
  const names = Object.keys(rates[0] ?? {}) as Array<keyof UsageRate>
  return Object.fromEntries(names.map((name) =>
    [name, rates.reduce((sum, rate) => sum + rate[name], 0) / rates.length])) as unknown as UsageRate
}
