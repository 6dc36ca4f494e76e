import type { Inventory, Machine } from '@gypsumspring/adapters'
import { done, type Outcome } from '@gypsumspring/protocol'
import { FaultSwitch } from '../faults/index.ts'

/** A list of VMs in memory; answers are as old as the fault `lagMs` says. */
export class MemoryInventory implements Inventory {
  readonly faults = new FaultSwitch()
  readonly #history: Array<{ at: number, machines: Machine[] }> = [{ at: 0, machines: [] }]

  list (): Promise<Outcome<Machine[]>> {
    return this.faults.apply(() => {
      const visibleUntil = performance.now() - this.faults.settings.lagMs
      const visible = this.#history.findLast((entry) => entry.at <= visibleUntil)
      return done(visible?.machines ?? [])
    })
  }

  /** Adds a VM or replaces the one with the same id. */
  put (machine: Machine): void {
    this.#replace([...this.#current.filter(({ id }) => id !== machine.id), machine])
  }

  remove (id: string): void {
    this.#replace(this.#current.filter((machine) => machine.id !== id))
  }

  get #current (): Machine[] {
    return this.#history.at(-1)?.machines ?? []
  }

  #replace (machines: Machine[]): void {
    this.#history.push({ at: performance.now(), machines })
  }
}
