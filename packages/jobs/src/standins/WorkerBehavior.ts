import type { SeededRandom } from './SeededRandom.ts'

/**
 * What the interface of workers leaves open; docs/standins.md has the sentences. The defaults are constant, for tests
 * of something else. `draw` varies all but `maxListedEnds`.
 */
export class WorkerBehavior {
  /** Time that a run takes to stop, in ms. */
  stopMs: () => number = () => 300
  /** Time from the end of a run until its end is listed, in ms. The run is listed as running meanwhile. */
  listingDelayMs: () => number = () => 0
  /** Time after which a member of a gang notices that another one has ended, in ms. */
  breakDelayMs: () => number = () => 0
  /** Whether a member that starts after another one of its run has ended breaks, instead of waiting for the others. */
  breaksLateMembers: () => boolean = () => false
  /** Time between two checkpoints of a run, in ms. */
  checkpointIntervalMs: () => number = () => Infinity
  /** Difference between the numbers of two successive ends. */
  sequenceStep: () => number = () => 1
  /** Most ends in one report; the others follow once these are acknowledged. The default is that of the platform. */
  maxListedEnds = 500
  /** Returns the rows of a list in the order in which a report has them. */
  orderRows: <Row>(rows: Row[]) => Row[] = (rows) => rows
  /** Network latency in each direction, in ms. Answers of different calls may overtake each other. */
  latencyMs: () => number = () => 2
  /** Time after which a `late` call takes effect, in ms. */
  lateMs: () => number = () => 3_000
  /** Milliseconds of a worker's clock in one of the process clock. */
  clockRate: () => number = () => 1

  /**
   * Draws a behavior for a seed, and the times of each run and call later on.
   *
   * @param limits.stopMs - Longest time that a run takes to stop, in ms.
   * @param limits.lateMs - Longest time after which a `late` call takes effect, in ms.
   */
  draw (random: SeededRandom, { stopMs, lateMs }: { stopMs: number, lateMs: number }): void {
    const drawDelay = (maxMs: number) => {
      const share = random.pick([0, 0, 0.3, 1])
      return () => random.chance(share) ? random.below(maxMs) : 0
    }
    this.stopMs = () => random.pick([0, random.below(stopMs), stopMs])
    this.listingDelayMs = drawDelay(200)
    this.breakDelayMs = drawDelay(random.pick([50, 400, 2_000]))
    this.breaksLateMembers = () => random.chance(0.5)
    this.checkpointIntervalMs = () => random.between(100, 900)
    this.sequenceStep = () => random.pick([1, 1, 3])
    this.orderRows = (rows) => shuffle(rows, random)
    const extraLatencyMs = drawDelay(40)
    this.latencyMs = () => 2 + extraLatencyMs()
    this.lateMs = () => random.between(100, lateMs)
    this.clockRate = () => random.pick([1, 0.98])
  }
}

function shuffle<Row> (rows: Row[], random: SeededRandom): Row[] {
  const shuffled = [...rows]
  for (let index = shuffled.length - 1; index > 0; index--) {
    const other = random.below(index + 1)
    ;[shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!]
  }
  return shuffled
}
