import type { AttemptReport } from '@gypsumspring/adapters'
import type { Resources } from '@gypsumspring/protocol'

export interface AttemptRecords {
  starts: number
  ends: Record<string, number>
  /** Starts of a task that was already running somewhere; docs/design.md, P2. */
  doubleRuns: Array<{ task: string, attempt: number, worker: string, alreadyOn: string }>
  /** Starts after which the running attempts of a worker together were above its capacity; P1. */
  overcommitments: Array<{ worker: string, used: Resources, capacity: Resources }>
}

const NOTHING: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Watches all workers of one process for violations of the invariants P1 and P2. */
export class AttemptRecorder {
  readonly #capacities = new Map<string, Resources>()
  readonly #used = new Map<string, Resources>()
  readonly #places = new Map<string, string[]>()
  #records: AttemptRecords = emptyRecords()

  get records (): AttemptRecords {
    return this.#records
  }

  /** Forgets the records, but not what runs. */
  clear (): void {
    this.#records = emptyRecords()
  }

  addWorker (id: string, capacity: Resources): void {
    this.#capacities.set(id, capacity)
  }

  readonly observe = (event: 'start' | 'end', worker: string, report: AttemptReport): void => {
    if (event === 'start') this.#start(worker, report)
    else this.#end(worker, report)
  }

  #start (worker: string, { task, attempt, resources }: AttemptReport): void {
    this.#records.starts++
    const places = this.#places.get(task) ?? []
    if (places.length > 0) this.#records.doubleRuns.push({ task, attempt, worker, alreadyOn: places.join(', ') })
    this.#places.set(task, [...places, worker])
    const used = add(this.#used.get(worker) ?? NOTHING, resources, 1)
    this.#used.set(worker, used)
    const capacity = this.#capacities.get(worker) ?? NOTHING
    if (exceeds(used, capacity)) this.#records.overcommitments.push({ worker, used, capacity })
  }

  #end (worker: string, { task, state, resources }: AttemptReport): void {
    this.#records.ends[state] = (this.#records.ends[state] ?? 0) + 1
    const places = [...this.#places.get(task) ?? []]
    places.splice(places.indexOf(worker), 1)
    if (places.length === 0) this.#places.delete(task)
    else this.#places.set(task, places)
    this.#used.set(worker, add(this.#used.get(worker) ?? NOTHING, resources, -1))
  }
}

function emptyRecords (): AttemptRecords {
  return { starts: 0, ends: {}, doubleRuns: [], overcommitments: [] }
}

function add (a: Resources, b: Resources, sign: 1 | -1): Resources {
  return {
    cpuMillis: a.cpuMillis + sign * b.cpuMillis,
    memoryMb: a.memoryMb + sign * b.memoryMb,
    accelerators: a.accelerators + sign * b.accelerators
  }
}

function exceeds (used: Resources, capacity: Resources): boolean {
  return used.cpuMillis > capacity.cpuMillis || used.memoryMb > capacity.memoryMb ||
    used.accelerators > capacity.accelerators
}
