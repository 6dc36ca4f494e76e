import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { sleep, type Manifest, type Workload } from '@gypsumspring/protocol'
import { callControl, startCell, type Cell } from '@gypsumspring/standins'

export type CellOptions = Omit<Parameters<typeof startCell>[0], 'manifestFile'>

export const SCOPE = 'capacity'

/** The only domain of the cells measured; more domains add readers of the configuration row, two to each. */
const DOMAIN = 'domain-a'

/** Makes a manifest with an endpoint of so many runners and the workloads given; `revision` makes it a change. */
export function makeManifest (runners: number, workloads: Workload[] = [], revision = 0): Manifest {
  return {
    scope: SCOPE,
    packingWeight: revision / 1000,
    teams: [{ id: 'team-a', quota: { cpuMillis: 1e9, memoryMb: 1e9, accelerators: 1e6 } }],
    endpoints: [{
      id: 'endpoint-a',
      slotsPerRunner: 8,
      connectionsPerRunner: 64,
      runners: Array.from({ length: runners }, (_, index) =>
        ({ id: `runner-${index}`, address: `127.0.0.1:${8000 + index}`, failureDomain: DOMAIN }))
    }],
    workloads
  }
}

/** Runs an action on a cell of one failure domain and ends its processes afterwards. */
export async function withCell<Value> (
  options: CellOptions, runners: number, action: (cell: Cell) => Promise<Value>
): Promise<Value> {
  const directory = await mkdtemp(path.join(tmpdir(), 'gypsumspring-capacity-'))
  try {
    const manifestFile = path.join(directory, 'manifest.json')
    await writeFile(manifestFile, JSON.stringify(makeManifest(runners)))
    const cell = await startCell({ ...options, manifestFile })
    try {
      return await action(cell)
    } finally {
      await cell.stop()
    }
  } finally {
    await rm(directory, { recursive: true, force: true })
  }
}

/** Puts a manifest through the operators' interface. Returns the version that it made. */
export async function putManifest (cell: Cell, manifest: Manifest, expected: number): Promise<number> {
  const url = `${cell.vms[0]?.operatorUrl}/v1/config/${SCOPE}?expect=${expected}`
  const response = await fetch(url, { method: 'PUT', body: JSON.stringify(manifest) })
  if (!response.ok) throw new Error(`manifest not accepted: ${response.status} ${await response.text()}`)
  return (await response.json() as { version: number }).version
}

export async function waitUntil (
  description: string, condition: () => Promise<boolean> | boolean, timeoutMs: number
): Promise<void> {
  const deadline = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > deadline) throw new Error(`not reached in ${timeoutMs} ms: ${description}`)
    await sleep(100)
  }
}

/** Writes, reads and lists that the platform has answered so far. */
export async function readStoreCounts (cell: Cell): Promise<{ writes: number, reads: number, lists: number }> {
  return (await callControl(cell.platformUrl, 'state')).counts
}

export function round (value: number, digits = 3): number {
  return Number(value.toPrecision(digits))
}
