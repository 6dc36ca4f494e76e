#!/usr/bin/env node
/** Starts a cell for each example deployment, runs its jobs and requests, prints what happened, and stops it again. */
import type { ShardStatus, TaskStatus, Workload } from '@gypsumspring/protocol'
import { callControl } from './callControl/index.ts'
import { runJobs } from './runJobs/index.ts'
import { startCell, type Cell, type CommandOutput } from './startCell/index.ts'

interface Deployment {
  name: string
  endpoint: string
  team: string
  /** A quick look-up of a person who waits. */
  lookUp: string
  /** A request that must not run twice. */
  once: string
  cpuMillis: number
  memoryMb: number
}

const DEPLOYMENTS: Deployment[] = [
  {
    name: 'arquivo',
    endpoint: 'origem',
    team: 'balcao',
    lookUp: 'surnames/',
    once: 'lineage-reports',
    cpuMillis: 16_000,
    memoryMb: 32_768
  },
  {
    name: 'daugava-lauks',
    endpoint: 'fixtures-api',
    team: 'clubs',
    lookUp: 'kick-off/',
    once: 'pitch-bookings',
    cpuMillis: 32_000,
    memoryMb: 65_536
  }
]

const LOOK_UPS = 400
const ONCE_REQUESTS = 20
const JOB_TIMEOUT_MS = 60_000

for (const deployment of DEPLOYMENTS) await runDeployment(deployment)
print('== jobs: a cell of 3 nodes and 4 workers in this process')
for (const problem of await runJobs(print)) check(false, problem)
// The killed node of the last cell still has timers.
process.exit(0)

async function runDeployment (deployment: Deployment): Promise<void> {
  const { name, cpuMillis, memoryMb } = deployment
  print(`== ${name}: starting 8 entry VMs, 30 workers and 30 runners as separate processes`)
  const cell = await startCell({ manifestFile: `examples/${name}.yaml`, cpuMillis, memoryMb })
  try {
    show('gypsumctl apply', await cell.applyManifest())
    await sendLookUps(cell, deployment)
    await sendOnceRequests(cell, deployment)
    await waitForJobs(cell)
    show('gypsumctl status', await cell.runCommand(['status']))
    await checkRecords(cell)
  } finally {
    await cell.stop()
  }
}

async function sendLookUps (cell: Cell, { endpoint, team, lookUp }: Deployment): Promise<void> {
  const outcomes = await Promise.all(Array.from({ length: LOOK_UPS }, async (_value, index) =>
    await send(cell, index, `/e/${endpoint}/${lookUp}${index}`, {
      'x-request-id': `look-up-${index}`, 'gs-team': team, 'gs-class': 'interactive', 'gs-deadline-ms': '5000'
    })))
  print(`look-ups: ${describeCounts(outcomes.map(({ outcome }) => outcome))}`)
  check(outcomes.every(({ outcome }) => outcome === 'answered'), 'a look-up was not answered')
}

async function sendOnceRequests (cell: Cell, { endpoint, team, once }: Deployment): Promise<void> {
  const sendAll = async (shift: number) =>
    await Promise.all(Array.from({ length: ONCE_REQUESTS }, async (_value, index) =>
      await send(cell, index + shift, `/e/${endpoint}/${once}`, {
        'x-request-id': `once-${index}`, 'gs-team': team, 'gs-class': 'normal', 'gs-deadline-ms': '10000'
      }, 'POST')))
  const first = await sendAll(0)
  const repeated = await sendAll(1)
  print(`not-repeatable requests: ${describeCounts(first.map(({ outcome }) => outcome))}`)
  print(`the same again at other entries: ${describeCounts(repeated.map(({ outcome }) => outcome))}`)
  check(first.every(({ outcome }) => outcome === 'answered'), 'a not-repeatable request was not answered')
  check(repeated.every(({ body }, index) => body === first[index]?.body), 'a repeat got another answer')
  const { repeated: runTwice } = await callControl(cell.endpointsUrl, 'requests')
  check(!Object.keys(runTwice).some((id) => id.startsWith('once-')), 'a not-repeatable request ran twice')
}

async function waitForJobs (cell: Cell): Promise<void> {
  const startedAt = performance.now()
  for (;;) {
    const { stdout } = await cell.runCommand(['status', '--json'])
    const rows = stdout === '' ? [] : listTaskRows(stdout)
    const unfinished = (cell.manifest.workloads ?? []).filter((workload) => !isSettled(workload, rows))
    if (unfinished.length === 0) return
    const names = unfinished.map(({ id }) => id).join(', ')
    check(performance.now() - startedAt < JOB_TIMEOUT_MS, `workloads did not settle: ${names}`)
    await new Promise((resolve) => setTimeout(resolve, 250))
  }
}

/** A service is settled when all its tasks run; a job when it has succeeded, which its shard shows as one row. */
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

async function checkRecords (cell: Cell): Promise<void> {
  const runners = await callControl(cell.endpointsUrl, 'runners') as Array<{ records: { maxActive: number } }>
  const mostInUse = Math.max(...runners.map(({ records }) => records.maxActive))
  print(`most requests at once on one runner: ${mostInUse} of 8 slots`)
  check(mostInUse <= 8, 'a runner was given more requests than it has slots')
  for (const workers of cell.workers) {
    const records = await callControl(workers.ready['url'] as string, 'records') as { doubleRuns?: unknown[], overcommitments?: unknown[] }
    check((records.doubleRuns ?? []).length === 0, 'a task ran in two places at once')
    check((records.overcommitments ?? []).length === 0, 'a worker was given more than it can hold')
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

function show (command: string, { code, stdout, stderr }: CommandOutput): void {
  print(`$ ${command}\n${stdout}${stderr}`.trimEnd())
  check(code === 0, `${command} exited with ${code}`)
}

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

/** Stops the quickstart with exit code 1 when something went wrong. */
function check (condition: boolean, problem: string): void {
  if (!condition) throw new Error(problem)
}
