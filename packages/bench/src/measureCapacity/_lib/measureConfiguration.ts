import { sleep, type Workload } from '@gypsumspring/protocol'
import type { Cell, StartedProcess } from '@gypsumspring/standins'
import {
  applyManifest, buildManifest, readStoreCallCounts, roundToPrecision, waitUntil, withCell
} from './cellHelpers.ts'
import { measureMeanUsage } from './readUsage.ts'

const IDLE_MS = 8000
const CHANGE_COUNT = 5
const PROPAGATION_TIMEOUT_MS = 30_000

type Report = (row: Record<string, number>) => void

/**
 * Measures how long a configuration change takes to reach all processes of a cell, and the resource usage of an idle
 * process.
 *
 * @param processes - Number of processes; half of them are entries and half schedulers.
 * @param report - Receives one row for the cell and one for each workload count.
 * @param workloadCounts - Workload counts of manifests for which the bytes received per change are measured.
 * Default: none.
 *
 * @example
 * await measureConfiguration(8, console.log)
 */
export async function measureConfiguration (
  processes: number, report: Report, workloadCounts: number[] = []
): Promise<void> {
  await withCell({ entryVms: processes / 2, workers: 0 }, 30, async (cell) => {
    let scopeVersion = 0
    const applyChange = async (workloads: number) => await measurePropagation(cell, workloads, scopeVersion++)
    await applyChange(0)
    await sleep(3000)
    const before = await readStoreCallCounts(cell)
    const schedulers = cell.vms.map(({ scheduler }) => scheduler.pid)
    const entries = cell.vms.map(({ entry }) => entry.pid)
    const [idleScheduler, idleEntry] = await Promise.all([
      measureMeanUsage(schedulers, async () => await sleep(IDLE_MS)),
      measureMeanUsage(entries, async () => await sleep(IDLE_MS))
    ])
    const after = await readStoreCallCounts(cell)
    const propagationTimes: number[] = []
    for (let index = 0; index < CHANGE_COUNT; index++) propagationTimes.push(await applyChange(0))
    propagationTimes.sort((a, b) => a - b)
    report({
      processes,
      spreadMedianMs: propagationTimes[Math.floor(CHANGE_COUNT / 2)] as number,
      spreadMaxMs: propagationTimes.at(-1) as number,
      schedulerMb: roundToPrecision(idleScheduler.residentMb),
      schedulerCorePercent: roundToPrecision(idleScheduler.corePercent),
      schedulerSentKbPerSecond: roundToPrecision(idleScheduler.sentKbPerSecond),
      schedulerReceivedKbPerSecond: roundToPrecision(idleScheduler.receivedKbPerSecond),
      entryMb: roundToPrecision(idleEntry.residentMb),
      entryCorePercent: roundToPrecision(idleEntry.corePercent),
      entrySentKbPerSecond: roundToPrecision(idleEntry.sentKbPerSecond),
      entryReceivedKbPerSecond: roundToPrecision(idleEntry.receivedKbPerSecond),
      schedulerWriteCallsPerSecond: roundToPrecision(idleScheduler.writeCallsPerSecond),
      entryWriteCallsPerSecond: roundToPrecision(idleEntry.writeCallsPerSecond),
      storeReadsPerSecond: roundToPrecision((after.reads - before.reads) / idleScheduler.seconds),
      storeWritesPerSecond: roundToPrecision((after.writes - before.writes) / idleScheduler.seconds),
      listsPerSecond: roundToPrecision((after.lists - before.lists) / idleScheduler.seconds)
    })
    for (const workloads of workloadCounts) {
      await applyChange(workloads)
      await sleep(2000)
      const changeUsage = await measureMeanUsage(schedulers, async () => {
        await applyChange(workloads)
        await sleep(2000)
      })
      const idleBytes = idleScheduler.receivedKbPerSecond * 1000 * changeUsage.seconds
      report({
        processes,
        workloads,
        manifestBytes: JSON.stringify(buildManifest(30, makeWorkloads(workloads))).length,
        receivedBytesPerChange: Math.round(changeUsage.receivedBytes - idleBytes),
        schedulerMb: roundToPrecision(changeUsage.residentMb)
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

/** Applies a change. Returns the time in ms from sending it until it is in force in every process. */
async function measurePropagation (cell: Cell, workloads: number, scopeVersion: number): Promise<number> {
  const manifest = buildManifest(30, makeWorkloads(workloads), scopeVersion + 1)
  const sentAt = Date.now()
  const version = await applyManifest(cell, manifest, scopeVersion)
  const daemons = cell.vms.flatMap(({ entry, scheduler }) => [entry, scheduler])
  const activationTimeOf = (started: StartedProcess) => findActivationTime(started, version)
  await waitUntil(`version ${version} is in force in ${daemons.length} processes`, () =>
    daemons.every((started) => activationTimeOf(started) !== undefined), PROPAGATION_TIMEOUT_MS)
  return Math.max(...daemons.map((started) => activationTimeOf(started) as number)) - sentAt
}

/** Finds when a version or a later one came into force in a process, on the clock of `Date.now()`. */
function findActivationTime (started: StartedProcess, version: number): number | undefined {
  for (const line of started.log) {
    if (!line.includes('configuration in force')) continue
    const { version: loggedVersion, time } = JSON.parse(line) as { version: number, time: number }
    if (loggedVersion >= version) return time
  }
  return undefined
}
