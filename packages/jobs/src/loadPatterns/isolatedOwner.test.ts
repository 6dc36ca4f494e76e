import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import type { MemoryCell } from '../standins/index.ts'
import { describeCells } from './describeCells.ts'
import { TASK, startLongRunningTask } from './longRunningJob.ts'
import { delayRecovery, findOwner, handOver, putControlRow, waitForOwner } from './owners.ts'

/** Isolates nodes together with a worker: neither reaches any other worker or node. */
function isolate (cell: MemoryCell, nodes: Iterable<string>, worker: string): void {
  for (const node of nodes) cell.isolatedNodes.add(node)
  cell.reachesWorker = (node, id) => cell.isolatedNodes.has(node) === (id === worker)
}

/** Isolates the owner with some followers and the worker of the only task, on which it goes on renewing the lease. */
async function isolateOwner (cell: MemoryCell, clock: Clock, followers = 0): Promise<void> {
  const worker = (await startLongRunningTask(cell, clock, 1_000)).entry.id
  const { name } = cell.owner!
  const others = [...cell.nodes.keys()].filter((node) => node !== name)
  isolate(cell, [name, ...others.slice(0, followers)], worker)
  await clock.tickAsync(1_500)
}

/** The next owner took the end of its predecessor for the end of all leases of owners before it. */
const changes: Array<{ name: string, change: (cell: MemoryCell, clock: Clock) => Promise<void> }> = [
  { name: 'no further change of the owner', change: async () => {} },
  {
    name: 'a handover by the second owner',
    change: async (cell, clock) => {
      await handOver(cell, clock, findOwner(cell)!)
    }
  },
  {
    name: 'a restart of the second owner',
    change: async (cell, clock) => {
      const { name } = findOwner(cell)!
      cell.killNode(name)
      await clock.tickAsync(100)
      cell.startNode(name)
    }
  },
  {
    name: 'an end of the second owner right after its takeover',
    change: async (cell) => { cell.killNode(findOwner(cell)!.name) }
  }
]

/** Isolates all nodes of the cell with a worker, so that they go on together, and starts nodes that they don't know. */
async function isolateCell (cell: MemoryCell, clock: Clock): Promise<void> {
  const worker = (await startLongRunningTask(cell, clock, 1_000)).entry.id
  isolate(cell, cell.nodes.keys(), worker)
  cell.startNode('n8')
  cell.startNode('n9')
  await clock.tickAsync(3_500)
}

describeCells('An isolated owner with its followers', changes.map(({ name, change }) => ({
  // It renews leases for 8 s, with the promises of all its followers.
  name: `runs no task twice after ${name}`,
  options: { nodes: 2 },
  run: async (cell: MemoryCell, clock: Clock) => {
    await isolateCell(cell, clock)
    expect(findOwner(cell)).to.not.equal(undefined)
    await change(cell, clock)
    await clock.tickAsync(25_000)
    expect(cell.checker.countRunning(TASK)).to.equal(1)
    expect(cell.checker.starts).to.equal(2)
  }
})))

describeCells('An isolated owner without stored followers', [0, 2].map((followers) => ({
  // The next owner allows it 0.5 s for renewals, whether or not nodes that it has not stored follow it.
  name: `renews no leases during an outage, with ${followers} followers`,
  options: { nodes: 1 },
  run: async (cell: MemoryCell, clock: Clock) => {
    const worker = (await startLongRunningTask(cell, clock, 1_000)).entry.id
    const { name, store } = cell.owner!
    store.fault = (call) => call === 'commit' ? 'silent' : undefined
    for (let follower = 0; follower < followers; follower++) cell.startNode(`f${follower}`, [name])
    await clock.tickAsync(400)
    isolate(cell, cell.nodes.keys(), worker)
    cell.startNode('n9')
    await clock.tickAsync(20_000)
    expect(cell.checker.countRunning(TASK)).to.equal(1)
    expect(cell.checker.starts).to.equal(2)
  }
})))

describeCells('An isolated owner with its follower', [
  {
    // The next owner is that follower, which has promised the isolated owner not to take over.
    name: 'runs no task twice when the cell is handed over to the follower before its promise has ended',
    options: { nodes: 2 },
    run: async (cell, clock) => {
      const worker = (await startLongRunningTask(cell, clock, 1_000)).entry.id
      const follower = [...cell.nodes.values()].find((node) => node !== cell.owner)!
      isolate(cell, cell.nodes.keys(), worker)
      const unknown = cell.startNode('n9')
      const endDelay = delayRecovery(cell, 60_000)
      expect((await waitForOwner(cell, clock)).name).to.equal('n9')
      await clock.tickAsync(700)
      cell.isolatedNodes.delete(follower.name)
      await clock.tickAsync(800)
      endDelay()
      const handover = unknown.cellNode.resign()
      await clock.tickAsync(300)
      await handover
      expect((await waitForOwner(cell, clock)).name).to.equal(follower.name)
      await clock.tickAsync(8_000)
      expect(cell.checker.violations).to.deep.equal([])
      expect(cell.checker.starts).to.equal(2)
    }
  },
  {
    // The restarted owner must not take the end of its former process for the end of the isolated owner.
    name: 'runs no task twice after a restart of the second owner before it has recovered the cell',
    options: { nodes: 2 },
    run: async (cell, clock) => {
      const worker = (await startLongRunningTask(cell, clock, 1_000)).entry.id
      isolate(cell, cell.nodes.keys(), worker)
      cell.startNode('n9')
      delayRecovery(cell, 60_000)
      await waitForOwner(cell, clock)
      cell.killNode('n9')
      cell.startNode('n9')
      await clock.tickAsync(25_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(2)
    }
  }
])

describeCells('An owner that can not store the end of earlier leases', [
  {
    // A later owner would not count leases that it had granted.
    name: 'grants no leases',
    options: { nodes: 4 },
    run: async (cell, clock) => {
      const worker = (await startLongRunningTask(cell, clock)).entry.id
      const { name } = cell.owner!
      cell.killNode(name)
      const { store } = cell.startNode(name)
      delayRecovery(cell, 2_500)
      expect((await waitForOwner(cell, clock)).name).to.equal(name)
      await clock.tickAsync(3_200)
      store.fault = (call) => call === 'commit' ? 'silent' : undefined
      await clock.tickAsync(150)
      isolate(cell, [name], worker)
      await clock.tickAsync(15_000)
      expect(cell.checker.violations).to.deep.equal([])
      expect(cell.checker.starts).to.equal(2)
    }
  },
  {
    // It never granted any, so that all tasks ended.
    name: 'grants leases if the store does not tell its time',
    options: { nodes: 3 },
    run: async (cell, clock) => {
      await startLongRunningTask(cell, clock)
      Object.defineProperty(cell.rows, 'nowMs', { get: () => undefined })
      cell.killNode(cell.owner!.name)
      await clock.tickAsync(12_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(1)
    }
  }
])

/** Outages soon after a takeover, with followers that are killed together with the former owner. */
const outages = [{ killed: 0, afterMs: 1_000 }, { killed: 1, afterMs: 1_000 }, { killed: 1, afterMs: 2_500 }]

describeCells('A worker that is recorded as lost', [
  {
    name: 'keeps its run until the recorded end of its leases, also under the next owner',
    options: { nodes: 3 },
    run: async (cell, clock) => {
      const worker = (await startLongRunningTask(cell, clock)).entry.id
      cell.reachesWorker = (_node, id) => id !== worker
      await clock.tickAsync(3_500)
      cell.killNode(cell.owner!.name)
      await clock.tickAsync(8_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(2)
    }
  },
  {
    // An owner of a version without such records may have renewed the leases meanwhile.
    name: 'is not taken for lost if the last owner did not know of such records',
    options: { nodes: 3 },
    run: async (cell, clock) => {
      const { entry } = await startLongRunningTask(cell, clock)
      const { name: node } = cell.owner!
      cell.killNode(node)
      cell.reachesWorker = (_node, id) => id !== entry.id
      const { id, pool, address, failureDomain, capacity, labels } = entry
      const record = { leasesEndAt: cell.rows.nowMs, pool, address, failureDomain, capacity, labels }
      putControlRow(cell, 'owner', JSON.stringify({ node, address: node, token: 2, sequence: 5, released: false }))
      putControlRow(cell, `lost-worker/${id}`, JSON.stringify(record))
      await clock.tickAsync(20_000)
      expect(cell.checker.violations).to.deep.equal([])
      expect(cell.checker.starts).to.equal(2)
    }
  },
  {
    // An owner that renewed its lease before the record was removed would let the next one start the task twice.
    name: 'gets no lease while the record can not be removed',
    options: { nodes: 3 },
    run: async (cell, clock) => {
      const worker = await startLongRunningTask(cell, clock)
      const owner = cell.owner!.name
      worker.fault = () => 'silent'
      await clock.tickAsync(3_500)
      for (const { store } of cell.nodes.values()) store.fault = () => 'silent'
      worker.fault = () => undefined
      await clock.tickAsync(4_000)
      cell.reachesWorker = (node, id) => node === owner || id !== worker.entry.id
      for (const { store, name } of cell.nodes.values()) if (name !== owner) store.fault = () => undefined
      cell.killNode(owner)
      await clock.tickAsync(12_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(2)
    }
  },
  {
    // The removal of the record took so long that the lease ended meanwhile.
    name: 'keeps its run when it answers again before its lease ends',
    options: { nodes: 3 },
    run: async (cell, clock) => {
      const worker = await startLongRunningTask(cell, clock)
      worker.fault = () => 'silent'
      await clock.tickAsync(4_200)
      worker.fault = () => undefined
      await clock.tickAsync(6_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(1)
    }
  }
])

describeCells('An isolated owner that still reaches a worker', [
  ...changes.map(({ name, change }) => ({
    name: `runs no task twice after ${name}`,
    options: { nodes: 4 },
    run: async (cell: MemoryCell, clock: Clock) => {
      await isolateOwner(cell, clock)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      await change(cell, clock)
      await clock.tickAsync(20_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(2)
    }
  })),
  {
    // A new owner must not take the end of such a predecessor for the end of all leases.
    name: 'runs no task twice after a second and a third owner that end before they have recovered the cell',
    options: { nodes: 5 },
    run: async (cell, clock) => {
      const worker = (await startLongRunningTask(cell, clock, 1_000)).entry.id
      isolate(cell, [cell.owner!.name], worker)
      for (let killed = 0; killed < 2; killed++) {
        cell.killNode((await waitForOwner(cell, clock)).name)
      }
      await clock.tickAsync(20_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(2)
    }
  },
  {
    // Followers that were isolated with it promised not to take over, and it renewed leases for 8 s.
    name: 'renews no leases once another follower may have taken over',
    options: { nodes: 5 },
    run: async (cell, clock) => {
      await isolateOwner(cell, clock, 2)
      await clock.tickAsync(5_500)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(2)
    }
  },
  {
    // The new owner has never followed the isolated one, which therefore went on without its promise.
    name: 'is waited for by a node that it has never heard of',
    options: { nodes: 2 },
    run: async (cell, clock) => {
      const worker = (await startLongRunningTask(cell, clock, 1_000)).entry.id
      isolate(cell, cell.nodes.keys(), worker)
      cell.startNode('n9')
      await clock.tickAsync(20_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(2)
    }
  }
])

describeCells('An outage of the store', [
  ...outages.map(({ killed, afterMs }) => ({
    // The new owner needed promises of nodes that had ended, whose names it had kept, or of itself.
    name: `stops no task ${afterMs} ms after a takeover, with ${killed} followers killed together with the owner`,
    options: { nodes: 4 },
    run: async (cell: MemoryCell, clock: Clock) => {
      await startLongRunningTask(cell, clock)
      const followers = [...cell.nodes.values()].filter((node) => node !== cell.owner)
      for (const { name } of [cell.owner!, ...followers.slice(0, killed)]) cell.killNode(name)
      await waitForOwner(cell, clock)
      await clock.tickAsync(afterMs)
      for (const { store } of cell.nodes.values()) store.fault = () => 'silent'
      await clock.tickAsync(7_000)
      for (const { store } of cell.nodes.values()) store.fault = () => undefined
      await clock.tickAsync(3_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(1)
    }
  })),
  {
    // The leases of all workers ended 5.5 s after the last commit.
    name: 'stops no task while all followers promise not to take over',
    options: { nodes: 3 },
    run: async (cell, clock) => {
      await startLongRunningTask(cell, clock)
      for (const { store } of cell.nodes.values()) store.fault = () => 'silent'
      await clock.tickAsync(10_000)
      for (const { store } of cell.nodes.values()) store.fault = () => undefined
      await clock.tickAsync(3_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(1)
    }
  }
])
