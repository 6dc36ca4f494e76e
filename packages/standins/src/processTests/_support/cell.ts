import type { ShardStatus, Workload } from '@gypsumspring/protocol'
import { expect } from 'chai'
import { callControl } from '../../callControl/index.ts'
import { startCell, type Cell, type EntryVm } from '../../startCell/index.ts'

/** Leases short enough to expire within a test. Their order by length is that of the default settings. */
export const SHORT_LEASE_SETTINGS = {
  'shard-lease-ms': 1500,
  'session-ttl-ms': 1500,
  'task-lease-ms': 3000,
  'heartbeat-ms': 400,
  'run-horizon-ms': 20_000,
  'member-timeout-ms': 3000,
  'exchange-ms': 200,
  'config-poll-ms': 200,
  'inventory-ms': 500
}

/** Starts a cell of six entry VMs with short leases and applies the example manifest of the Arquivo deployment. */
export async function startTestCell (options: Partial<Parameters<typeof startCell>[0]> = {}): Promise<Cell> {
  const cell = await startCell({
    manifestFile: 'examples/arquivo.yaml', entryVms: 6, workers: 30, settings: SHORT_LEASE_SETTINGS, ...options
  })
  const { code, stderr } = await cell.applyManifest()
  expect(code, stderr).to.equal(0)
  return cell
}

/** Polls until a condition holds. Throws an error with the description after the time limit. */
export async function waitFor (
  description: string, condition: () => Promise<boolean> | boolean, timeoutMs = 30_000
): Promise<void> {
  const deadline = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > deadline) throw new Error(`condition not met in ${timeoutMs} ms: ${description}`)
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
}

/** Reads the status of all shards as `gypsumctl status` reports it; empty if the command prints nothing. */
export async function readShards (cell: Cell, vm?: EntryVm): Promise<ShardStatus[]> {
  const { stdout } = await cell.runCommand(['status', '--json'], vm)
  return stdout === '' ? [] : (JSON.parse(stdout) as { shards: ShardStatus[] }).shards
}

/** Waits until all tasks of every service run and every job has succeeded. */
export async function waitUntilSettled (cell: Cell, workloads: Workload[], timeoutMs = 45_000): Promise<void> {
  await waitFor(`workloads ${workloads.map(({ id }) => id).join(', ')} are settled`, async () => {
    const rows = (await readShards(cell)).flatMap(({ tasks }) => tasks)
    return workloads.every(({ id, kind, tasks }) => {
      const states = rows.filter(({ workload }) => workload === id).map(({ state }) => state)
      return kind === 'service'
        ? states.filter((state) => state === 'running').length === tasks
        : states.length > 0 && states.every((state) => state === 'succeeded')
    })
  }, timeoutMs)
}

/**
 * Fails if a task ever ran twice at the same time, a worker was overcommitted or a runner had more requests than slots.
 * `P1` to `P8` in test titles and failure messages are the guarantees of docs/design.md.
 */
export async function checkInvariants (cell: Cell): Promise<void> {
  for (const workers of cell.workers) {
    const records = await callControl(workers.ready['url'] as string, 'records')
    expect(records.doubleRuns, 'P2: a task ran twice at the same time').to.deep.equal([])
    expect(records.overcommitments, 'P1: a worker was overcommitted').to.deep.equal([])
  }
  const runners = await callControl(cell.endpointsUrl, 'runners') as Array<{ id: string, records: { maxActive: number } }>
  for (const { id, records } of runners) expect(records.maxActive, `slots of ${id}`).to.be.at.most(8)
}
