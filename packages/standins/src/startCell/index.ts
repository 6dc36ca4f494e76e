import { execFile } from 'node:child_process'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { parseManifest, type Manifest } from '@gypsumspring/protocol'
import { callControl } from '../callControl/index.ts'
import { startProcess, type StartedProcess } from '../startProcess/index.ts'
import { listFailureDomains } from './_lib/listFailureDomains.ts'

const DAEMON = path.resolve('packages/daemon/dist/gypsumspringd.js')
const CLI = path.resolve('packages/cli/dist/gypsumctl.js')
const STANDINS_DIRECTORY = path.resolve('packages/standins/dist')

const ENTRY_RPC_PORT = 7101
const SCHEDULER_RPC_PORT = 7102
const CALLER_PORT = 8080
const OPERATOR_PORT = 7100
const SCHEDULER_OPERATOR_PORT = 7103

interface CellOptions {
  /** Path of the manifest. The addresses of its runners are replaced by those of the stand-in runners. */
  manifestFile: string
  /** Number of entry VMs, spread over the failure domains. Default: 8. */
  entryVms?: number
  /** Total number of workers, spread over the failure domains. Default: 30. */
  workers?: number
  /** CPU capacity of each worker. Default: 16,000 (16 cores). */
  cpuMillis?: number
  /** Memory capacity of each worker in MiB. Default: 32,768. */
  memoryMb?: number
  /** Service time of a runner per request, in ms. Default: 5. */
  serviceMs?: number
  /** Settings passed to all daemons, by flag name. Default: none. */
  settings?: Record<string, string | number>
  /**
   * Returns the URL at which the daemons of a failure domain reach the platform, for tests that partition the domain
   * from it. Default: the URL of the platform stand-in.
   */
  getPlatformUrl?: (failureDomain: string, platformUrl: string) => string | Promise<string>
}

/** An entry VM, simulated by two processes on a loopback address of their own. */
export interface EntryVm {
  id: string
  /** Loopback address. */
  host: string
  failureDomain: string
  entry: StartedProcess
  scheduler: StartedProcess
  callerUrl: string
  operatorUrl: string
}

/** Exit code and output of a `gypsumctl` command. */
export interface CommandOutput {
  /** Exit code; -1 if the command did not exit by itself. */
  code: number
  stdout: string
  stderr: string
}

/** A cell of separate processes on the platform stand-in: entry VMs, workers and runners. */
export class Cell {
  readonly vms: EntryVm[] = []
  readonly platform: StartedProcess
  readonly workers: StartedProcess[]
  readonly endpoints: StartedProcess
  readonly manifest: Manifest
  readonly #directory: string
  readonly #options: CellOptions
  readonly #network: string

  constructor (parts: {
    platform: StartedProcess,
    workers: StartedProcess[],
    endpoints: StartedProcess
    manifest: Manifest,
    directory: string,
    options: CellOptions,
    network: string
  }) {
    this.platform = parts.platform
    this.workers = parts.workers
    this.endpoints = parts.endpoints
    this.manifest = parts.manifest
    this.#directory = parts.directory
    this.#options = parts.options
    this.#network = parts.network
  }

  get platformUrl (): string {
    return this.platform.ready['url'] as string
  }

  get endpointsUrl (): string {
    return this.endpoints.ready['url'] as string
  }

  /** Adds an entry VM to the platform's inventory and starts its two daemons. */
  async startVm (index: number): Promise<EntryVm> {
    const domains = listFailureDomains(this.manifest)
    const failureDomain = domains[index % domains.length] as string
    const id = `vm-${index}`
    const host = `127.${this.#network}.${index + 1}`
    await callControl(this.platformUrl, 'machines', {
      machines: [{ id, kind: 'entry', failureDomain, rack: `${id}-rack`, address: `${host}:${ENTRY_RPC_PORT}`, state: 'live' }]
    })
    const [entry, scheduler] = await Promise.all([
      this.startEntry(index, host, failureDomain), this.startScheduler(index, host, failureDomain)
    ])
    const vm = {
      id,
      host,
      failureDomain,
      entry,
      scheduler,
      callerUrl: `http://${host}:${CALLER_PORT}`,
      operatorUrl: `http://${host}:${OPERATOR_PORT}`
    }
    this.vms[index] = vm
    return vm
  }

  /** Starts the entry process of a VM, or restarts it. */
  async startEntry (index: number, host: string, failureDomain: string): Promise<StartedProcess> {
    return await this.#startDaemon('entry', `entry-${index}`, host, failureDomain, [
      '--rpc-port', String(ENTRY_RPC_PORT),
      '--caller-port', String(CALLER_PORT),
      '--operator-port', String(OPERATOR_PORT)
    ])
  }

  /** Starts the scheduler process of a VM, or restarts it. */
  async startScheduler (index: number, host: string, failureDomain: string): Promise<StartedProcess> {
    return await this.#startDaemon('scheduler', `scheduler-${index}`, host, failureDomain, [
      '--rpc-port', String(SCHEDULER_RPC_PORT), '--operator-port', String(SCHEDULER_OPERATOR_PORT)
    ])
  }

  /** Runs `gypsumctl` against an entry VM. Default: the first whose entry process is running. */
  async runCommand (args: string[], vm: EntryVm | undefined = this.vms.find((candidate) => !candidate.entry.exited)):
  Promise<CommandOutput> {
    const server = vm?.operatorUrl ?? 'http://127.0.0.1:1'
    return await new Promise((resolve) => {
      execFile(process.execPath, [CLI, ...args, '--server', server], (error, stdout, stderr) => {
        const code = error === null ? 0 : typeof error.code === 'number' ? error.code : -1
        resolve({ code, stdout, stderr })
      })
    })
  }

  /** Applies the manifest, optionally after a change. */
  async applyManifest (change: (manifest: Manifest) => Manifest = (manifest) => manifest): Promise<CommandOutput> {
    const file = path.join(this.#directory, 'manifest.json')
    await writeFile(file, JSON.stringify(change(this.manifest)))
    return await this.runCommand(['apply', file])
  }

  /** Stops all processes. */
  async stop (): Promise<void> {
    const daemons = this.vms.flatMap(({ entry, scheduler }) => [entry, scheduler])
    await Promise.all(daemons.map((daemon) => daemon.kill()))
    await Promise.all([...this.workers, this.endpoints, this.platform].map((started) => started.kill()))
    await rm(this.#directory, { recursive: true, force: true })
  }

  async #startDaemon (
    role: string, id: string, host: string, failureDomain: string, ports: string[]
  ): Promise<StartedProcess> {
    const platformUrl = await this.#options.getPlatformUrl?.(failureDomain, this.platformUrl) ?? this.platformUrl
    const settings = Object.entries(this.#options.settings ?? {}).flatMap(([name, value]) => [`--${name}`, String(value)])
    return await startProcess(DAEMON, {
      args: [
        '--role', role, '--id', id, '--host', host, '--failure-domain', failureDomain, '--platform-url', platformUrl,
        ...ports, ...settings
      ]
    })
  }
}

let nextCellNumber = 1

/**
 * Returns the second and third octet of a loopback network for a cell, so that several cells can run concurrently. The
 * second octet depends on the process, the third on the cell: test processes have consecutive pids, and a process with
 * several cells must not use the network of the next process.
 */
function allocateNetwork (): string {
  return `${1 + process.pid % 250}.${nextCellNumber++}`
}

/**
 * Starts a cell of separate processes on loopback, with stand-ins for the platform, the workers and the runners.
 *
 * @param options - Manifest, sizes and settings.
 * @returns The cell. Its method `stop` ends all processes.
 * @throws Error when a process does not become ready. The processes started so far end when this process exits.
 *
 * @example
 * const cell = await startCell({ manifestFile: 'examples/arquivo.yaml' })
 */
export async function startCell (options: CellOptions): Promise<Cell> {
  const parsed = parseManifest(await readFile(options.manifestFile, 'utf8')).unsafeCoerce()
  const domains = listFailureDomains(parsed)
  const platform = await startProcess(path.join(STANDINS_DIRECTORY, 'platform.js'), { args: ['--port', '0'] })
  const platformUrl = platform.ready['url'] as string
  const runnerCount = (parsed.endpoints ?? []).reduce((sum, { runners }) => sum + runners.length, 0)
  const [endpoints, ...workers] = await Promise.all([
    startProcess(path.join(STANDINS_DIRECTORY, 'endpoints.js'), {
      args: ['--port', '0', '--count', String(runnerCount), '--service-ms', String(options.serviceMs ?? 5)]
    }),
    ...domains.map((domain) => startProcess(path.join(STANDINS_DIRECTORY, 'workers.js'), {
      args: [
        '--port', '0',
        '--platform-url', platformUrl,
        '--count', String(Math.ceil((options.workers ?? 30) / domains.length)),
        '--id-prefix', `${domain}-worker-`,
        '--failure-domain', domain,
        '--cpu-millis', String(options.cpuMillis ?? 16_000),
        '--memory-mb', String(options.memoryMb ?? 32_768),
        '--accelerators', '1'
      ]
    }))
  ])
  const cell = new Cell({
    platform,
    workers,
    endpoints,
    manifest: replaceRunnerAddresses(parsed, endpoints.ready['runners'] as Array<{ address: string }>),
    directory: await mkdtemp(path.join(tmpdir(), 'gypsumspring-')),
    options,
    network: allocateNetwork()
  })
  const count = options.entryVms ?? 8
  await Promise.all(Array.from({ length: count }, (_value, index) => cell.startVm(index)))
  return cell
}

function replaceRunnerAddresses (manifest: Manifest, runners: Array<{ address: string }>): Manifest {
  let next = 0
  const endpoints = (manifest.endpoints ?? []).map((endpoint) => ({
    ...endpoint,
    runners: endpoint.runners.map((runner) => ({ ...runner, address: runners[next++]?.address ?? runner.address }))
  }))
  return { ...manifest, endpoints }
}
