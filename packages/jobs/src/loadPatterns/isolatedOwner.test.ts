import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import type { MemoryCell } from '../standins/index.ts'
import { describeCells } from './describeCells.ts'
import { TASK, startLongRunningTask } from './longRunningJob.ts'

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

/** The owner that the store knows; an isolated one takes itself for the owner too. */
function findOwner (cell: MemoryCell) {
  return [...cell.nodes.values()].find(({ name, up, cellNode }) =>
    up && cellNode.isOwner && !cell.isolatedNodes.has(name))!
}

/** The next owner took the end of its predecessor for the end of all leases of owners before it. */
const changes: Array<{ name: string, change: (cell: MemoryCell, clock: Clock) => Promise<void> }> = [
  { name: 'no further change of the owner', change: async () => {} },
  {
    name: 'a handover by the second owner',
    change: async (cell, clock) => {
      const handover = findOwner(cell).cellNode.resign()
      await clock.tickAsync(200)
      await handover
    }
  },
  {
    name: 'a restart of the second owner',
    change: async (cell, clock) => {
      const { name } = findOwner(cell)
      cell.killNode(name)
      await clock.tickAsync(100)
      cell.startNode(name)
    }
  },
  {
    name: 'an end of the second owner right after its takeover',
    change: async (cell) => { cell.killNode(findOwner(cell).name) }
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
        while (findOwner(cell) === undefined) await clock.tickAsync(1)
        cell.killNode(findOwner(cell).name)
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
