import { execFile } from 'node:child_process'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { parseManifest, type Manifest } from '@gypsumspring/protocol'
import { callControl } from '../callControl/index.ts'
import { startProcess, type StartedProcess } from '../startProcess/index.ts'
import { listFailureDomains } from './_lib/listFailureDomains.ts'

const DAEMON = path.resolve('packages/daemon/dist/gypsumspringd.js')
const COMMAND_LINE = path.resolve('packages/cli/dist/gypsumctl.js')
const STANDINS = path.resolve('packages/standins/dist')

const ENTRY_RPC_PORT = 7101
const SCHEDULER_RPC_PORT = 7102
const CALLER_PORT = 8080
const OPERATOR_PORT = 7100
const SCHEDULER_OPERATOR_PORT = 7103

interface CellOptions {
  /** Path of the manifest; the addresses of its runners are replaced by those of the stand-ins. */
  manifestFile: string
  /** Entry VMs; spread over the failure domains. Default: 8. */
  entryVms?: number
  /** Workers in all; spread over the failure domains. Default: 30. */
  workers?: number
  cpuMillis?: number
  memoryMb?: number
  /** Time of work of a runner on one request, in ms. Default: 5. */
  serviceMs?: number
  /** Settings of all daemons by flag name. Default: none. */
  settings?: Record<string, string | number>
  /** URL under which a failure domain's daemons reach the platform, for tests that cut it off. Default: its own. */
  platformUrlFor?: (failureDomain: string, platformUrl: string) => string | Promise<string>
}

export interface EntryVm {
  id: string
  /** Loopback address of this VM. */
  host: string
  failureDomain: string
  entry: StartedProcess
  scheduler: StartedProcess
  callerUrl: string
  operatorUrl: string
}

export interface CommandOutput {
  code: number
  stdout: string
  stderr: string
}

/** A cell of separate processes on the stand-in platform: entry VMs, workers and runners. */
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

  /** Starts the two daemons of one entry VM and adds the VM to the platform's list. */
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

  /** Starts the entry process of a VM; also used to start it again. */
  async startEntry (index: number, host: string, failureDomain: string): Promise<StartedProcess> {
    return await this.#startDaemon('entry', `entry-${index}`, host, failureDomain, [
      '--rpc-port', String(ENTRY_RPC_PORT),
      '--caller-port', String(CALLER_PORT),
      '--operator-port', String(OPERATOR_PORT)
    ])
  }

  /** Starts the scheduler process of a VM; also used to start it again. */
  async startScheduler (index: number, host: string, failureDomain: string): Promise<StartedProcess> {
    return await this.#startDaemon('scheduler', `scheduler-${index}`, host, failureDomain, [
      '--rpc-port', String(SCHEDULER_RPC_PORT), '--operator-port', String(SCHEDULER_OPERATOR_PORT)
    ])
  }

  /** Runs the operators' command line against an entry. */
  async runCommand (args: string[], vm: EntryVm | undefined = this.vms.find((candidate) => !candidate.entry.exited)):
  Promise<CommandOutput> {
    const server = vm?.operatorUrl ?? 'http://127.0.0.1:1'
    return await new Promise((resolve) => {
      execFile(process.execPath, [COMMAND_LINE, ...args, '--server', server], (error, stdout, stderr) => {
        const code = error === null ? 0 : typeof error.code === 'number' ? error.code : -1
        resolve({ code, stdout, stderr })
      })
    })
  }

  /** Writes the manifest, changed if asked, and applies it. */
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
    const platformUrl = await this.#options.platformUrlFor?.(failureDomain, this.platformUrl) ?? this.platformUrl
    const settings = Object.entries(this.#options.settings ?? {}).flatMap(([name, value]) => [`--${name}`, String(value)])
    return await startProcess(DAEMON, {
      args: [
        '--role', role, '--id', id, '--host', host, '--failure-domain', failureDomain, '--platform-url', platformUrl,
        ...ports, ...settings
      ]
    })
  }
}

/**
 * Cells have networks of their own, so that several can run side by side. The second octet is of the process, the third
 * of the cell: test processes have pids that follow each other, and must not come to the network of the next one.
 */
let nextCell = 1

function chooseNetwork (): string {
  return `${1 + process.pid % 250}.${nextCell++}`
}

/**
 * Starts a cell of separate processes on loopback.
 *
 * @param options - Manifest and sizes.
 * @returns The cell; `stop` ends all its processes.
 * @throws Error when a process does not become ready; those started are ended with this process.
 *
 * @example
 * const cell = await startCell({ manifestFile: 'examples/arquivo.yaml' })
 */
export async function startCell (options: CellOptions): Promise<Cell> {
  const parsed = parseManifest(await readFile(options.manifestFile, 'utf8')).unsafeCoerce()
  const domains = listFailureDomains(parsed)
  const platform = await startProcess(path.join(STANDINS, 'platform.js'), { args: ['--port', '0'] })
  const platformUrl = platform.ready['url'] as string
  const runnerCount = (parsed.endpoints ?? []).reduce((sum, { runners }) => sum + runners.length, 0)
  const [endpoints, ...workers] = await Promise.all([
    startProcess(path.join(STANDINS, 'endpoints.js'), {
      args: ['--port', '0', '--count', String(runnerCount), '--service-ms', String(options.serviceMs ?? 5)]
    }),
    ...domains.map((domain) => startProcess(path.join(STANDINS, 'workers.js'), {
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
    manifest: replaceAddresses(parsed, endpoints.ready['runners'] as Array<{ address: string }>),
    directory: await mkdtemp(path.join(tmpdir(), 'gypsumspring-')),
    options,
    network: chooseNetwork()
  })
  const count = options.entryVms ?? 8
  await Promise.all(Array.from({ length: count }, (_value, index) => cell.startVm(index)))
  return cell
}

function replaceAddresses (manifest: Manifest, runners: Array<{ address: string }>): Manifest {
  let next = 0
  const endpoints = (manifest.endpoints ?? []).map((endpoint) => ({
    ...endpoint,
    runners: endpoint.runners.map((runner) => ({ ...runner, address: runners[next++]?.address ?? runner.address }))
  }))
  return { ...manifest, endpoints }
}
