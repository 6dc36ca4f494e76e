import { expect } from 'chai'
import { MemoryInventory, MemoryObjectStore, MemoryTable, MemoryWorker } from '@gypsumspring/standins'
import type { Platform } from '@gypsumspring/adapters'
import { CONFIGURATION_KEY, done, notDone, type ConfigurationIndex, type Manifest, type Member } from '@gypsumspring/protocol'
import { pino } from 'pino'
import { Metrics } from '../metrics/index.ts'
import type { Peers } from '../types.ts'
import { ConfigurationStore, ConfigurationTask, putManifest } from './index.ts'

const log = pino({ level: 'silent' })
const workerCapacity = { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 }

/** One process with its configuration parts; `peers` reaches the others by name. */
class Node {
  readonly store = new ConfigurationStore()
  readonly task: ConfigurationTask
  isCutOff = false

  constructor (readonly id: string, platform: Platform, readonly others: Map<string, Node>) {
    others.set(id, this)
    this.task = new ConfigurationTask({
      id,
      failureDomain: 'a',
      platform,
      members: { members: () => this.#members(), find: () => undefined },
      peers: { call: (address, method, params) => this.#call(address, method, params as never) } as Peers,
      store: this.store,
      metrics: new Metrics(),
      log,
      configPollMs: 5
    })
  }

  #members (): Member[] {
    return [...this.others.values()].filter((other) => other !== this && !other.isCutOff).map(({ id, store }) => ({
      id,
      role: 'entry',
      failureDomain: 'a',
      address: id,
      incarnation: '1',
      leaving: false,
      configVersion: store.version,
      ageMs: 0
    }))
  }

  async #call (address: string, method: string, params: never) {
    const peer = this.others.get(address)
    if (peer === undefined || peer.isCutOff) return notDone('unavailable', 'cut off')
    const result = method === 'config.fetch' ? peer.task.receiveFetch(params) : peer.task.receiveManifest(params)
    return done(result)
  }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2))
}

async function settle (): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 40))
}

describe('configuration', () => {
  let table: MemoryTable
  let objects: MemoryObjectStore
  let inventory: MemoryInventory
  let worker: MemoryWorker
  let platform: Platform
  let nodes: Map<string, Node>

  beforeEach(() => {
    table = new MemoryTable()
    objects = new MemoryObjectStore()
    inventory = new MemoryInventory()
    worker = new MemoryWorker('w', workerCapacity)
    inventory.put({ id: 'w', kind: 'worker', failureDomain: 'a', rack: 'r', address: '', state: 'live' })
    platform = {
      table, objects, inventory, workers: { connect: () => worker, close: async () => {} }, runners: undefined as never
    }
    nodes = new Map()
  })

  afterEach(() => {
    for (const { task } of nodes.values()) task.stop()
  })

  async function apply (version: number): Promise<void> {
    const manifest: Manifest = { scope: 'demo', teams: [{ id: `team-${version}`, quota: workerCapacity }] }
    const hash = (await putManifest(objects, manifest)).unsafeCoerce()
    const index: ConfigurationIndex = {
      version, scopes: { demo: { version, hash } }, operations: { drainedRunners: [], cancelledWorkloads: [] }
    }
    await table.transact({ checks: [], writes: [{ kind: 'put', key: CONFIGURATION_KEY, value: index }] })
  }

  function setStoreDown (down: boolean): void {
    table.faults.set({ down })
    objects.faults.set({ down })
  }

  it('puts a new version of the table in force, with its manifests', async () => {
    const node = new Node('n1', platform, nodes)
    node.task.start()
    await until(() => node.store.current !== undefined)
    await apply(1)
    await until(() => node.store.version === 1)
    expect(node.store.current?.manifests['demo']?.teams[0]?.id).to.equal('team-1')
  })

  it('never goes back when the table answers with an older version', async () => {
    await apply(5)
    const node = new Node('n1', platform, nodes)
    node.task.start()
    await until(() => node.store.version === 5)
    await apply(4)
    await settle()
    expect(node.store.version).to.equal(5)
  })

  it('fetches a newer version from a peer while the store is down', async () => {
    await apply(1)
    const [first, second] = [new Node('n1', platform, nodes), new Node('n2', platform, nodes)]
    for (const { task } of [first, second]) task.start()
    await until(() => first.store.version === 1 && second.store.version === 1)
    second.task.stop()
    await apply(2)
    await until(() => first.store.version === 2)
    setStoreDown(true)
    const late = new Node('n3', platform, nodes)
    late.task.start()
    late.task.hear(2, 'n1')
    await until(() => late.store.version === 2)
  })

  const coldStarts = [
    { name: 'no peer answers', peerVersions: [], label: '0', heard: undefined, expected: 0 },
    { name: 'the only peer is older than a worker label', peerVersions: [3], label: '4', heard: 'p3', expected: 0 },
    { name: 'another member is newer than the peer heard first', peerVersions: [3, 5], label: '0', heard: 'p3', expected: 0 },
    { name: 'the newest member answers', peerVersions: [3, 5], label: '4', heard: 'p5', expected: 5 }
  ]
  for (const { name, peerVersions, label, heard, expected } of coldStarts) {
    it(`serves version ${expected} when it starts without the store and ${name}`, async () => {
      for (const version of peerVersions) {
        await apply(version)
        const peer = new Node(`p${version}`, platform, nodes)
        peer.task.start()
        await until(() => peer.store.version === version)
        peer.task.stop()
      }
      await worker.openSession({ shard: 'a', epoch: 1, ttlMs: 1000, label })
      setStoreDown(true)
      const node = new Node('n0', platform, nodes)
      node.task.start()
      if (heard !== undefined) node.task.hear(peerVersions.find((version) => heard === `p${version}`) ?? 0, heard)
      if (expected > 0) await until(() => node.store.version === expected)
      else await settle()
      expect(node.store.version).to.equal(expected)
      expect(node.store.current === undefined).to.equal(expected === 0)
    })
  }

  it('waits for a damaged manifest to be replaced instead of applying the rest', async () => {
    await apply(1)
    const node = new Node('n1', platform, nodes)
    node.task.start()
    await until(() => node.store.version === 1)
    await table.transact({
      checks: [],
      writes: [{
        kind: 'put',
        key: CONFIGURATION_KEY,
        value: {
          version: 2,
          scopes: { demo: { version: 2, hash: 'absent' } },
          operations: { drainedRunners: [], cancelledWorkloads: [] }
        }
      }]
    })
    await settle()
    expect(node.store.version).to.equal(1)
  })
})
