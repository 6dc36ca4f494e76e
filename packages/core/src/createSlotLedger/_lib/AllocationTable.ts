import type { SlotHolding, SlotMove } from '@gypsumspring/protocol'
import type { SlotRegistration, SlotResponse, SlotRunner } from '../../types.ts'

/** Upper bound on the tokens of one runner that an incarnation of an entry holds. */
export interface TokenBound {
  held: number
  inUse: number
  avoided: boolean
}

/** Upper bounds on the tokens that one incarnation of an entry holds, and what is known of that incarnation. */
export interface Allocation {
  entry: string
  incarnation: string
  /** Listed in the allocator's stored row. */
  registered: boolean
  /** When a newer incarnation of the entry was first seen. */
  retiredAt: number | undefined
  /** When the entry reported that it leaves and holds nothing, or its VM was no longer listed. */
  leftAt: number | undefined
  /** The last report said that the entry is leaving. */
  leaving: boolean
  /** False until the first report to this allocator; until then the holdings are unknown. */
  hasReported: boolean
  lastContact: number
  /** When the entry was last selected for a notification to report. */
  notifiedAt: number
  lastSequence: number
  lastResponse: SlotResponse | undefined
  /** By runner key. */
  bounds: Map<string, TokenBound>
  /** By endpoint. */
  loads: Map<string, EndpointLoad>
}

/** Load of an entry at one endpoint. Excludes tokens of runners that the entry avoids, since it does not use them. */
export interface EndpointLoad {
  held: number
  inUse: number
  waiting: number
  /** Moving average of the requests in flight and waiting. */
  smoothed: number
  /** Since when requests have been waiting while the entry holds no token. */
  starvingSince: number | undefined
}

export interface RunnerSlots extends SlotRunner {
  /** Sum of the bounds of all allocations. */
  held: number
  /** Tokens not granted while an incarnation that may hold them has not reported. */
  withheld: number
}

export const runnerKey = (key: { endpoint: string, runner: string }): string => `${key.endpoint}/${key.runner}`
const allocationKey = (key: { entry: string, incarnation: string }): string => `${key.entry}/${key.incarnation}`

/** Token counts of all entries and runners. For each runner, slots = held + withheld + free. */
export class AllocationTable {
  readonly runners = new Map<string, RunnerSlots>()
  readonly #allocations = new Map<string, Allocation>()
  readonly #unreported = new Set<Allocation>()

  all (): Allocation[] {
    return [...this.#allocations.values()]
  }

  find (entry: string, incarnation: string): Allocation | undefined {
    return this.#allocations.get(allocationKey({ entry, incarnation }))
  }

  add (
    registration: SlotRegistration, now: number, options: { registered: boolean, hasReported: boolean }
  ): Allocation {
    const allocation: Allocation = {
      entry: registration.entry,
      incarnation: registration.incarnation,
      registered: options.registered,
      retiredAt: registration.retired ? now : undefined,
      leftAt: undefined,
      leaving: false,
      hasReported: options.hasReported,
      lastContact: now,
      notifiedAt: -Infinity,
      lastSequence: -1,
      lastResponse: undefined,
      bounds: new Map(),
      loads: new Map()
    }
    this.#allocations.set(allocationKey(allocation), allocation)
    if (!allocation.hasReported) this.#unreported.add(allocation)
    return allocation
  }

  /** Removes an allocation whose tokens are certainly no longer in use. */
  remove (allocation: Allocation): void {
    this.replaceBounds(allocation, [])
    this.#allocations.delete(allocationKey(allocation))
    this.#markReported(allocation)
  }

  setRunners (runners: SlotRunner[]): void {
    const listed = new Set(runners.map(runnerKey))
    for (const [key, runner] of this.runners) {
      if (listed.has(key)) continue
      if (runner.held > 0) runner.slots = 0
      else this.runners.delete(key)
    }
    for (const runner of runners) {
      const known = this.runners.get(runnerKey(runner))
      if (known === undefined) this.#addRunner(runner)
      else this.#resize(known, runner.slots)
    }
  }

  free (runner: RunnerSlots): number {
    return runner.slots - runner.held - runner.withheld
  }

  /** Replaces the bounds of an allocation by the holdings of a report, which are complete. */
  replaceBounds (allocation: Allocation, holdings: SlotHolding[]): void {
    for (const [key, bound] of allocation.bounds) {
      const runner = this.runners.get(key)
      if (runner === undefined) continue
      runner.held -= bound.held
      if (runner.slots === 0 && runner.held === 0) this.runners.delete(key)
    }
    allocation.bounds.clear()
    for (const load of allocation.loads.values()) load.held = load.inUse = load.waiting = 0
    for (const { endpoint, runner, held, inUse, avoided } of holdings) {
      const bound = this.addTokens(allocation, { endpoint, runner, slots: held }, avoided)
      bound.inUse += inUse
      if (!avoided) this.load(allocation, endpoint).inUse += inUse
    }
    if (allocation.hasReported) return
    for (const [key, { held }] of allocation.bounds) {
      const runner = this.runners.get(key)
      if (runner !== undefined) runner.withheld = Math.max(0, runner.withheld - held)
    }
    this.#markReported(allocation)
  }

  addTokens (allocation: Allocation, move: SlotMove, avoided = false): TokenBound {
    const key = runnerKey(move)
    const runner = this.runners.get(key) ?? this.#addRunner({ endpoint: move.endpoint, runner: move.runner, slots: 0 })
    runner.held += move.slots
    const bound = allocation.bounds.get(key) ?? { held: 0, inUse: 0, avoided }
    bound.held += move.slots
    allocation.bounds.set(key, bound)
    if (!bound.avoided) this.load(allocation, move.endpoint).held += move.slots
    return bound
  }

  load (allocation: Allocation, endpoint: string): EndpointLoad {
    let load = allocation.loads.get(endpoint)
    if (load === undefined) {
      load = { held: 0, inUse: 0, waiting: 0, smoothed: 0, starvingSince: undefined }
      allocation.loads.set(endpoint, load)
    }
    return load
  }

  #addRunner (runner: SlotRunner): RunnerSlots {
    // An incarnation that has not reported may still hold tokens of a runner that was removed and added again.
    const added = { ...runner, held: 0, withheld: this.#unreported.size > 0 ? runner.slots : 0 }
    this.runners.set(runnerKey(runner), added)
    return added
  }

  #resize (runner: RunnerSlots, slots: number): void {
    if (this.#unreported.size > 0 && slots > runner.slots) runner.withheld += slots - runner.slots
    runner.slots = slots
  }

  #markReported (allocation: Allocation): void {
    allocation.hasReported = true
    if (!this.#unreported.delete(allocation) || this.#unreported.size > 0) return
    for (const runner of this.runners.values()) runner.withheld = 0
  }
}
