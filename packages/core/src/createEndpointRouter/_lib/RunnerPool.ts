import type { RunnerNode, SlotUsage } from '../../types.ts'
import {
  MAX_COMPARED_RUNNERS, MAX_EXCLUDED_SHARE, MAX_EXCLUSION_MS, SCORE_JITTER, SLOW_FACTOR, SLOW_PROBE_MS
} from '../constants/index.ts'
import { RunnerState } from './RunnerState.ts'

/** What the choice of a runner for a request depends on. */
interface SelectionCriteria {
  repeatable: boolean
  /** Runners that have already failed this request. */
  tried: ReadonlySet<string>
  /** Expected wait for another token, in ms; a slow runner is chosen only if it is faster than waiting. */
  tokenWaitMs: number
  /** Mean latency of the endpoint in ms; 0 while unknown. */
  meanMs: number
  /** Excludes slow runners and probes. */
  onlyHealthy?: boolean
}

/** The runners of an endpoint with the tokens that this entry holds, and the choice among them. */
export class RunnerPool {
  readonly #runners = new Map<string, RunnerState>()
  /** Until when tokens may be used, by failure domain. */
  readonly #expiries = new Map<string, number>()
  #list: RunnerState[] = []
  readonly #random: () => number

  constructor (random: () => number) {
    this.#random = random
  }

  find (id: string): RunnerState | undefined {
    return this.#runners.get(id)
  }

  get hasAvailableRunner (): boolean {
    return this.#list.some(({ available }) => available)
  }

  /** Tokens held of runners that accept new requests. */
  get held (): number {
    return this.#list.reduce((sum, runner) => sum + (runner.available ? runner.held : 0), 0)
  }

  get free (): number {
    return this.#list.reduce((sum, runner) => sum + (runner.available ? runner.free : 0), 0)
  }

  setRunners (nodes: RunnerNode[]): void {
    for (const runner of this.#list) runner.configured = false
    for (const node of nodes) {
      const runner = this.#runners.get(node.id) ?? new RunnerState(node)
      runner.node = node
      runner.configured = true
      this.#runners.set(node.id, runner)
    }
    for (const [id, runner] of this.#runners) {
      if (!runner.configured && runner.held === 0 && runner.inUse === 0) this.#runners.delete(id)
    }
    this.#list = [...this.#runners.values()]
  }

  grant (id: string, slots: number): void {
    const runner = this.#runners.get(id)
    // Ignoring the grant is safe: the allocator sees in the next report that the tokens are not held.
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

  listUsage (meanMs: number): SlotUsage[] {
    return this.#list.filter(({ held }) => held > 0).map((runner) => {
      const { node, held, inUse } = runner
      return { runner: node.id, failureDomain: node.failureDomain, held, inUse, avoided: isAvoided(runner, meanMs) }
    })
  }

  /** Chooses a runner with a free token; undefined if there is none, or if waiting for another token is faster. */
  choose (criteria: SelectionCriteria, now: number): RunnerState | undefined {
    const available = this.#list.filter((runner) => runner.available)
    const excluded = available.filter((runner) => runner.excludedUntil !== undefined).length
    const ignoreExclusion = excluded > available.length * MAX_EXCLUDED_SHARE
    const offset = Math.floor(this.#random() * available.length)
    // A runner that was already tried is used again only if the endpoint has no other one.
    const othersExist = available.some(({ node }) => !criteria.tried.has(node.id))
    let best: RunnerState | undefined
    let bestScore = Infinity
    let compared = 0
    for (let index = 0; index < available.length && compared < MAX_COMPARED_RUNNERS; index++) {
      const runner = available[(offset + index) % available.length] as RunnerState
      if (runner.free <= 0 || (othersExist && criteria.tried.has(runner.node.id))) continue
      const probe = this.#isProbeDue(runner, criteria, now)
      if (runner.excludedUntil !== undefined && !ignoreExclusion) {
        if (probe) return runner
        continue
      }
      if (probe) return runner
      compared++
      const score = this.#score(runner, criteria, now)
      if (score < bestScore) [best, bestScore] = [runner, score]
    }
    if (best === undefined) return undefined
    const expected = best.expectedMs(criteria.meanMs, now)
    const isWaitingFaster = criteria.tokenWaitMs + criteria.meanMs < expected
    const slow = criteria.meanMs > 0 && expected > SLOW_FACTOR * criteria.meanMs
    return slow && (criteria.onlyHealthy === true || isWaitingFaster) ? undefined : best
  }

  /**
   * Probes prefer repeatable requests, which can be retried or hedged if the runner has not recovered. Other requests
   * are used only after a long time without a repeatable one; otherwise an endpoint without repeatable requests would
   * never use the runner again.
   */
  #isProbeDue (runner: RunnerState, criteria: SelectionCriteria, now: number): boolean {
    if (criteria.onlyHealthy === true || runner.inUse > 0) return false
    const due = now - (criteria.repeatable ? 0 : MAX_EXCLUSION_MS)
    if (runner.excludedUntil !== undefined) return due >= runner.excludedUntil
    return isSlow(runner, criteria.meanMs) && due - runner.lastSentAt >= SLOW_PROBE_MS
  }

  #score (runner: RunnerState, criteria: SelectionCriteria, now: number): number {
    // Jitter lets a runner with an almost equal score be chosen sometimes. Without it, a single past failure keeps a
    // runner unused for as long as others are free.
    const jitter = 1 + SCORE_JITTER * this.#random()
    const expected = (runner.expectedMs(criteria.meanMs, now) + 1) * jitter
    return expected * (1 + runner.inUse / runner.held) / (1.05 - runner.expectedFailureRate(now)) ** 2
  }
}

function isSlow (runner: RunnerState, meanMs: number): boolean {
  return meanMs > 0 && runner.latencyMs !== undefined && runner.latencyMs > SLOW_FACTOR * meanMs
}

function isAvoided (runner: RunnerState, meanMs: number): boolean {
  return runner.available && (runner.excludedUntil !== undefined || isSlow(runner, meanMs))
}
