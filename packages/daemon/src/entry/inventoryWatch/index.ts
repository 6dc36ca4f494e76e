import { throwUncaught } from '@gypsumspring/protocol'
import type { Inventory } from '@gypsumspring/adapters'
import type { Metrics } from '../../metrics/index.ts'

export interface InventoryWatchOptions {
  inventory: Inventory
  intervalMs: number
  /** Called after each successful listing; `changed` is true if the set of leaving VMs has changed. */
  onListed: (changed: boolean) => void
  metrics: Metrics
}

/** Polls the list of VMs and tracks which of them are leaving or gone. */
export class InventoryWatch {
  readonly #options: InventoryWatchOptions
  #leavingVms: ReadonlySet<string> = new Set()
  /** Ids, addresses and hosts of the entry VMs in the last listing. */
  #listedEntries = new Set<string>()
  /** Ids, addresses and hosts of the entry VMs in all listings. */
  readonly #everListedEntries = new Set<string>()
  #timer: ReturnType<typeof setTimeout> | undefined
  #closed = false

  constructor (options: InventoryWatchOptions) {
    this.#options = options
  }

  start (): void {
    this.#poll().catch(throwUncaught)
  }

  close (): void {
    this.#closed = true
    clearTimeout(this.#timer)
  }

  /** Ids of VMs listed as leaving, by the last successful listing. */
  leavingVms (): ReadonlySet<string> {
    return this.#leavingVms
  }

  /**
   * Whether an entry was listed before and no longer is. The list has VMs, not processes, so the entry is looked up by
   * the first of its id, its address and its host that was ever listed.
   */
  hasLeft (id: string, address: string | undefined): boolean {
    const names = address === undefined ? [id] : [id, address, hostOf(address)]
    const name = names.find((candidate) => this.#everListedEntries.has(candidate))
    return name !== undefined && !this.#listedEntries.has(name)
  }

  async #poll (): Promise<void> {
    const outcome = await this.#options.inventory.list()
    if (this.#closed) return
    outcome.ifLeft(({ reason }) => this.#options.metrics.count('inventory_failed', { reason }))
    outcome.ifRight((machines) => {
      const leaving = new Set(machines.filter(({ state }) => state === 'leaving').map(({ id }) => id))
      const changed = leaving.size !== this.#leavingVms.size || [...leaving].some((id) => !this.#leavingVms.has(id))
      this.#leavingVms = leaving
      this.#listedEntries = new Set(machines.filter(({ kind }) => kind === 'entry')
        .flatMap(({ id, address }) => [id, address, hostOf(address)]))
      for (const name of this.#listedEntries) this.#everListedEntries.add(name)
      this.#options.onListed(changed)
    })
    this.#timer = setTimeout(() => this.start(), this.#options.intervalMs)
  }
}

function hostOf (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}
