import type { TaskGroup } from '../../types.ts'
import { RUN_TIME_RATIO_LIMITS, RUN_TIME_SAMPLE_WEIGHT } from '../constants/index.ts'

/** Learns run times of groups, and of teams the ratio between actual and declared run times. */
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

  /** Expected run time in ms: that of the group's own tasks, else the declared one corrected by the team's ratio. */
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

function smooth (previous: number | undefined, sample: number): number {
  return previous === undefined ? sample : previous + RUN_TIME_SAMPLE_WEIGHT * (sample - previous)
}
