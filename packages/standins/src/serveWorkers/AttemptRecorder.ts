import type { AttemptReport } from '@gypsumspring/adapters'
import type { Resources } from '@gypsumspring/protocol'

/** Starts, ends and violations of invariants on the workers of one process. */
export interface AttemptRecords {
  starts: number
  /** Number of ends by final state. */
  ends: Record<string, number>
  /** Starts of a task that was already running on a worker; violates P2 of docs/design.md. */
  doubleRuns: Array<{ task: string, attempt: number, worker: string, alreadyOn: string }>
  /** Starts after which the running attempts of a worker together exceeded its capacity; violates P1. */
  overcommitments: Array<{ worker: string, used: Resources, capacity: Resources }>
}

const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Records the attempts of all workers of one process and detects violations of the invariants P1 and P2. */
export class AttemptRecorder {
  readonly #capacities = new Map<string, Resources>()
  readonly #used = new Map<string, Resources>()
  readonly #workersByTask = new Map<string, string[]>()
  #records: AttemptRecords = emptyRecords()

  get records (): AttemptRecords {
    return this.#records
  }

  /** Clears the records. Running attempts stay known. */
  clear (): void {
    this.#records = emptyRecords()
  }

  addWorker (id: string, capacity: Resources): void {
    this.#capacities.set(id, capacity)
  }

  /** Attempt observer to pass to each worker. */
  readonly observe = (event: 'start' | 'end', worker: string, report: AttemptReport): void => {
    if (event === 'start') this.#start(worker, report)
    else this.#end(worker, report)
  }

  #start (worker: string, { task, attempt, resources }: AttemptReport): void {
    this.#records.starts++
    const workers = this.#workersByTask.get(task) ?? []
    if (workers.length > 0) this.#records.doubleRuns.push({ task, attempt, worker, alreadyOn: workers.join(', ') })
    this.#workersByTask.set(task, [...workers, worker])
    const used = addResources(this.#used.get(worker) ?? NO_RESOURCES, resources, 1)
    this.#used.set(worker, used)
    const capacity = this.#capacities.get(worker) ?? NO_RESOURCES
    if (exceedsCapacity(used, capacity)) this.#records.overcommitments.push({ worker, used, capacity })
  }

  #end (worker: string, { task, state, resources }: AttemptReport): void {
    this.#records.ends[state] = (this.#records.ends[state] ?? 0) + 1
    const workers = [...this.#workersByTask.get(task) ?? []]
    workers.splice(workers.indexOf(worker), 1)
    if (workers.length === 0) this.#workersByTask.delete(task)
    else this.#workersByTask.set(task, workers)
    this.#used.set(worker, addResources(this.#used.get(worker) ?? NO_RESOURCES, resources, -1))
  }
}

function emptyRecords (): AttemptRecords {
  return { starts: 0, ends: {}, doubleRuns: [], overcommitments: [] }
}

function addResources (a: Resources, b: Resources, sign: 1 | -1): Resources {
  return {
    cpuMillis: a.cpuMillis + sign * b.cpuMillis,
    memoryMb: a.memoryMb + sign * b.memoryMb,
    accelerators: a.accelerators + sign * b.accelerators
  }
}

function exceedsCapacity (used: Resources, capacity: Resources): boolean {
  return used.cpuMillis > capacity.cpuMillis || used.memoryMb > capacity.memoryMb ||
    used.accelerators > capacity.accelerators
}
