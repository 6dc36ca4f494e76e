import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { sleep, type Manifest, type Workload } from '@gypsumspring/protocol'
import { callControl, startCell, type Cell } from '@gypsumspring/standins'

/** Options of the started cell except its manifest, which `withCell` writes. */
export type CellOptions = Omit<Parameters<typeof startCell>[0], 'manifestFile'>

/** Scope of the manifests that the capacity benchmark applies. */
export const SCOPE = 'capacity'

/** Cells are measured with one failure domain, since each domain adds two readers of the configuration row. */
const FAILURE_DOMAIN = 'domain-a'

/**
 * Builds a manifest with one team and one endpoint.
 *
 * @param runners - Number of runners of the endpoint.
 * @param workloads - Workloads of the manifest. Default: none.
 * @param revision - Another revision makes the manifest differ, so that applying it is a change. Default: 0.
 * @returns The manifest.
 *
 * @example
 * buildManifest(30)
 */
export function buildManifest (runners: number, workloads: Workload[] = [], revision = 0): Manifest {
  return {
    scope: SCOPE,
    packingWeight: revision / 1000,
    teams: [{ id: 'team-a', quota: { cpuMillis: 1e9, memoryMb: 1e9, accelerators: 1e6 } }],
    endpoints: [{
      id: 'endpoint-a',
      slotsPerRunner: 8,
      connectionsPerRunner: 64,
      runners: Array.from({ length: runners }, (_, index) =>
        ({ id: `runner-${index}`, address: `127.0.0.1:${8000 + index}`, failureDomain: FAILURE_DOMAIN }))
    }],
    workloads
  }
}

/** Starts a cell with one failure domain, runs an action on it and stops its processes afterwards. */
export async function withCell<Value> (
  options: CellOptions, runners: number, action: (cell: Cell) => Promise<Value>
): Promise<Value> {
  const directory = await mkdtemp(path.join(tmpdir(), 'gypsumspring-capacity-'))
  try {
    const manifestFile = path.join(directory, 'manifest.json')
    await writeFile(manifestFile, JSON.stringify(buildManifest(runners)))
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

/** Applies a manifest through the operators' interface. Returns the configuration version that this created. */
export async function applyManifest (cell: Cell, manifest: Manifest, expectedVersion: number): Promise<number> {
  const url = `${cell.vms[0]?.operatorUrl}/v1/config/${SCOPE}?expect=${expectedVersion}`
  const response = await fetch(url, { method: 'PUT', body: JSON.stringify(manifest) })
  if (!response.ok) throw new Error(`manifest was rejected with status ${response.status}: ${await response.text()}`)
  return (await response.json() as { version: number }).version
}

/** Checks a condition every 100 ms until it holds. Throws an error with the description after the timeout. */
export async function waitUntil (
  description: string, condition: () => Promise<boolean> | boolean, timeoutMs: number
): Promise<void> {
  const deadline = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > deadline) throw new Error(`condition not met within ${timeoutMs} ms: ${description}`)
    await sleep(100)
  }
}

/** Reads how many writes, reads and lists of the store the platform has answered so far. */
export async function readStoreCallCounts (cell: Cell): Promise<{ writes: number, reads: number, lists: number }> {
  return (await callControl(cell.platformUrl, 'state')).counts
}

/** Rounds to a number of significant digits. */
export function roundToPrecision (value: number, digits = 3): number {
  return Number(value.toPrecision(digits))
}
