import { expect } from 'chai'
import { sleep } from '@gypsumspring/protocol'
import type { Clock } from '@sinonjs/fake-timers'
import type { MemoryCell } from '../standins/index.ts'
import { describeCells, submitInBackground } from './describeCells.ts'

const JOB = '00000000000000a1'
const TASK = `${JOB}.0.0.0`

/** Isolates the owner with some followers and the worker of the only task, on which it goes on renewing the lease. */
async function isolateOwner (cell: MemoryCell, clock: Clock, followers = 0): Promise<void> {
  submitInBackground(cell, JOB, [{ longRunning: true }])
  await clock.tickAsync(1_000)
  const { name } = cell.owner!
  const worker = [...cell.workers.workers.values()].find(({ runs }) => runs.size > 0)!.entry.id
  const others = [...cell.nodes.keys()].filter((node) => node !== name)
  for (const node of [name, ...others.slice(0, followers)]) cell.isolatedNodes.add(node)
  cell.reachesWorker = (node, id) => cell.isolatedNodes.has(node) === (id === worker)
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
      submitInBackground(cell, JOB, [{ longRunning: true }])
      await clock.tickAsync(1_000)
      const worker = [...cell.workers.workers.values()].find(({ runs }) => runs.size > 0)!.entry.id
      for (const name of cell.nodes.keys()) cell.isolatedNodes.add(name)
      cell.reachesWorker = (node, id) => cell.isolatedNodes.has(node) === (id === worker)
      cell.startNode('n9')
      await clock.tickAsync(20_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(2)
    }
  }
])

/** Delays the commits of all nodes, but not their reads, as when the partition of the cell is overloaded. */
function delayCommits (cell: MemoryCell, delayMs: number): void {
  for (const { store } of cell.nodes.values()) {
    const commit = store.commit.bind(store)
    store.commit = async (...args) => {
      await sleep(delayMs)
      return await commit(...args)
    }
  }
}

describeCells('An outage of the store', [
  {
    // Followers made no promises while their reads were fast, and no lease was renewed 0.5 s after a commit was sent.
    name: 'stops no task when only the commits are slow',
    options: { nodes: 3 },
    run: async (cell, clock) => {
      submitInBackground(cell, JOB, [{ longRunning: true }])
      await clock.tickAsync(2_000)
      delayCommits(cell, 900)
      await clock.tickAsync(15_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(1)
    }
  },
  {
    // The leases of all workers ended 5.5 s after the last commit.
    name: 'stops no task while all followers promise not to take over',
    options: { nodes: 3 },
    run: async (cell, clock) => {
      submitInBackground(cell, JOB, [{ longRunning: true }])
      await clock.tickAsync(2_000)
      for (const { store } of cell.nodes.values()) store.fault = () => 'silent'
      await clock.tickAsync(10_000)
      for (const { store } of cell.nodes.values()) store.fault = () => undefined
      await clock.tickAsync(3_000)
      expect(cell.checker.countRunning(TASK)).to.equal(1)
      expect(cell.checker.starts).to.equal(1)
    }
  }
])
