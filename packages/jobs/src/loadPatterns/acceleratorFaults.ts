import { sleep, throwUncaught } from '@gypsumspring/protocol'
import type { MemoryCell, MemoryWorker, SeededRandom, StoreFault, WorkerFault } from '../standins/index.ts'

/** Longest duration of a fault, in ms. */
export const MAX_FAULT_MS = 6_000

/** Random faults of workers, the policy service, the store and the owner of a cell. */
export class AcceleratorFaults {
  /** Ids of workers on which all runs fail. */
  readonly failing = new Set<string>()
  /** Ids of workers on which new runs never end by themselves. */
  readonly hanging = new Set<string>()
  readonly #random: SeededRandom
  #adviceFault: 'failed' | 'unanswered' | undefined
  #adviceFaultShare = 0
  #workerCount = 0
  #nodeCount = 0

  constructor (random: SeededRandom) {
    this.#random = random
  }

  /** Chooses how a call to the policy service goes wrong, if it does. */
  chooseAdviceFault (): 'failed' | 'unanswered' | undefined {
    if (this.#adviceFault === undefined) return undefined
    return this.#random.chance(this.#adviceFaultShare) ? this.#adviceFault : undefined
  }

  /** Injects a random fault that ends after at most `MAX_FAULT_MS`; workers that end are replaced. */
  inject (cell: MemoryCell): void {
    const random = this.#random
    random.pick([
      () => this.#forSomeTime(this.#pickWorkers(cell, 0.3).map(({ entry }) => entry.id), this.failing),
      () => this.#forSomeTime(this.#pickWorkers(cell, 0.3).map(({ entry }) => entry.id), this.failing),
      () => this.#forSomeTime(this.#pickWorkers(cell, 0.2).map(({ entry }) => entry.id), this.hanging),
      () => this.#crashWorkers(cell),
      () => this.#drainWorker(cell),
      () => this.#loseCalls(cell),
      () => this.#cutWorkers(cell),
      () => this.#disturbAdvice(),
      () => this.#replaceOwner(cell),
      () => this.#replaceOwner(cell),
      () => this.#handOver(cell),
      () => this.#disturbStore(cell),
      () => this.#slowStore(cell)
    ])()
  }

  #durationMs (): number {
    return this.#random.between(500, MAX_FAULT_MS)
  }

  #pickWorkers (cell: MemoryCell, share: number): MemoryWorker[] {
    const picked = listWorkers(cell).filter(() => this.#random.chance(share))
    return picked.length > 0 ? picked : [this.#random.pick(listWorkers(cell))]
  }

  #forSomeTime (ids: readonly string[], set: Set<string>): void {
    for (const id of ids) set.add(id)
    setTimeout(() => { for (const id of ids) set.delete(id) }, this.#durationMs())
  }

  /** Crashes workers. Each comes back with another id at the same address, and the registry drops the old id later. */
  #crashWorkers (cell: MemoryCell): void {
    const returnMs = this.#durationMs()
    for (const worker of this.#pickWorkers(cell, 0.2)) this.#endWorker(cell, worker, returnMs)
  }

  #endWorker (cell: MemoryCell, worker: MemoryWorker, returnMs: number): void {
    const { entry } = worker
    worker.crash()
    setTimeout(() => cell.workers.unlist(entry.id), this.#random.between(100, 3_000))
    const id = `x${this.#workerCount++}`
    setTimeout(() => cell.addWorker(id, { address: entry.address }), returnMs)
  }

  #drainWorker (cell: MemoryCell): void {
    const worker = this.#random.pick(listWorkers(cell))
    const leavesInMs = this.#random.between(1_000, 3_000)
    cell.workers.update(worker.entry.id, { draining: true, leavesInMs })
    setTimeout(() => this.#endWorker(cell, worker, this.#random.between(100, 2_000)), leavesInMs)
  }

  #loseCalls (cell: MemoryCell): void {
    const fault = this.#random.pick<WorkerFault>(['silent', 'lost', 'late', 'unhealthy'])
    const share = this.#random.pick([0.05, 0.3, 1])
    const workers = this.#pickWorkers(cell, 0.4)
    for (const worker of workers) {
      worker.fault = (call) => (fault === 'silent' || fault === 'lost' || call !== 'poll') && this.#random.chance(share)
        ? fault
        : undefined
    }
    setTimeout(() => { for (const worker of workers) worker.fault = () => undefined }, this.#durationMs())
  }

  #cutWorkers (cell: MemoryCell): void {
    const cut = new Set(this.#pickWorkers(cell, 0.3).map(({ entry }) => entry.id))
    cell.reachesWorker = (_node, worker) => !cut.has(worker)
    setTimeout(() => cut.clear(), this.#durationMs())
  }

  #disturbAdvice (): void {
    this.#adviceFault = this.#random.pick(['failed', 'unanswered'])
    this.#adviceFaultShare = this.#random.pick([0.3, 1])
    setTimeout(() => { this.#adviceFault = undefined }, this.#durationMs())
  }

  #replaceOwner (cell: MemoryCell): void {
    const { owner } = cell
    if (owner === undefined) return
    cell.killNode(owner.name)
    this.#startNode(cell)
  }

  #handOver (cell: MemoryCell): void {
    const { owner } = cell
    if (owner === undefined) return
    owner.cellNode.resign().catch(throwUncaught)
    this.#startNode(cell)
  }

  #startNode (cell: MemoryCell): void {
    const seeds = [...cell.nodes.values()].filter(({ up }) => up).map(({ name }) => name)
    const name = `y${this.#nodeCount++}`
    setTimeout(() => cell.startNode(name, seeds), this.#random.below(600))
  }

  #disturbStore (cell: MemoryCell): void {
    const fault = this.#random.pick<StoreFault>(['lost', 'silent', 'late', 'refused'])
    const share = this.#random.pick([0.3, 1])
    const stores = [...cell.nodes.values()].map(({ store }) => store)
    for (const store of stores) store.fault = () => this.#random.chance(share) ? fault : undefined
    setTimeout(() => { for (const store of stores) store.fault = () => undefined }, this.#durationMs())
  }

  #slowStore (cell: MemoryCell): void {
    const delayMs = this.#random.pick([100, 400, 900])
    let isSlow = true
    for (const { store } of cell.nodes.values()) {
      const commit = store.commit.bind(store)
      store.commit = async (...args) => {
        if (isSlow) await sleep(delayMs)
        return await commit(...args)
      }
    }
    setTimeout(() => { isSlow = false }, this.#durationMs())
  }
}

/** Workers that run and are not draining. */
export function listWorkers (cell: MemoryCell): MemoryWorker[] {
  return [...cell.workers.workers.values()].filter(({ alive, entry }) => alive && !entry.draining)
}
