import type { SlotHolding, SlotMove } from '@gypsumspring/protocol'
import type { SlotAnswer, SlotRegistration, SlotRunner } from '../../types.ts'

export interface Bound {
  held: number
  inUse: number
  avoided: boolean
}

/** Tokens that one incarnation of an entry holds at most. */
export interface Claim {
  entry: string
  incarnation: string
  /** Listed in the row. */
  registered: boolean
  retiredAt: number | undefined
  leftAt: number | undefined
  leaving: boolean
  /** Whether it has reported to this allocator; until then its holdings are unknown. */
  answered: boolean
  lastContact: number
  /** When it was last named as a holder of tokens that another entry lacks. */
  noticedAt: number
  lastSequence: number
  lastAnswer: SlotAnswer | undefined
  /** By runner key. */
  bounds: Map<string, Bound>
  /** By endpoint. */
  loads: Map<string, EndpointLoad>
}

/** Without the tokens of runners that the entry avoids: those are of no use to it. */
export interface EndpointLoad {
  held: number
  inUse: number
  waiting: number
  smoothed: number
  /** Since when requests wait although no token is held. */
  hungrySince: number | undefined
}

export interface RunnerSlots extends SlotRunner {
  /** Sum of the bounds of all claims. */
  held: number
  /** Not lent while an incarnation that may hold them has not answered. */
  withheld: number
}

export const runnerKey = (place: { endpoint: string, runner: string }): string => `${place.endpoint}/${place.runner}`
const claimKey = (place: { entry: string, incarnation: string }): string => `${place.entry}/${place.incarnation}`

/** Keeps the counts: for each runner, slots = held by claims + withheld + free. */
export class Claims {
  readonly runners = new Map<string, RunnerSlots>()
  readonly #claims = new Map<string, Claim>()
  readonly #unanswered = new Set<Claim>()

  all (): Claim[] {
    return [...this.#claims.values()]
  }

  find (entry: string, incarnation: string): Claim | undefined {
    return this.#claims.get(claimKey({ entry, incarnation }))
  }

  add (registration: SlotRegistration, now: number, options: { registered: boolean, answered: boolean }): Claim {
    const claim: Claim = {
      entry: registration.entry,
      incarnation: registration.incarnation,
      registered: options.registered,
      retiredAt: registration.retired ? now : undefined,
      leftAt: undefined,
      leaving: false,
      answered: options.answered,
      lastContact: now,
      noticedAt: -Infinity,
      lastSequence: -1,
      lastAnswer: undefined,
      bounds: new Map(),
      loads: new Map()
    }
    this.#claims.set(claimKey(claim), claim)
    if (!claim.answered) this.#unanswered.add(claim)
    return claim
  }

  /** The claim's tokens are certainly no longer in use. */
  close (claim: Claim): void {
    this.replaceBounds(claim, [])
    this.#claims.delete(claimKey(claim))
    this.#settle(claim)
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

  /** Takes a report as the whole truth about what its sender holds. */
  replaceBounds (claim: Claim, holdings: SlotHolding[]): void {
    for (const [key, bound] of claim.bounds) {
      const runner = this.runners.get(key)
      if (runner === undefined) continue
      runner.held -= bound.held
      if (runner.slots === 0 && runner.held === 0) this.runners.delete(key)
    }
    claim.bounds.clear()
    for (const load of claim.loads.values()) load.held = load.inUse = load.waiting = 0
    for (const { endpoint, runner, held, inUse, avoided } of holdings) {
      const bound = this.raise(claim, { endpoint, runner, slots: held }, avoided)
      bound.inUse += inUse
      if (!avoided) this.load(claim, endpoint).inUse += inUse
    }
    if (claim.answered) return
    for (const [key, { held }] of claim.bounds) {
      const runner = this.runners.get(key)
      if (runner !== undefined) runner.withheld = Math.max(0, runner.withheld - held)
    }
    this.#settle(claim)
  }

  raise (claim: Claim, move: SlotMove, avoided = false): Bound {
    const key = runnerKey(move)
    const runner = this.runners.get(key) ?? this.#addRunner({ endpoint: move.endpoint, runner: move.runner, slots: 0 })
    runner.held += move.slots
    const bound = claim.bounds.get(key) ?? { held: 0, inUse: 0, avoided }
    bound.held += move.slots
    claim.bounds.set(key, bound)
    if (!bound.avoided) this.load(claim, move.endpoint).held += move.slots
    return bound
  }

  load (claim: Claim, endpoint: string): EndpointLoad {
    let load = claim.loads.get(endpoint)
    if (load === undefined) {
      load = { held: 0, inUse: 0, waiting: 0, smoothed: 0, hungrySince: undefined }
      claim.loads.set(endpoint, load)
    }
    return load
  }

  #addRunner (runner: SlotRunner): RunnerSlots {
    // A runner that was removed and added again may still be held by an incarnation that has not answered.
    const added = { ...runner, held: 0, withheld: this.#unanswered.size > 0 ? runner.slots : 0 }
    this.runners.set(runnerKey(runner), added)
    return added
  }

  #resize (runner: RunnerSlots, slots: number): void {
    if (this.#unanswered.size > 0 && slots > runner.slots) runner.withheld += slots - runner.slots
    runner.slots = slots
  }

  #settle (claim: Claim): void {
    claim.answered = true
    if (!this.#unanswered.delete(claim) || this.#unanswered.size > 0) return
    for (const runner of this.runners.values()) runner.withheld = 0
  }
}
