import type { Step } from '../types.ts'

/** The dependencies among the steps of a job. */
export class StepGraph {
  readonly #dependencies: ReadonlyArray<readonly number[]>

  /** @param steps the steps of a job, each of which depends on earlier ones only */
  constructor (steps: ReadonlyArray<Pick<Step, 'after'>>) {
    // A list with more entries than earlier steps repeats some: a legal job may name a step thousands of times.
    this.#dependencies = steps.map(({ after }, index) => after.length > index ? [...new Set(after)] : after)
  }

  /** Returns the steps that a step depends on. */
  dependenciesOf (step: number): readonly number[] {
    return this.#dependencies[step]!
  }

  /**
   * Returns for each step the length of the longest chain of dependent steps that begins with it.
   *
   * @param runMs - Run time of a step, in ms.
   * @returns Times in ms, in the order of the steps.
   */
  computePathsMs (runMs: (step: number) => number): number[] {
    const paths = this.#dependencies.map(() => 0)
    // Steps depend on earlier ones only, so all that depend on a step come before it in this order.
    for (let step = paths.length - 1; step >= 0; step--) {
      paths[step]! += runMs(step)
      for (const earlier of this.#dependencies[step]!) paths[earlier] = Math.max(paths[earlier]!, paths[step]!)
    }
    return paths
  }
}
