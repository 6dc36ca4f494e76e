/** Runs the entries of one cell in one process, with fakes of all external services. */
import type { RunnerClient, Table } from '@gypsumspring/adapters'
import {
  CONFIGURATION_KEY, done, notDone, type Configuration, type Manifest, type Member, type RpcHandlers
} from '@gypsumspring/protocol'
import { MemoryInventory, MemoryObjectStore } from '@gypsumspring/standins'
import { Lifecycle } from '../../lifecycle/index.ts'
import { createLogger } from '../../logging/index.ts'
import { Metrics } from '../../metrics/index.ts'
import { loadSettings } from '../../settings/index.ts'
import type { Peers, ProcessContext } from '../../types.ts'
import { addEntryComponents } from '../addEntryComponents.ts'
import { FaultyTable } from './index.ts'

const quota = { cpuMillis: 1000, memoryMb: 512, accelerators: 0 }

/** Creates a manifest with one endpoint that has two runners in each failure domain, and with one workload. */
export function makeManifest (domains: string[] = ['home'], changes: Partial<Manifest> = {}): Manifest {
  const runners = domains.flatMap((failureDomain, position) =>
    ['a', 'b'].map((name) => ({ id: `${name}-${failureDomain}`, address: `127.0.0.1:${position}${name === 'a' ? 1 : 2}`, failureDomain })))
  return {
    scope: 'demo',
    packingWeight: 0.5,
    teams: [{ id: 'demo', quota }],
    endpoints: [{ id: 'origem', slotsPerRunner: 4, connectionsPerRunner: 8, queueLimit: 200, runners }],
    workloads: [{ id: 'index', team: 'demo', kind: 'batch', tasks: 1, resources: quota, preemptible: false, retryLimit: 3 }],
    ...changes
  }
}

export function makeConfiguration (manifest: Manifest, version = 1): Configuration {
  return {
    index: {
      version,
      scopes: { [manifest.scope]: { version: 1, hash: `hash-${version}` } },
      operations: { drainedRunners: [], cancelledWorkloads: [] }
    },
    manifests: { [manifest.scope]: manifest }
  }
}

export interface RunningEntry {
  context: ProcessContext
  callers: string
  operators: string
  stop: () => Promise<void>
}

export class TestCell {
  readonly table = new FaultyTable()
  readonly objects = new MemoryObjectStore()
  readonly inventory = new MemoryInventory()
  /** Handlers by RPC address. Other addresses are unreachable. */
  readonly handlers = new Map<string, RpcHandlers>()
  readonly members = new Map<string, Member>()
  readonly listeners = new Set<(configuration: Configuration) => void>()
  configuration: Configuration | undefined

  constructor (configuration: Configuration | undefined = makeConfiguration(makeManifest())) {
    this.configuration = configuration
  }

  /** Writes the configuration to the table and the object store, as applying a manifest does. */
  async store (): Promise<void> {
    const { index, manifests } = this.configuration!
    for (const [scope, { hash }] of Object.entries(index.scopes)) {
      await this.objects.put(`config/${hash}`, Buffer.from(JSON.stringify(manifests[scope])))
    }
    await this.table.memory.transact({ checks: [], writes: [{ kind: 'put', key: CONFIGURATION_KEY, value: index }] })
  }

  change (configuration: Configuration): void {
    this.configuration = configuration
    for (const listener of this.listeners) listener(configuration)
  }

  join (member: Partial<Member> & { id: string }, handlers: RpcHandlers): void {
    const address = member.address ?? member.id
    this.handlers.set(address, handlers)
    this.members.set(member.id, {
      role: 'entry', failureDomain: 'home', incarnation: '1', leaving: false, configVersion: 1, ageMs: 0, ...member, address
    })
  }

  async start (id: string, runners: RunnerClient, failureDomain = 'home', table: Table = this.table): Promise<RunningEntry> {
    const { settings } = loadSettings({
      role: 'entry', id, failureDomain, platformUrl: 'http://127.0.0.1:1', slotReportMs: 5
    }, {}).unsafeCoerce()
    const handlers: RpcHandlers = {}
    const cell = this
    const context: ProcessContext = {
      settings: { ...settings, logLevel: 'error' },
      logger: createLogger({ id, logLevel: 'error' }),
      metrics: new Metrics(),
      lifecycle: new Lifecycle(),
      incarnation: `${id}-1`,
      platform: { table, objects: this.objects, inventory: this.inventory, runners, workers: undefined as never },
      configuration: {
        get current () { return cell.configuration },
        get version () { return cell.configuration?.index.version ?? 0 },
        subscribe: (listener) => {
          this.listeners.add(listener)
          if (this.configuration !== undefined) listener(this.configuration)
          return () => this.listeners.delete(listener)
        }
      },
      members: {
        members: () => [...this.members.values()].filter((member) => member.id !== id),
        find: (other) => this.members.get(other)
      },
      peers: this.peers,
      handlers,
      leaving: false,
      rpcAddress: id
    }
    this.join({ id, failureDomain }, handlers)
    const ports = addEntryComponents(context, { readyGraceMs: 50 })
    await context.lifecycle.start()
    return {
      context,
      callers: `http://127.0.0.1:${ports.callers}`,
      operators: `http://127.0.0.1:${ports.operators}`,
      stop: async () => await context.lifecycle.stop()
    }
  }

  readonly peers = {
    call: async (address: string, method: keyof RpcHandlers, params: never) => {
      const handler = this.handlers.get(address)?.[method]
      if (handler === undefined) return notDone('unavailable', `${address} can't be reached`)
      return done(structuredClone(await handler({ from: 'test', configVersion: 1, ...structuredClone(params) as object } as never)))
    }
  } as unknown as Peers
}
