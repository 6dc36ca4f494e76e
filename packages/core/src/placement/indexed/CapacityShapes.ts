import type { WorkerNode } from '../../types.ts'
import type { CapacityShape } from '../types.ts'

/** Counts workers of equal capacity, by failure domain and over all. */
export class CapacityShapes {
  readonly #byDomain = new Map<string, CapacityShape>()
  readonly #overall = new Map<string, CapacityShape>()

  get isEmpty (): boolean {
    return this.#overall.size === 0
  }

  /** Counts a worker in (1) or out (-1). */
  adjust ({ failureDomain, capacity }: WorkerNode, change: 1 | -1): void {
    const key = [capacity.cpuMillis, capacity.memoryMb, capacity.accelerators].join('|')
    adjustShapeCount(this.#overall, key, { failureDomain: '', capacity, count: 0 }, change)
    adjustShapeCount(this.#byDomain, `${failureDomain}|${key}`, { failureDomain, capacity, count: 0 }, change)
  }

  /** Returns the shapes by failure domain, or for a group that may run in all of them the fewer shapes over all. */
  list (failureDomains: string[] | undefined): Iterable<CapacityShape> {
    return failureDomains === undefined ? this.#overall.values() : this.#byDomain.values()
  }
}

function adjustShapeCount (
  shapes: Map<string, CapacityShape>, key: string, initial: CapacityShape, change: 1 | -1
): void {
  const shape = shapes.get(key) ?? initial
  shape.count += change
  if (shape.count > 0) shapes.set(key, shape)
  else shapes.delete(key)
}
