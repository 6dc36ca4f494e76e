import { sleep, type Workload } from '@gypsumspring/protocol'
import type { Cell, StartedProcess } from '@gypsumspring/standins'
import { makeManifest, putManifest, readStoreCounts, round, waitUntil, withCell } from './cell.ts'
import { measureMean } from './readUsage.ts'

const IDLE_MS = 8000
const CHANGES = 5
const LONGEST_SPREAD_MS = 30_000

type Report = (row: Record<string, number>) => void

/** Spread of configuration changes over so many processes, half of them entries, and what it costs each of them. */
export async function measureConfiguration (
  processes: number, report: Report, workloadCounts: number[] = []
): Promise<void> {
  await withCell({ entryVms: processes / 2, workers: 0 }, 30, async (cell) => {
    let scopeVersion = 0
    const change = async (workloads: number) => await spread(cell, workloads, scopeVersion++)
    await change(0)
    await sleep(3000)
    const before = await readStoreCounts(cell)
    const schedulers = cell.vms.map(({ scheduler }) => scheduler.pid)
    const entries = cell.vms.map(({ entry }) => entry.pid)
    const [idle, idleEntry] = await Promise.all([
      measureMean(schedulers, async () => await sleep(IDLE_MS)), measureMean(entries, async () => await sleep(IDLE_MS))
    ])
    const after = await readStoreCounts(cell)
    const times: number[] = []
    for (let index = 0; index < CHANGES; index++) times.push(await change(0))
    times.sort((a, b) => a - b)
    report({
      processes,
      spreadMedianMs: times[Math.floor(CHANGES / 2)] as number,
      spreadMaxMs: times.at(-1) as number,
      schedulerMb: round(idle.residentMb),
      schedulerCorePercent: round(idle.corePercent),
      schedulerSentKbPerSecond: round(idle.sentKbPerSecond),
      schedulerReceivedKbPerSecond: round(idle.receivedKbPerSecond),
      entryMb: round(idleEntry.residentMb),
      entryCorePercent: round(idleEntry.corePercent),
      entrySentKbPerSecond: round(idleEntry.sentKbPerSecond),
      entryReceivedKbPerSecond: round(idleEntry.receivedKbPerSecond),
      schedulerWriteCallsPerSecond: round(idle.writeCallsPerSecond),
      entryWriteCallsPerSecond: round(idleEntry.writeCallsPerSecond),
      storeReadsPerSecond: round((after.reads - before.reads) / idle.seconds),
      storeWritesPerSecond: round((after.writes - before.writes) / idle.seconds),
      listsPerSecond: round((after.lists - before.lists) / idle.seconds)
    })
    for (const workloads of workloadCounts) {
      await change(workloads)
      await sleep(2000)
      const changed = await measureMean(schedulers, async () => {
        await change(workloads)
        await sleep(2000)
      })
      const idleBytes = idle.receivedKbPerSecond * 1000 * changed.seconds
      report({
        processes,
        workloads,
        manifestBytes: JSON.stringify(makeManifest(30, makeWorkloads(workloads))).length,
        receivedBytesPerChange: Math.round(changed.receivedBytes - idleBytes),
        schedulerMb: round(changed.residentMb)
      })
    }
  })
}

function makeWorkloads (count: number): Workload[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `workload-${index}`,
    team: 'team-a',
    kind: 'batch',
    tasks: 4,
    resources: { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 },
    payload: { runMs: 1000 }
  }))
}

/** Applies a change. Returns the time from sending it until it is in force in the last process, in ms. */
async function spread (cell: Cell, workloads: number, scopeVersion: number): Promise<number> {
  const manifest = makeManifest(30, makeWorkloads(workloads), scopeVersion + 1)
  const sentAt = Date.now()
  const version = await putManifest(cell, manifest, scopeVersion)
  const daemons = cell.vms.flatMap(({ entry, scheduler }) => [entry, scheduler])
  const timeOf = (started: StartedProcess) => findTime(started, version)
  await waitUntil(`version ${version} in force in ${daemons.length} processes`, () =>
    daemons.every((started) => timeOf(started) !== undefined), LONGEST_SPREAD_MS)
  return Math.max(...daemons.map((started) => timeOf(started) as number)) - sentAt
}

/** Time at which a version or a later one came into force in a process, on the clock of `Date.now()`. */
function findTime (started: StartedProcess, version: number): number | undefined {
  for (const line of started.log) {
    if (!line.includes('configuration in force')) continue
    const { version: found, time } = JSON.parse(line) as { version: number, time: number }
    if (found >= version) return time
  }
  return undefined
}
