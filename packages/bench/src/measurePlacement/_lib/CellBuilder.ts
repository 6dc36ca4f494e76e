import type { TaskGroup, WorkerNode } from '@gypsumspring/core'
import type { Resources } from '@gypsumspring/protocol'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const FAILURE_DOMAINS = 16
const WORKERS_PER_RACK = 8
const TEAMS = 160
/** 4,500 of 24,000 workers have 8 accelerators each, which makes the 36,000 accelerators of the largest cell. */
const ACCELERATOR_SHARE = 4500 / 24000

/** Generates the workers and single-task groups of a cell with mixed sizes; the same seed gives the same cell. */
export class CellBuilder {
  readonly #random
  #groups = 0

  constructor (seed: number) {
    this.#random = xoroshiro128plus(seed)
  }

  /** Draws a uniform integer from 0 to `count - 1`. */
  drawIndex (count: number): number {
    return uniformInt(this.#random, 0, count - 1)
  }

  buildWorkers (count: number): WorkerNode[] {
    return Array.from({ length: count }, (_, index) => {
      const cores = index % 2 === 0 ? 16 : 32
      const hasAccelerators = Math.floor((index + 1) * ACCELERATOR_SHARE) > Math.floor(index * ACCELERATOR_SHARE)
      return {
        id: `worker-${index}`,
        failureDomain: `domain-${Math.floor(index / Math.ceil(count / FAILURE_DOMAINS))}`,
        rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
        capacity: { cpuMillis: cores * 1000, memoryMb: cores * 2048, accelerators: hasAccelerators ? 8 : 0 }
      }
    })
  }

  buildGroup (submittedAt: number): TaskGroup {
    const id = `group-${this.#groups++}`
    return {
      id,
      team: `team-${this.drawIndex(TEAMS)}`,
      kind: 'batch',
      priority: this.drawIndex(4) === 0 ? 'high' : 'normal',
      spread: 'none',
      preemptible: this.drawIndex(2) === 0,
      resources: this.#drawResources(),
      tasks: [`${id}-0`],
      estimatedRunMs: 1000 * (10 + this.drawIndex(600)),
      submittedAt
    }
  }

  #drawResources (): Resources {
    const cpuMillis = 250 * (1 + Math.min(this.drawIndex(16), this.drawIndex(16)))
    const memoryMb = Math.ceil(cpuMillis * (512 + this.drawIndex(1300)) / 1000)
    return { cpuMillis, memoryMb, accelerators: this.drawIndex(20) === 0 ? 1 : 0 }
  }
}
