import type { Clock } from '@sinonjs/fake-timers'
import { sleep } from '@gypsumspring/protocol'
import { CONTROL_TABLE } from '../ownership/index.ts'
import { CELL_PARTITION } from '../records/index.ts'
import type { MemoryCell, MemoryNode } from '../standins/index.ts'

/** Returns the owner that the store knows; an isolated one takes itself for the owner too. */
export function findOwner (cell: MemoryCell): MemoryNode | undefined {
  return [...cell.nodes.values()].find(({ name, up, cellNode }) =>
    up && cellNode.isOwner && !cell.isolatedNodes.has(name))
}

export async function waitForOwner (cell: MemoryCell, clock: Clock): Promise<MemoryNode> {
  for (;;) {
    const owner = findOwner(cell)
    if (owner !== undefined) return owner
    await clock.tickAsync(1)
  }
}

/** Has a node hand the cell over, by default its owner, and waits until it has. */
export async function handOver (cell: MemoryCell, clock: Clock, node = cell.owner!): Promise<void> {
  const handover = node.cellNode.resign()
  await clock.tickAsync(200)
  await handover
}

/** Replaces a row of the owner in the store. */
export function putControlRow (cell: MemoryCell, key: string, value: string): void {
  const puts = [{ table: CONTROL_TABLE, key, value: Buffer.from(value) }]
  cell.rows.apply({ partition: CELL_PARTITION, expected: [], puts, removes: [] })
}

/** Delays what new owners read before they recover the cell. Returns a function that ends the delay. */
export function delayRecovery (cell: MemoryCell, delayMs: number): () => void {
  let isDelayed = true
  for (const { store } of cell.nodes.values()) {
    const read = store.read.bind(store)
    store.read = async (table, partition) => {
      if (table === 'control' && isDelayed) await sleep(delayMs)
      return await read(table, partition)
    }
  }
  return () => { isDelayed = false }
}
