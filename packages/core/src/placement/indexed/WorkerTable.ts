import type { Resources } from '@gypsumspring/protocol'
import type { WorkerNode } from '../../types.ts'
import { addScaled, ZERO_RESOURCES } from '../_lib/resources.ts'
import { computeOveruse } from '../scoreWorker/index.ts'
import type { Reservation, TaskRecord } from '../types.ts'

/** State of a worker that cannot be kept in typed arrays. */
export interface WorkerEntry {
  node: WorkerNode
  /** Index of the worker in the typed arrays; changes when the table is compacted. */
  slot: number
  available: boolean
  tasks: Set<TaskRecord>
  /** Measured use of its tasks; the declared amounts for tasks without a usage report. */
  measured: Resources
  reservations: Reservation[]
}

/** Offsets of a worker's values within its stride in `WorkerTable.values`. */
export const FREE_CPU = 0
export const FREE_MEMORY = 1
export const FREE_ACCELERATORS = 2
export const CAPACITY_CPU = 3
export const CAPACITY_MEMORY = 4
export const CAPACITY_ACCELERATORS = 5
/** Measured use above the declared amounts; see `computeOveruse`. */
export const OVERUSE = 6
/** Bit set of `PROBING` and `RESERVED`. */
export const FLAGS = 7
export const STRIDE = 8
export const PROBING = 1
export const RESERVED = 2

const NOT_INDEXED = -1
const NO_SLOT = -1

export const ACCELERATOR_LEVELS = 6
/** Logarithmic buckets, four to each doubling, from a quarter of a processor upwards. */
export const CPU_BUCKETS = 64
/** Logarithmic buckets, two to each doubling, from 128 MiB upwards. */
export const MEMORY_BUCKETS = 32
const CPU_UNIT_MILLIS = 250
const MEMORY_UNIT_MB = 128

/**
 * Removed workers leave gaps, so that the slots stay in the order in which workers were added. The table is compacted
 * when it has more gaps than this and they make up more than half of it.
 */
const COMPACT_GAP_THRESHOLD = 64

/**
 * Keeps the capacity of the workers in typed arrays and indexes the workers that may start tasks by free capacity. A
 * bin of the index is a linked list of the workers whose free amounts are in the same bucket in every dimension. Idle
 * workers have bins of their own.
 */
export class WorkerTable {
  readonly entries = new Map<string, WorkerEntry>()
  bySlot: Array<WorkerEntry | undefined> = []
  /** `STRIDE` values for each slot, at the offsets above. Together they fill one cache line. */
  values = new Float64Array(0)
  /** Used by preemptible tasks of classes below urgent: an upper bound of what preemption can free on a worker. */
  preemptibleCpu = new Float64Array(0)
  preemptibleMemory = new Float64Array(0)
  preemptibleAccelerators = new Float64Array(0)
  /** Tasks on each worker. */
  taskCounts = new Int32Array(0)
  /** First worker of each bin; `nextInBin` and `#previousInBin` link each worker to its neighbours. */
  readonly binHeads = new Int32Array(2 * ACCELERATOR_LEVELS * CPU_BUCKETS * MEMORY_BUCKETS).fill(NO_SLOT)
  /** Workers in each row of `MEMORY_BUCKETS` bins, so that a search can skip empty rows. */
  readonly rowCounts = new Int32Array(2 * ACCELERATOR_LEVELS * CPU_BUCKETS)
  nextInBin = new Int32Array(0)
  #previousInBin = new Int32Array(0)
  #bins = new Int32Array(0)
  /** Number of tasks on all workers. */
  placedTasks = 0
  #gaps = 0

  add (node: WorkerNode): WorkerEntry {
    const slot = this.bySlot.length
    if (slot >= this.#bins.length) this.#grow(Math.max(32, slot + (slot >> 1)))
    const entry: WorkerEntry = {
      node, slot, available: true, tasks: new Set(), measured: ZERO_RESOURCES, reservations: []
    }
    this.entries.set(node.id, entry)
    this.bySlot.push(entry)
    const { cpuMillis, memoryMb, accelerators } = node.capacity
    this.values.set([cpuMillis, memoryMb, accelerators, cpuMillis, memoryMb, accelerators, 0, 0], slot * STRIDE)
    this.preemptibleCpu[slot] = this.preemptibleMemory[slot] = this.preemptibleAccelerators[slot] = 0
    this.taskCounts[slot] = 0
    this.#bins[slot] = NOT_INDEXED
    return entry
  }

  remove (entry: WorkerEntry): void {
    this.setIndexed(entry.slot, false)
    this.entries.delete(entry.node.id)
    this.bySlot[entry.slot] = undefined
    this.#gaps++
    if (this.#gaps > COMPACT_GAP_THRESHOLD && this.#gaps > this.bySlot.length >> 1) this.#compact()
  }

  /** Allocates `count` tasks of the given amount on a worker; a negative count frees them. */
  allocate (slot: number, amount: Resources, count: number): void {
    const base = slot * STRIDE
    this.values[base + FREE_CPU]! -= count * amount.cpuMillis
    this.values[base + FREE_MEMORY]! -= count * amount.memoryMb
    this.values[base + FREE_ACCELERATORS]! -= count * amount.accelerators
    this.taskCounts[slot]! += count
    this.placedTasks += count
    if (this.#bins[slot] !== NOT_INDEXED) this.#moveToBin(slot, this.#findBin(slot))
  }

  addPreemptible (slot: number, amount: Resources, count: number): void {
    this.preemptibleCpu[slot]! += count * amount.cpuMillis
    this.preemptibleMemory[slot]! += count * amount.memoryMb
    this.preemptibleAccelerators[slot]! += count * amount.accelerators
  }

  /** Adds a worker to the index or removes it. Workers that may not start tasks are not indexed. */
  setIndexed (slot: number, indexed: boolean): void {
    this.#moveToBin(slot, indexed ? this.#findBin(slot) : NOT_INDEXED)
  }

  isIndexed (slot: number): boolean {
    return this.#bins[slot] !== NOT_INDEXED
  }

  /** Adds to the measured use of a worker's tasks. */
  addMeasured (entry: WorkerEntry, usage: Resources, factor: number): void {
    entry.measured = addScaled(entry.measured, usage, factor)
    const { capacity } = entry.node
    this.values[entry.slot * STRIDE + OVERUSE] = computeOveruse(entry.measured, this.readFree(entry.slot), capacity)
  }

  setFlag (slot: number, flag: typeof PROBING | typeof RESERVED, isSet: boolean): void {
    const flags = this.values[slot * STRIDE + FLAGS]!
    this.values[slot * STRIDE + FLAGS] = isSet ? flags | flag : flags & ~flag
  }

  isProbing (slot: number): boolean {
    return (this.values[slot * STRIDE + FLAGS]! & PROBING) !== 0
  }

  readFree (slot: number): Resources {
    const base = slot * STRIDE
    return {
      cpuMillis: this.values[base + FREE_CPU]!,
      memoryMb: this.values[base + FREE_MEMORY]!,
      accelerators: this.values[base + FREE_ACCELERATORS]!
    }
  }

  #findBin (slot: number): number {
    const base = slot * STRIDE
    const level = findAcceleratorLevel(this.values[base + FREE_ACCELERATORS]!)
    const row = findBinRow(this.taskCounts[slot] === 0, level, findCpuBucket(this.values[base + FREE_CPU]!))
    return row * MEMORY_BUCKETS + findMemoryBucket(this.values[base + FREE_MEMORY]!)
  }

  #moveToBin (slot: number, bin: number): void {
    const old = this.#bins[slot]!
    if (old === bin) return
    if (old !== NOT_INDEXED) {
      const next = this.nextInBin[slot]!
      const previous = this.#previousInBin[slot]!
      if (previous === NO_SLOT) this.binHeads[old] = next
      else this.nextInBin[previous] = next
      if (next !== NO_SLOT) this.#previousInBin[next] = previous
      this.rowCounts[Math.floor(old / MEMORY_BUCKETS)]!--
    }
    this.#bins[slot] = bin
    if (bin === NOT_INDEXED) return
    const head = this.binHeads[bin]!
    this.nextInBin[slot] = head
    this.#previousInBin[slot] = NO_SLOT
    if (head !== NO_SLOT) this.#previousInBin[head] = slot
    this.binHeads[bin] = slot
    this.rowCounts[Math.floor(bin / MEMORY_BUCKETS)]!++
  }

  #compact (): void {
    const kept = this.bySlot.filter((entry) => entry !== undefined)
    const indexed = kept.map((entry) => this.isIndexed(entry.slot))
    for (const entry of kept) this.setIndexed(entry.slot, false)
    const amounts = [
      this.preemptibleCpu, this.preemptibleMemory, this.preemptibleAccelerators, this.taskCounts
    ]
    for (const [slot, entry] of kept.entries()) {
      this.values.copyWithin(slot * STRIDE, entry.slot * STRIDE, (entry.slot + 1) * STRIDE)
      for (const values of amounts) values[slot] = values[entry.slot]!
      entry.slot = slot
      this.#bins[slot] = NOT_INDEXED
    }
    this.bySlot = kept
    this.#gaps = 0
    for (const [slot, wasIndexed] of indexed.entries()) if (wasIndexed) this.setIndexed(slot, true)
  }

  #grow (size: number): void {
    this.values = copyTo(new Float64Array(size * STRIDE), this.values)
    this.preemptibleCpu = copyTo(new Float64Array(size), this.preemptibleCpu)
    this.preemptibleMemory = copyTo(new Float64Array(size), this.preemptibleMemory)
    this.preemptibleAccelerators = copyTo(new Float64Array(size), this.preemptibleAccelerators)
    this.taskCounts = copyTo(new Int32Array(size), this.taskCounts)
    this.nextInBin = copyTo(new Int32Array(size), this.nextInBin)
    this.#previousInBin = copyTo(new Int32Array(size), this.#previousInBin)
    this.#bins = copyTo(new Int32Array(size), this.#bins)
  }
}

/** Index of the row of bins for idle or used workers, an accelerator level and a processor bucket. */
export function findBinRow (isIdle: boolean, acceleratorLevel: number, cpuBucket: number): number {
  return ((isIdle ? ACCELERATOR_LEVELS : 0) + acceleratorLevel) * CPU_BUCKETS + cpuBucket
}

export function findAcceleratorLevel (accelerators: number): number {
  if (accelerators <= 2) return Math.max(0, accelerators)
  if (accelerators <= 4) return 3
  return accelerators <= 8 ? 4 : 5
}

export function findCpuBucket (cpuMillis: number): number {
  return findBucket(cpuMillis / CPU_UNIT_MILLIS, 2, CPU_BUCKETS)
}

export function findMemoryBucket (memoryMb: number): number {
  return findBucket(memoryMb / MEMORY_UNIT_MB, 1, MEMORY_BUCKETS)
}

/**
 * Logarithmic bucket of an amount, with 2 ** `fractionBits` buckets to each doubling. Monotonic, so that no worker in a
 * lower bucket than that of the need can fit it.
 */
function findBucket (units: number, fractionBits: number, buckets: number): number {
  // Scaled by 4, so that two fraction bits exist from the first doubling on.
  const scaled = Math.min(Math.floor(units * 4), 0x3fffffff)
  if (scaled < 4) return 0
  const exponent = 31 - Math.clz32(scaled)
  const fraction = (scaled >> (exponent - fractionBits)) & ((1 << fractionBits) - 1)
  return Math.min(buckets - 1, ((exponent - 2) << fractionBits) + fraction + 1)
}

function copyTo<T extends Float64Array | Int32Array> (target: T, source: T): T {
  target.set(source)
  return target
}
