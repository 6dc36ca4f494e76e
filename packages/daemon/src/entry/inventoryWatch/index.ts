import { throwUncaught } from '@gypsumspring/protocol'
import type { Inventory } from '@gypsumspring/adapters'
import type { Metrics } from '../../metrics/index.ts'

export interface InventoryWatchParts {
  inventory: Inventory
  intervalMs: number
  /** Called after each answered listing; `changed` when other VMs are leaving than before. */
  onListed: (changed: boolean) => void
  metrics: Metrics
}

/** Reads the list of VMs at an interval and remembers which are leaving or gone. */
export class InventoryWatch {
  readonly #parts: InventoryWatchParts
  #leaving: ReadonlySet<string> = new Set()
  /** Ids, addresses and IP addresses of entry VMs, in the last listing and in any listing. */
  #entries = new Set<string>()
  readonly #everListed = new Set<string>()
  #timer: ReturnType<typeof setTimeout> | undefined
  #closed = false

  constructor (parts: InventoryWatchParts) {
    this.#parts = parts
  }

  start (): void {
    this.#poll().catch(throwUncaught)
  }

  close (): void {
    this.#closed = true
    clearTimeout(this.#timer)
  }

  /** Ids of VMs listed as leaving; those of the last answer while the platform does not answer. */
  leaving (): ReadonlySet<string> {
    return this.#leaving
  }

  /**
   * Whether an entry was listed and is so no longer. The list names VMs, not processes: the id decides when it was ever
   * listed, else the address, else the IP address.
   */
  hasLeft (id: string, address: string | undefined): boolean {
    const names = address === undefined ? [id] : [id, address, hostOf(address)]
    const name = names.find((candidate) => this.#everListed.has(candidate))
    return name !== undefined && !this.#entries.has(name)
  }

  async #poll (): Promise<void> {
    const outcome = await this.#parts.inventory.list()
    if (this.#closed) return
    outcome.ifLeft(({ reason }) => this.#parts.metrics.count('inventory_failed', { reason }))
    outcome.ifRight((machines) => {
      const leaving = new Set(machines.filter(({ state }) => state === 'leaving').map(({ id }) => id))
      const changed = leaving.size !== this.#leaving.size || [...leaving].some((id) => !this.#leaving.has(id))
      this.#leaving = leaving
      this.#entries = new Set(machines.filter(({ kind }) => kind === 'entry')
        .flatMap(({ id, address }) => [id, address, hostOf(address)]))
      for (const name of this.#entries) this.#everListed.add(name)
      this.#parts.onListed(changed)
    })
    this.#timer = setTimeout(() => this.start(), this.#parts.intervalMs)
  }
}

function hostOf (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}
