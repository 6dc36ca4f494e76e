import { expect } from 'chai'
import { MemoryInventory, MemoryObjectStore, MemoryTable, MemoryWorker } from '@gypsumspring/standins'
import type { Platform } from '@gypsumspring/adapters'
import { CONFIGURATION_KEY, done, notDone, type ConfigurationIndex, type Manifest, type Member } from '@gypsumspring/protocol'
import { pino } from 'pino'
import { Metrics } from '../metrics/index.ts'
import type { Peers } from '../types.ts'
import { ConfigurationStore, ConfigurationUpdater, putManifest } from './index.ts'

const log = pino({ level: 'silent' })
const workerCapacity = { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 }

/** A process with its own configuration store and updater. Its peers are addressed by process id. */
class TestProcess {
  readonly store = new ConfigurationStore()
  readonly updater: ConfigurationUpdater
  isUnreachable = false

  constructor (readonly id: string, platform: Platform, readonly processes: Map<string, TestProcess>) {
    processes.set(id, this)
    this.updater = new ConfigurationUpdater({
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
    const others = [...this.processes.values()].filter((other) => other !== this && !other.isUnreachable)
    return others.map(({ id, store }) => ({
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
    const peer = this.processes.get(address)
    if (peer === undefined || peer.isUnreachable) return notDone('unavailable', 'peer is unreachable')
    const result = method === 'config.fetch' ? peer.updater.receiveFetch(params) : peer.updater.receiveManifest(params)
    return done(result)
  }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2))
}

async function waitForPolls (): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 40))
}

describe('configuration', () => {
  let table: MemoryTable
  let objects: MemoryObjectStore
  let inventory: MemoryInventory
  let worker: MemoryWorker
  let platform: Platform
  let processes: Map<string, TestProcess>

  beforeEach(() => {
    table = new MemoryTable()
    objects = new MemoryObjectStore()
    inventory = new MemoryInventory()
    worker = new MemoryWorker('w', workerCapacity)
    inventory.put({ id: 'w', kind: 'worker', failureDomain: 'a', rack: 'r', address: '', state: 'live' })
    platform = {
      table, objects, inventory, workers: { connect: () => worker, close: async () => {} }, runners: undefined as never
    }
    processes = new Map()
  })

  afterEach(() => {
    for (const { updater } of processes.values()) updater.stop()
  })

  async function applyVersion (version: number): Promise<void> {
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

  it('puts a new version from the table in force, with its manifests', async () => {
    const testProcess = new TestProcess('n1', platform, processes)
    testProcess.updater.start()
    await waitUntil(() => testProcess.store.current !== undefined)
    await applyVersion(1)
    await waitUntil(() => testProcess.store.version === 1)
    expect(testProcess.store.current?.manifests['demo']?.teams[0]?.id).to.equal('team-1')
  })

  it('keeps its version when the table returns an older one', async () => {
    await applyVersion(5)
    const testProcess = new TestProcess('n1', platform, processes)
    testProcess.updater.start()
    await waitUntil(() => testProcess.store.version === 5)
    await applyVersion(4)
    await waitForPolls()
    expect(testProcess.store.version).to.equal(5)
  })

  it('fetches a newer version from a peer while the store is down', async () => {
    await applyVersion(1)
    const [first, second] = [new TestProcess('n1', platform, processes), new TestProcess('n2', platform, processes)]
    for (const { updater } of [first, second]) updater.start()
    await waitUntil(() => first.store.version === 1 && second.store.version === 1)
    second.updater.stop()
    await applyVersion(2)
    await waitUntil(() => first.store.version === 2)
    setStoreDown(true)
    const late = new TestProcess('n3', platform, processes)
    late.updater.start()
    late.updater.handlePeerVersion(2, 'n1')
    await waitUntil(() => late.store.version === 2)
  })

  const coldStarts = [
    { name: 'no peer responds', peerVersions: [], label: '0', announcer: undefined, expected: 0 },
    { name: 'the only peer is older than a worker label', peerVersions: [3], label: '4', announcer: 'p3', expected: 0 },
    { name: 'another member is newer than the peer that announced its version', peerVersions: [3, 5], label: '0', announcer: 'p3', expected: 0 },
    { name: 'the newest member responds', peerVersions: [3, 5], label: '4', announcer: 'p5', expected: 5 }
  ]
  for (const { name, peerVersions, label, announcer, expected } of coldStarts) {
    const outcome = expected === 0 ? 'no configuration' : `version ${expected}`
    it(`puts ${outcome} in force when it starts without the store and ${name}`, async () => {
      for (const version of peerVersions) {
        await applyVersion(version)
        const peer = new TestProcess(`p${version}`, platform, processes)
        peer.updater.start()
        await waitUntil(() => peer.store.version === version)
        peer.updater.stop()
      }
      await worker.openSession({ shard: 'a', epoch: 1, ttlMs: 1000, label })
      setStoreDown(true)
      const testProcess = new TestProcess('n0', platform, processes)
      testProcess.updater.start()
      const announcedVersion = peerVersions.find((version) => announcer === `p${version}`) ?? 0
      if (announcer !== undefined) testProcess.updater.handlePeerVersion(announcedVersion, announcer)
      if (expected > 0) await waitUntil(() => testProcess.store.version === expected)
      else await waitForPolls()
      expect(testProcess.store.version).to.equal(expected)
      expect(testProcess.store.current === undefined).to.equal(expected === 0)
    })
  }

  it('keeps the previous version in force while a manifest of the next one is missing', async () => {
    await applyVersion(1)
    const testProcess = new TestProcess('n1', platform, processes)
    testProcess.updater.start()
    await waitUntil(() => testProcess.store.version === 1)
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
    await waitForPolls()
    expect(testProcess.store.version).to.equal(1)
  })
})
