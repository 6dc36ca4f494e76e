#!/usr/bin/env node
/** Starts a cell for each example deployment, runs its jobs, sends requests, prints the results and stops the cell. */
import type { ShardStatus, TaskStatus, Workload } from '@gypsumspring/protocol'
import { callControl } from './callControl/index.ts'
import { runJobs } from './runJobs/index.ts'
import { startCell, type Cell, type CommandOutput } from './startCell/index.ts'

interface Deployment {
  name: string
  endpoint: string
  team: string
  /** Path of a quick look-up, which can be repeated. */
  lookUpPath: string
  /** Path of a request that must not run twice. */
  nonRepeatablePath: string
  cpuMillis: number
  memoryMb: number
}

const DEPLOYMENTS: Deployment[] = [
  {
    name: 'arquivo',
    endpoint: 'origem',
    team: 'balcao',
    lookUpPath: 'surnames/',
    nonRepeatablePath: 'lineage-reports',
    cpuMillis: 16_000,
    memoryMb: 32_768
  },
  {
    name: 'daugava-lauks',
    endpoint: 'fixtures-api',
    team: 'clubs',
    lookUpPath: 'kick-off/',
    nonRepeatablePath: 'pitch-bookings',
    cpuMillis: 32_000,
    memoryMb: 65_536
  }
]

const LOOK_UP_COUNT = 400
const NON_REPEATABLE_COUNT = 20
const JOB_TIMEOUT_MS = 60_000

for (const deployment of DEPLOYMENTS) await runDeployment(deployment)
print('== jobs: a cell of 3 nodes and 4 workers, all in this process')
for (const problem of await runJobs(print)) assert(false, problem)
// Exits explicitly because the killed node of the last cell still has active timers.
process.exit(0)

async function runDeployment (deployment: Deployment): Promise<void> {
  const { name, cpuMillis, memoryMb } = deployment
  print(`== ${name}: starting 8 entry VMs, 30 workers and 30 runners as separate processes`)
  const cell = await startCell({ manifestFile: `examples/${name}.yaml`, cpuMillis, memoryMb })
  try {
    printOutput('gypsumctl apply', await cell.applyManifest())
    await sendLookUps(cell, deployment)
    await sendNonRepeatableRequests(cell, deployment)
    await waitForJobs(cell)
    printOutput('gypsumctl status', await cell.runCommand(['status']))
    await checkInvariants(cell)
  } finally {
    await cell.stop()
  }
}

async function sendLookUps (cell: Cell, { endpoint, team, lookUpPath }: Deployment): Promise<void> {
  const outcomes = await Promise.all(Array.from({ length: LOOK_UP_COUNT }, async (_value, index) =>
    await send(cell, index, `/e/${endpoint}/${lookUpPath}${index}`, {
      'x-request-id': `look-up-${index}`, 'gs-team': team, 'gs-class': 'interactive', 'gs-deadline-ms': '5000'
    })))
  print(`look-ups: ${describeCounts(outcomes.map(({ outcome }) => outcome))}`)
  assert(outcomes.every(({ outcome }) => outcome === 'answered'), 'a look-up was not answered')
}

async function sendNonRepeatableRequests (
  cell: Cell, { endpoint, team, nonRepeatablePath }: Deployment
): Promise<void> {
  const sendAll = async (offset: number) =>
    await Promise.all(Array.from({ length: NON_REPEATABLE_COUNT }, async (_value, index) =>
      await send(cell, index + offset, `/e/${endpoint}/${nonRepeatablePath}`, {
        'x-request-id': `once-${index}`, 'gs-team': team, 'gs-class': 'normal', 'gs-deadline-ms': '10000'
      }, 'POST')))
  const first = await sendAll(0)
  const repeated = await sendAll(1)
  print(`non-repeatable requests: ${describeCounts(first.map(({ outcome }) => outcome))}`)
  print(`the same requests sent again to other entries: ${describeCounts(repeated.map(({ outcome }) => outcome))}`)
  assert(first.every(({ outcome }) => outcome === 'answered'), 'a non-repeatable request was not answered')
  assert(repeated.every(({ body }, index) => body === first[index]?.body), 'a repeated request got a different response')
  const { repeated: runTwice } = await callControl(cell.endpointsUrl, 'requests')
  assert(!Object.keys(runTwice).some((id) => id.startsWith('once-')), 'a non-repeatable request ran twice')
}

async function waitForJobs (cell: Cell): Promise<void> {
  const startedAt = performance.now()
  for (;;) {
    const { stdout } = await cell.runCommand(['status', '--json'])
    const rows = stdout === '' ? [] : listTaskRows(stdout)
    const unfinished = (cell.manifest.workloads ?? []).filter((workload) => !isSettled(workload, rows))
    if (unfinished.length === 0) return
    const names = unfinished.map(({ id }) => id).join(', ')
    assert(performance.now() - startedAt < JOB_TIMEOUT_MS, `workloads did not settle: ${names}`)
    await new Promise((resolve) => setTimeout(resolve, 250))
  }
}

/** A service is settled when all its tasks run, a job when it has succeeded. Its shard then lists it as one row. */
function isSettled ({ id, kind, tasks }: Workload, rows: TaskStatus[]): boolean {
  const states = rows.filter(({ workload }) => workload === id).map(({ state }) => state)
  return kind === 'service'
    ? states.length === tasks && states.every((state) => state === 'running')
    : states.length > 0 && states.every((state) => state === 'succeeded')
}

function listTaskRows (json: string): TaskStatus[] {
  const { shards } = JSON.parse(json) as { shards: ShardStatus[] }
  return shards.flatMap(({ tasks }) => tasks)
}

async function checkInvariants (cell: Cell): Promise<void> {
  const runners = await callControl(cell.endpointsUrl, 'runners') as Array<{ records: { maxActive: number } }>
  const maxActive = Math.max(...runners.map(({ records }) => records.maxActive))
  print(`maximum of concurrent requests on one runner: ${maxActive} of 8 slots`)
  assert(maxActive <= 8, 'a runner got more concurrent requests than it has slots')
  for (const workers of cell.workers) {
    const records = await callControl(workers.ready['url'] as string, 'records') as { doubleRuns?: unknown[], overcommitments?: unknown[] }
    assert((records.doubleRuns ?? []).length === 0, 'a task ran twice at the same time')
    assert((records.overcommitments ?? []).length === 0, 'a worker got more tasks than its capacity allows')
  }
}

async function send (
  cell: Cell, index: number, path: string, headers: Record<string, string>, method = 'GET'
): Promise<{ outcome: string, body: string }> {
  const vm = cell.vms[index % cell.vms.length]
  const response = await fetch(`${vm?.callerUrl}${path}`, { method, headers })
  return { outcome: response.headers.get('gs-outcome') ?? `status ${response.status}`, body: await response.text() }
}

function describeCounts (values: string[]): string {
  const counts = new Map<string, number>()
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1)
  return [...counts].map(([value, count]) => `${count} ${value}`).join(', ')
}

function printOutput (command: string, { code, stdout, stderr }: CommandOutput): void {
  print(`$ ${command}\n${stdout}${stderr}`.trimEnd())
  assert(code === 0, `${command} exited with ${code}`)
}

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

/** Throws unless the condition holds, which ends the quickstart with exit code 1. */
function assert (condition: boolean, problem: string): void {
  if (!condition) throw new Error(problem)
}
