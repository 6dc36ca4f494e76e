import type { Inventory, Machine } from '@gypsumspring/adapters'
import { done, type Outcome } from '@gypsumspring/protocol'
import { FaultInjector } from '../faults/index.ts'

/** Past lists kept for the fault `lagMs`. The first, an empty list, is never dropped. */
const MAX_HISTORY_ENTRIES = 1000

/** In-memory VM inventory with fault injection; the fault `lagMs` makes it return past lists. */
export class MemoryInventory implements Inventory {
  readonly faults = new FaultInjector()
  readonly #history: Array<{ at: number, machines: Machine[] }> = [{ at: 0, machines: [] }]

  list (): Promise<Outcome<Machine[]>> {
    return this.faults.apply(() => {
      const visibleUntil = performance.now() - this.faults.settings.lagMs
      const visible = this.#history.findLast((entry) => entry.at <= visibleUntil)
      return done(structuredClone(visible?.machines ?? []))
    })
  }

  /** Adds VMs, or replaces those with the same ids. */
  put (...machines: Machine[]): void {
    const replaced = new Set(machines.map(({ id }) => id))
    this.#replace([...this.#current.filter(({ id }) => !replaced.has(id)), ...structuredClone(machines)])
  }

  remove (id: string): void {
    this.#replace(this.#current.filter((machine) => machine.id !== id))
  }

  get #current (): Machine[] {
    return this.#history.at(-1)?.machines ?? []
  }

  #replace (machines: Machine[]): void {
    this.#history.push({ at: performance.now(), machines })
    if (this.#history.length > MAX_HISTORY_ENTRIES) this.#history.splice(1, 1)
  }
}
