import type { TaskKey } from '../types.ts'
import type { SeededRandom } from './SeededRandom.ts'

/** Draws which members of a gang fail in a run: in many runs none, in others one, several or all of them. */
export class GangFailures {
  readonly #random: SeededRandom
  /** Share of the members that fail in each run of a gang. */
  readonly #shares = new Map<string, number>()

  constructor (random: SeededRandom) {
    this.#random = random
  }

  /** Draws whether a member fails in a run. */
  draw ({ job, step }: TaskKey, run: number): boolean {
    const name = `${job}.${step}.${run}`
    const share = this.#shares.get(name) ?? this.#random.pick([0, 0, 0.2, 0.7, 1])
    this.#shares.set(name, share)
    return this.#random.chance(share)
  }
}
