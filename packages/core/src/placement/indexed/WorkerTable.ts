import type { Resources } from '@gypsumspring/protocol'
import type { WorkerNode } from '../../types.ts'
import { NOTHING } from '../_lib/resources.ts'
import type { Reservation, TaskRecord } from '../types.ts'

/** A worker with what cannot be kept in typed arrays. */
export interface WorkerEntry {
  node: WorkerNode
  slot: number
  available: boolean
  tasks: Set<TaskRecord>
  /** Measured use of its tasks; the declared amounts for tasks without a report. */
  measured: Resources
  reservations: Reservation[]
}

const NOT_INDEXED = -1
const NONE = -1

export const ACCELERATOR_LEVELS = 6
/** Quarter octaves above a quarter of a processor. */
export const CPU_BUCKETS = 64
/** Half octaves above 128 MiB. */
export const MEMORY_BUCKETS = 32
const CPU_UNIT = 250
const MEMORY_UNIT = 128

/** Removed workers leave gaps, so that slots stay in order of arrival; the table is compacted when gaps prevail. */
const COMPACT_ABOVE_GAPS = 64

/**
 * Capacity of the workers in typed arrays, and an index of those that may start tasks: lists of workers whose free
 * amounts lie in the same bucket in each dimension, with idle workers apart from those in use.
 */
export class WorkerTable {
  readonly entries = new Map<string, WorkerEntry>()
  bySlot: Array<WorkerEntry | undefined> = []
  freeCpu = new Float64Array(0)
  freeMemory = new Float64Array(0)
  freeAccelerators = new Float64Array(0)
  /** Held by preemptible tasks below the class urgent; an upper bound of what preemption may free. */
  preemptibleCpu = new Float64Array(0)
  preemptibleMemory = new Float64Array(0)
  preemptibleAccelerators = new Float64Array(0)
  taskCounts = new Int32Array(0)
  probing = new Uint8Array(0)
  reserved = new Uint8Array(0)
  /** First worker of each cell, and the next and previous one of each worker. */
  readonly heads = new Int32Array(2 * ACCELERATOR_LEVELS * CPU_BUCKETS * MEMORY_BUCKETS).fill(NONE)
  /** Workers in each row of `MEMORY_BUCKETS` cells. */
  readonly rowCounts = new Int32Array(2 * ACCELERATOR_LEVELS * CPU_BUCKETS)
  next = new Int32Array(0)
  #previous = new Int32Array(0)
  #cells = new Int32Array(0)
  /** Tasks on all workers. */
  placed = 0
  #gaps = 0

  add (node: WorkerNode): WorkerEntry {
    const slot = this.bySlot.length
    if (slot >= this.#cells.length) this.#grow(Math.max(32, slot + (slot >> 1)))
    const entry: WorkerEntry = {
      node, slot, available: true, tasks: new Set(), measured: NOTHING, reservations: []
    }
    this.entries.set(node.id, entry)
    this.bySlot.push(entry)
    this.freeCpu[slot] = node.capacity.cpuMillis
    this.freeMemory[slot] = node.capacity.memoryMb
    this.freeAccelerators[slot] = node.capacity.accelerators
    this.preemptibleCpu[slot] = this.preemptibleMemory[slot] = this.preemptibleAccelerators[slot] = 0
    this.taskCounts[slot] = this.probing[slot] = this.reserved[slot] = 0
    this.#cells[slot] = NOT_INDEXED
    return entry
  }

  remove (entry: WorkerEntry): void {
    this.setIndexed(entry.slot, false)
    this.entries.delete(entry.node.id)
    this.bySlot[entry.slot] = undefined
    this.#gaps++
    if (this.#gaps > COMPACT_ABOVE_GAPS && this.#gaps > this.bySlot.length >> 1) this.#compact()
  }

  /** Takes `count` times an amount from a worker; a negative count gives it back. */
  take (slot: number, amount: Resources, count: number): void {
    this.freeCpu[slot]! -= count * amount.cpuMillis
    this.freeMemory[slot]! -= count * amount.memoryMb
    this.freeAccelerators[slot]! -= count * amount.accelerators
    this.taskCounts[slot]! += count
    this.placed += count
    if (this.#cells[slot] !== NOT_INDEXED) this.#move(slot, this.#findCell(slot))
  }

  addPreemptible (slot: number, amount: Resources, count: number): void {
    this.preemptibleCpu[slot]! += count * amount.cpuMillis
    this.preemptibleMemory[slot]! += count * amount.memoryMb
    this.preemptibleAccelerators[slot]! += count * amount.accelerators
  }

  /** Enters a worker in the index or takes it out; a worker that may not start tasks stays out. */
  setIndexed (slot: number, indexed: boolean): void {
    this.#move(slot, indexed ? this.#findCell(slot) : NOT_INDEXED)
  }

  isIndexed (slot: number): boolean {
    return this.#cells[slot] !== NOT_INDEXED
  }

  readFree (slot: number): Resources {
    return {
      cpuMillis: this.freeCpu[slot]!, memoryMb: this.freeMemory[slot]!, accelerators: this.freeAccelerators[slot]!
    }
  }

  #findCell (slot: number): number {
    const level = findAcceleratorLevel(this.freeAccelerators[slot]!)
    const row = findRow(this.taskCounts[slot] === 0, level, findCpuBucket(this.freeCpu[slot]!))
    return row * MEMORY_BUCKETS + findMemoryBucket(this.freeMemory[slot]!)
  }

  #move (slot: number, cell: number): void {
    const old = this.#cells[slot]!
    if (old === cell) return
    if (old !== NOT_INDEXED) {
      const next = this.next[slot]!
      const previous = this.#previous[slot]!
      if (previous === NONE) this.heads[old] = next
      else this.next[previous] = next
      if (next !== NONE) this.#previous[next] = previous
      this.rowCounts[Math.floor(old / MEMORY_BUCKETS)]!--
    }
    this.#cells[slot] = cell
    if (cell === NOT_INDEXED) return
    const head = this.heads[cell]!
    this.next[slot] = head
    this.#previous[slot] = NONE
    if (head !== NONE) this.#previous[head] = slot
    this.heads[cell] = slot
    this.rowCounts[Math.floor(cell / MEMORY_BUCKETS)]!++
  }

  #compact (): void {
    const kept = this.bySlot.filter((entry) => entry !== undefined)
    const indexed = kept.map((entry) => this.isIndexed(entry.slot))
    for (const entry of kept) this.setIndexed(entry.slot, false)
    const amounts = [
      this.freeCpu, this.freeMemory, this.freeAccelerators, this.preemptibleCpu, this.preemptibleMemory,
      this.preemptibleAccelerators, this.taskCounts, this.probing, this.reserved
    ]
    for (const [slot, entry] of kept.entries()) {
      for (const values of amounts) values[slot] = values[entry.slot]!
      entry.slot = slot
      this.#cells[slot] = NOT_INDEXED
    }
    this.bySlot = kept
    this.#gaps = 0
    for (const [slot, wasIndexed] of indexed.entries()) if (wasIndexed) this.setIndexed(slot, true)
  }

  #grow (size: number): void {
    this.freeCpu = copyTo(new Float64Array(size), this.freeCpu)
    this.freeMemory = copyTo(new Float64Array(size), this.freeMemory)
    this.freeAccelerators = copyTo(new Float64Array(size), this.freeAccelerators)
    this.preemptibleCpu = copyTo(new Float64Array(size), this.preemptibleCpu)
    this.preemptibleMemory = copyTo(new Float64Array(size), this.preemptibleMemory)
    this.preemptibleAccelerators = copyTo(new Float64Array(size), this.preemptibleAccelerators)
    this.taskCounts = copyTo(new Int32Array(size), this.taskCounts)
    this.probing = copyTo(new Uint8Array(size), this.probing)
    this.reserved = copyTo(new Uint8Array(size), this.reserved)
    this.next = copyTo(new Int32Array(size), this.next)
    this.#previous = copyTo(new Int32Array(size), this.#previous)
    this.#cells = copyTo(new Int32Array(size), this.#cells)
  }
}

/** Number of the row of cells for an accelerator level and a processor bucket. */
export function findRow (isIdle: boolean, acceleratorLevel: number, cpuBucket: number): number {
  return ((isIdle ? ACCELERATOR_LEVELS : 0) + acceleratorLevel) * CPU_BUCKETS + cpuBucket
}

export function findAcceleratorLevel (accelerators: number): number {
  if (accelerators <= 2) return Math.max(0, accelerators)
  if (accelerators <= 4) return 3
  return accelerators <= 8 ? 4 : 5
}

export function findCpuBucket (cpuMillis: number): number {
  return findBucket(cpuMillis / CPU_UNIT, 2, CPU_BUCKETS)
}

export function findMemoryBucket (memoryMb: number): number {
  return findBucket(memoryMb / MEMORY_UNIT, 1, MEMORY_BUCKETS)
}

/** Bucket of an amount, with 2 ** `fractionBits` buckets an octave; monotonic, so that a smaller bucket cannot fit. */
function findBucket (units: number, fractionBits: number, buckets: number): number {
  // Scaled so that the fraction bits exist from the first octave on.
  const scaled = Math.min(Math.floor(units * 4), 0x3fffffff)
  if (scaled < 4) return 0
  const exponent = 31 - Math.clz32(scaled)
  const fraction = (scaled >> (exponent - fractionBits)) & ((1 << fractionBits) - 1)
  return Math.min(buckets - 1, ((exponent - 2) << fractionBits) + fraction + 1)
}

function copyTo<T extends Float64Array | Int32Array | Uint8Array> (target: T, source: T): T {
  target.set(source)
  return target
}
