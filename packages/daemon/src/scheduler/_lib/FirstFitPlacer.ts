import type { Placer, PlacementDecision, TaskGroup, WorkerNode } from '@gypsumspring/core'
import type { Resources } from '@gypsumspring/protocol'

interface Worker extends WorkerNode {
  available: boolean
  free: Resources
}

interface Entry {
  group: TaskGroup
  waiting: Set<string>
}

/** The simplest placer: groups in order of priority and arrival, each task on the first worker with room. */
export class FirstFitPlacer implements Placer {
  readonly #workers = new Map<string, Worker>()
  readonly #groups = new Map<string, Entry>()
  readonly #groupOf = new Map<string, string>()
  readonly #placed = new Map<string, { worker: string, resources: Resources }>()

  addWorker (worker: WorkerNode): void {
    this.#workers.set(worker.id, { ...worker, available: true, free: { ...worker.capacity } })
  }

  removeWorker (worker: string): void {
    this.#workers.delete(worker)
  }

  setWorkerAvailable (worker: string, available: boolean): void {
    const known = this.#workers.get(worker)
    if (known !== undefined) known.available = available
  }

  setQuotas (): void {}

  setPackingWeight (): void {}

  submit (group: TaskGroup): void {
    this.#groups.set(group.id, { group, waiting: new Set(group.tasks) })
    for (const task of group.tasks) this.#groupOf.set(task, group.id)
  }

  requeue (task: string): void {
    this.#groups.get(this.#groupOf.get(task) ?? '')?.waiting.add(task)
  }

  restore (task: string, worker: string): void {
    const entry = this.#groups.get(this.#groupOf.get(task) ?? '')
    if (entry !== undefined) this.#take(entry, task, worker)
  }

  release (task: string): void {
    const placed = this.#placed.get(task)
    if (placed === undefined) return
    this.#placed.delete(task)
    const worker = this.#workers.get(placed.worker)
    if (worker !== undefined) worker.free = combine(worker.free, placed.resources, 1)
  }

  cancel (group: string): string[] {
    const entry = this.#groups.get(group)
    this.#groups.delete(group)
    return entry?.group.tasks.filter((task) => this.#placed.has(task)) ?? []
  }

  recordUsage (): void {}

  recordOutcome (): void {}

  decide (_now: number, limit: number): PlacementDecision[] {
    const decisions: PlacementDecision[] = []
    const order = ['urgent', 'high', 'normal', 'low']
    const queue = [...this.#groups.values()].filter(({ waiting }) => waiting.size > 0).sort((a, b) =>
      order.indexOf(a.group.priority) - order.indexOf(b.group.priority) || a.group.submittedAt - b.group.submittedAt)
    for (const entry of queue) {
      if (decisions.length >= limit) break
      const placements = this.#placeGroup(entry)
      if (placements.length > 0) decisions.push({ kind: 'place', group: entry.group.id, placements })
    }
    return decisions
  }

  explain (task: string): string[] {
    return [this.#placed.has(task) ? 'placed' : 'waits for a worker with enough room']
  }

  #placeGroup (entry: Entry): Array<{ task: string, worker: string }> {
    const placements: Array<{ task: string, worker: string }> = []
    for (const task of entry.waiting) {
      const { resources } = entry.group
      const worker = [...this.#workers.values()].find(({ available, free }) => available && holds(free, resources))
      if (worker === undefined) break
      this.#take(entry, task, worker.id)
      placements.push({ task, worker: worker.id })
    }
    if (entry.group.kind !== 'gang' || entry.waiting.size === 0) return placements
    for (const { task } of placements) {
      this.release(task)
      entry.waiting.add(task)
    }
    return []
  }

  #take (entry: Entry, task: string, workerId: string): void {
    const { resources } = entry.group
    entry.waiting.delete(task)
    this.#placed.set(task, { worker: workerId, resources })
    const worker = this.#workers.get(workerId)
    if (worker !== undefined) worker.free = combine(worker.free, resources, -1)
  }
}

function holds (free: Resources, needed: Resources): boolean {
  return free.cpuMillis >= needed.cpuMillis && free.memoryMb >= needed.memoryMb &&
    free.accelerators >= needed.accelerators
}

function combine (a: Resources, b: Resources, sign: 1 | -1): Resources {
  return {
    cpuMillis: a.cpuMillis + sign * b.cpuMillis,
    memoryMb: a.memoryMb + sign * b.memoryMb,
    accelerators: a.accelerators + sign * b.accelerators
  }
}
