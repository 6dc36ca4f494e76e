import type { TaskGroup } from '../../types.ts'
import { RUN_TIME_RATIO_LIMITS, RUN_TIME_SAMPLE_WEIGHT } from '../constants/index.ts'

/** Learns the run times of each group, and the ratio of actual to declared run time of each team. */
export class RunTimeEstimator {
  readonly #groupRunTimes = new Map<string, number>()
  readonly #teamRatios = new Map<string, number>()

  record (group: TaskGroup, runMs: number): void {
    this.#groupRunTimes.set(group.id, smooth(this.#groupRunTimes.get(group.id), runMs))
    if (group.estimatedRunMs === undefined || group.estimatedRunMs <= 0) return
    const { lowest, highest } = RUN_TIME_RATIO_LIMITS
    const ratio = Math.min(highest, Math.max(lowest, runMs / group.estimatedRunMs))
    this.#teamRatios.set(group.team, smooth(this.#teamRatios.get(group.team), ratio))
  }

  /**
   * Estimates the run time in ms: the average of the group's own tasks if any has finished, otherwise the declared
   * estimate multiplied by the team's ratio. Undefined for a service, and when nothing is known or declared.
   */
  estimate (group: TaskGroup): number | undefined {
    if (group.kind === 'service') return undefined
    const learned = this.#groupRunTimes.get(group.id)
    if (learned !== undefined) return learned
    if (group.estimatedRunMs === undefined) return undefined
    return group.estimatedRunMs * (this.#teamRatios.get(group.team) ?? 1)
  }

  forget (group: string): void {
    this.#groupRunTimes.delete(group)
  }
}

/** Exponential moving average. */
function smooth (previous: number | undefined, sample: number): number {
  return previous === undefined ? sample : previous + RUN_TIME_SAMPLE_WEIGHT * (sample - previous)
}
