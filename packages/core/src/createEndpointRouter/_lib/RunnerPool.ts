import type { RunnerNode, SlotUse } from '../../types.ts'
import { CHOICES, EXCLUDED_SHARE_LIMIT, LONGEST_EXCLUSION_MS, SCORE_SPREAD, SLOW_FACTOR, SLOW_PROBE_MS } from '../constants/index.ts'
import { RunnerState } from './RunnerState.ts'

interface Wanted {
  repeatable: boolean
  tried: ReadonlySet<string>
  /** Expected wait in ms for another token; a slower runner is not worth it. */
  otherwiseMs: number
  typicalMs: number
  /** Neither slow runners nor probes. */
  onlyHealthy?: boolean
}

/** The endpoint's runners with the tokens held here, and the choice among them. */
export class RunnerPool {
  readonly #runners = new Map<string, RunnerState>()
  /** By failure domain: until when tokens may be used. */
  readonly #expiries = new Map<string, number>()
  #list: RunnerState[] = []
  readonly #random: () => number

  constructor (random: () => number) {
    this.#random = random
  }

  find (id: string): RunnerState | undefined {
    return this.#runners.get(id)
  }

  get anyOpen (): boolean {
    return this.#list.some(({ open }) => open)
  }

  /** Tokens of runners that get new requests. */
  get held (): number {
    return this.#list.reduce((sum, runner) => sum + (runner.open ? runner.held : 0), 0)
  }

  get free (): number {
    return this.#list.reduce((sum, runner) => sum + (runner.open ? runner.free : 0), 0)
  }

  setRunners (nodes: RunnerNode[]): void {
    for (const runner of this.#list) runner.present = false
    for (const node of nodes) {
      const runner = this.#runners.get(node.id) ?? new RunnerState(node)
      runner.node = node
      runner.present = true
      this.#runners.set(node.id, runner)
    }
    for (const [id, runner] of this.#runners) {
      if (!runner.present && runner.held === 0 && runner.inUse === 0) this.#runners.delete(id)
    }
    this.#list = [...this.#runners.values()]
  }

  grant (id: string, slots: number): void {
    const runner = this.#runners.get(id)
    // Not granting is safe: the allocator sees in the next report that the tokens are not held.
    if (runner !== undefined) runner.held += slots
  }

  release (id: string, slots: number): number {
    const runner = this.#runners.get(id)
    if (runner === undefined) return 0
    const released = Math.min(slots, runner.free)
    runner.held -= released
    runner.recalled = Math.min(slots - released, runner.inUse - runner.expired)
    return released
  }

  setExpiry (failureDomain: string, at: number): void {
    this.#expiries.set(failureDomain, Math.max(at, this.#expiries.get(failureDomain) ?? -Infinity))
  }

  expire (now: number): void {
    for (const runner of this.#list) {
      if (runner.held === runner.expired || now < (this.#expiries.get(runner.node.failureDomain) ?? -Infinity)) continue
      runner.held = runner.expired = runner.inUse
      runner.recalled = 0
    }
  }

  use (typicalMs: number): SlotUse[] {
    return this.#list.filter(({ held }) => held > 0).map((runner) => {
      const { node, held, inUse } = runner
      return { runner: node.id, failureDomain: node.failureDomain, held, inUse, avoided: isAvoided(runner, typicalMs) }
    })
  }

  /** Picks a runner with a free token, or none if waiting for another token is better. */
  choose (wanted: Wanted, now: number): RunnerState | undefined {
    const open = this.#list.filter((runner) => runner.open)
    const excluded = open.filter((runner) => runner.excludedUntil !== undefined).length
    const ignoreExclusion = excluded > open.length * EXCLUDED_SHARE_LIMIT
    const offset = Math.floor(this.#random() * open.length)
    // Runners already tried are used again only when there is no other one at all.
    const othersExist = open.some(({ node }) => !wanted.tried.has(node.id))
    let best: RunnerState | undefined
    let bestScore = Infinity
    let compared = 0
    for (let index = 0; index < open.length && compared < CHOICES; index++) {
      const runner = open[(offset + index) % open.length] as RunnerState
      if (runner.free <= 0 || (othersExist && wanted.tried.has(runner.node.id))) continue
      const probe = this.#isProbeDue(runner, wanted, now)
      if (runner.excludedUntil !== undefined && !ignoreExclusion) {
        if (probe) return runner
        continue
      }
      if (probe) return runner
      compared++
      const score = this.#score(runner, wanted, now)
      if (score < bestScore) [best, bestScore] = [runner, score]
    }
    if (best === undefined) return undefined
    const expected = best.expectedMs(wanted.typicalMs, now)
    const slow = wanted.typicalMs > 0 && expected > SLOW_FACTOR * wanted.typicalMs
    return slow && (wanted.onlyHealthy === true || wanted.otherwiseMs + wanted.typicalMs < expected) ? undefined : best
  }

  /**
   * Probes prefer repeatable requests: those can be retried or hedged if the runner has not recovered. Others are used
   * only when no repeatable one has come for long, since the runner would otherwise be lost to such an endpoint.
   */
  #isProbeDue (runner: RunnerState, wanted: Wanted, now: number): boolean {
    if (wanted.onlyHealthy === true || runner.inUse > 0) return false
    const due = now - (wanted.repeatable ? 0 : LONGEST_EXCLUSION_MS)
    if (runner.excludedUntil !== undefined) return due >= runner.excludedUntil
    return isSlow(runner, wanted.typicalMs) && due - runner.lastSentAt >= SLOW_PROBE_MS
  }

  #score (runner: RunnerState, wanted: Wanted, now: number): number {
    // The spread lets a runner whose figures are almost as good have its turn; without it the slightest past fault
    // keeps a runner out for good while others are free.
    const spread = 1 + SCORE_SPREAD * this.#random()
    const expected = (runner.expectedMs(wanted.typicalMs, now) + 1) * spread
    return expected * (1 + runner.inUse / runner.held) / (1.05 - runner.expectedFailures(now)) ** 2
  }
}

function isSlow (runner: RunnerState, typicalMs: number): boolean {
  return typicalMs > 0 && runner.latencyMs !== undefined && runner.latencyMs > SLOW_FACTOR * typicalMs
}

function isAvoided (runner: RunnerState, typicalMs: number): boolean {
  return runner.open && (runner.excludedUntil !== undefined || isSlow(runner, typicalMs))
}
