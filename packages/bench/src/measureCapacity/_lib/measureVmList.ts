import { sleep } from '@gypsumspring/protocol'
import { callControl, type Cell } from '@gypsumspring/standins'
import { applyManifest, roundToPrecision, withCell } from './cellHelpers.ts'
import { measureMeanUsage, type IntervalUsage } from './readUsage.ts'

const SETTLE_MS = 4000
const MEASURED_MS = 6000
const DOMAINS = 16
/** Keeps the body of each control call below the stand-in's size limit. */
const MACHINES_PER_CALL = 1000
const CAPACITY = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 1 }

/**
 * Measures an idle entry and an idle scheduler while the platform's VM list contains workers of other failure domains.
 *
 * @param sizes - Increasing numbers of listed workers.
 * @param report - Receives a row for each size.
 *
 * @example
 * await measureVmList([0, 2400], console.log)
 */
export async function measureVmList (sizes: number[], report: (row: Record<string, number>) => void): Promise<void> {
  await withCell({ entryVms: 1, workers: 0 }, 1, async (cell) => {
    await applyManifest(cell, cell.manifest, 0)
    const { entry, scheduler } = cell.vms[0]!
    let listedCount = 0
    for (const workers of sizes) {
      await addWorkersToVmList(cell, listedCount, workers)
      listedCount = workers
      await sleep(SETTLE_MS)
      const [schedulerUsage, entryUsage] = await Promise.all([scheduler, entry].map(async ({ pid }) =>
        await measureMeanUsage([pid], async () => await sleep(MEASURED_MS)))) as [IntervalUsage, IntervalUsage]
      report({ workers, ...toFigures('scheduler', schedulerUsage), ...toFigures('entry', entryUsage) })
    }
  })
}

function toFigures (role: string, usage: IntervalUsage): Record<string, number> {
  return {
    [`${role}Mb`]: roundToPrecision(usage.residentMb),
    [`${role}CorePercent`]: roundToPrecision(usage.corePercent),
    [`${role}ReceivedKbPerSecond`]: roundToPrecision(usage.receivedKbPerSecond)
  }
}

async function addWorkersToVmList (cell: Cell, from: number, to: number): Promise<void> {
  const machines = Array.from({ length: to - from }, (_, index) => buildListedWorker(from + index))
  for (let start = 0; start < machines.length; start += MACHINES_PER_CALL) {
    await callControl(cell.platformUrl, 'machines', { machines: machines.slice(start, start + MACHINES_PER_CALL) })
  }
}

function buildListedWorker (index: number) {
  const failureDomain = `remote-${index % DOMAINS}`
  return {
    id: `${failureDomain}-worker-${index}`,
    kind: 'worker',
    failureDomain,
    rack: `${failureDomain}-rack-${index >> 7}`,
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:9000`,
    state: 'live',
    capacity: CAPACITY
  }
}
