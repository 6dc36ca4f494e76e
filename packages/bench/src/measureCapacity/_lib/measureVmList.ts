import { sleep } from '@gypsumspring/protocol'
import { callControl, type Cell } from '@gypsumspring/standins'
import { putManifest, round, withCell } from './cell.ts'
import { measureMean } from './readUsage.ts'

const SETTLE_MS = 4000
const MEASURED_MS = 6000
const DOMAINS = 16
/** Keeps each control call below the stand-in's limit of a body. */
const MACHINES_PER_CALL = 1000
const CAPACITY = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 1 }

/** An idle entry and an idle scheduler while the platform lists so many workers of other failure domains. */
export async function measureVmList (sizes: number[], report: (row: Record<string, number>) => void): Promise<void> {
  await withCell({ entryVms: 1, workers: 0 }, 1, async (cell) => {
    await putManifest(cell, cell.manifest, 0)
    const { entry, scheduler } = cell.vms[0]!
    let listed = 0
    for (const workers of sizes) {
      await listWorkers(cell, listed, workers)
      listed = workers
      await sleep(SETTLE_MS)
      const [scheduling, routing] = await Promise.all([scheduler, entry].map(async ({ pid }) =>
        await measureMean([pid], async () => await sleep(MEASURED_MS)))) as [Rate, Rate]
      report({ workers, ...describe('scheduler', scheduling), ...describe('entry', routing) })
    }
  })
}

type Rate = Awaited<ReturnType<typeof measureMean>>

function describe (role: string, rate: Rate): Record<string, number> {
  return {
    [`${role}Mb`]: round(rate.residentMb),
    [`${role}CorePercent`]: round(rate.corePercent),
    [`${role}ReceivedKbPerSecond`]: round(rate.receivedKbPerSecond)
  }
}

async function listWorkers (cell: Cell, from: number, to: number): Promise<void> {
  const machines = Array.from({ length: to - from }, (_, index) => describeWorker(from + index))
  for (let start = 0; start < machines.length; start += MACHINES_PER_CALL) {
    await callControl(cell.platformUrl, 'machines', { machines: machines.slice(start, start + MACHINES_PER_CALL) })
  }
}

function describeWorker (index: number) {
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
