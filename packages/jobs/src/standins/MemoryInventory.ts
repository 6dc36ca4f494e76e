import { done, notDone, sleep, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import type { MachineEntry, WorkerInventory } from '../ports.ts'
import type { MemoryWorker } from './MemoryWorker.ts'

/**
 * Injected fault of one listing:
 * - `refused`: it fails at once.
 * - `silent`: it times out.
 * - `stale`: it shows what the last complete listing has shown.
 */
export type InventoryFault = 'refused' | 'silent' | 'stale' | undefined

/** Time after which a listing without an answer fails, in ms. */
const TIMEOUT_MS = 500

/** Simulated inventory of the machines on which the workers run. */
export class MemoryInventory implements WorkerInventory {
  /** The latest worker of each machine, by the machine's name. */
  readonly machines = new Map<string, MemoryWorker>()
  /** Chooses the fault to inject into each listing. */
  fault: () => InventoryFault = () => undefined
  /** Whether a listing leaves out a machine that moves between its pages. */
  isMissed: (machine: string) => boolean = () => false
  /** Time between the moment that a listing shows and its answer, in ms. */
  latencyMs = 10
  listings = 0
  #latest: MachineEntry[] = []

  async listMachines (): Promise<Outcome<readonly MachineEntry[]>> {
    this.listings++
    const fault = this.fault()
    if (fault === 'refused') return notDone('overloaded', 'too many listings')
    if (fault === 'silent') {
      await sleep(TIMEOUT_MS)
      return unknownEffect('timeout', 'no answer from the inventory')
    }
    if (fault !== 'stale') this.#latest = this.#list()
    const shown = this.#latest
    await sleep(this.latencyMs)
    return done(shown)
  }

  #list (): MachineEntry[] {
    return [...this.machines].filter(([machine]) => !this.isMissed(machine))
      .map(([machine, { alive, entry }]) => ({ machine, worker: alive ? entry.id : '' }))
  }
}
