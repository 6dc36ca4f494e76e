import type { WorkerNode } from '../../types.ts'
import type { CapacityShape } from '../types.ts'

/** Counts the workers of each capacity, per failure domain and in the whole cell. */
export class CapacityShapes {
  readonly #byDomain = new Map<string, CapacityShape>()
  readonly #overall = new Map<string, CapacityShape>()

  get isEmpty (): boolean {
    return this.#overall.size === 0
  }

  /** Adds (1) or removes (-1) a worker. */
  adjust ({ failureDomain, capacity }: WorkerNode, change: 1 | -1): void {
    const key = [capacity.cpuMillis, capacity.memoryMb, capacity.accelerators].join('|')
    adjustShapeCount(this.#overall, key, { failureDomain: '', capacity, count: 0 }, change)
    adjustShapeCount(this.#byDomain, `${failureDomain}|${key}`, { failureDomain, capacity, count: 0 }, change)
  }

  /** Lists the shapes per failure domain, or those of the whole cell, which are fewer, when every domain is allowed. */
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
