import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { throwUncaught } from '@gypsumspring/protocol'
import { hashText } from '../hashText/index.ts'
import { createQueue, MemoryCell, SeededRandom } from '../standins/index.ts'
import type { Queue, Step } from '../types.ts'
import { createEndLog } from './describeCells.ts'

const WORKERS = 40
const CPU_MILLIS = 24_000

/** Time in which jobs arrive, and after which those that have arrived count, in ms. */
const PERIOD_MS = 30_000
const LEARNED_AFTER_MS = 8_000

/** A kind of job: two steps of some tasks. */
interface Kind {
  queue: Queue
  perSecond: number
  steps: number
  tasks: number
  runMs: number
  step: Partial<Step>
  /** Largest error of the declared run time, as a share of the true one. */
  error: number
  /** Share of the tasks that take `TAIL_FACTOR` times as long, in percent. */
  tailPercent: number
}

const TAIL_FACTOR = 7

const SHORT: Kind = {
  queue: createQueue('short', { priority: 0, stretch: 1.5, targetLatencyMs: 250 }),
  perSecond: 4,
  steps: 2,
  tasks: 10,
  runMs: 750,
  step: { demand: { cpuMillis: 4_500, memoryMb: 1_000, accelerators: 0 } },
  error: 0.9,
  tailPercent: 3
}

const LONG: Kind = {
  queue: createQueue('long', { priority: 2, stretch: 2.2, targetLatencyMs: 1_200 }),
  perSecond: 0.27,
  steps: 2,
  tasks: 17,
  runMs: 4_000,
  step: { demand: { cpuMillis: 9_000, memoryMb: 2_000, accelerators: 0 }, savesProgress: true },
  error: 0,
  tailPercent: 0
}

const KINDS = [SHORT, LONG]

/** Speeds of two thirds of the workers, and of the others. */
const SLOW = 0.7
const FAST = 1.7

/** Jobs differ so much that one play shows little. */
const SEEDS = [2, 3]

interface Play {
  seed: number
  learnsRunTimes: boolean
  /** Whether the labels of the workers tell their kinds. */
  showsKind: boolean
}

interface SubmittedJob {
  kind: Kind
  runMs: number
  submittedAt: number
}

/** Plays a load on workers of two speeds, and returns the share of the jobs of each kind that were in time. */
async function play (
  clock: Clock, { seed, learnsRunTimes, showsKind }: Play
): Promise<number[]> {
  const random = new SeededRandom(seed)
  const jobs = new Map<string, SubmittedJob>()
  const speedOf = (worker: string) => Number(worker.slice(1)) % 3 === 0 ? FAST : SLOW
  const workOf = (job: string, step: number, index: number) => {
    const { kind, runMs } = jobs.get(job)!
    const drawn = hashText(`${seed} ${job} ${step} ${index}`)
    return runMs * (0.9 + drawn % 20 / 100) * (Math.floor(drawn / 20) % 100 < kind.tailPercent ? TAIL_FACTOR : 1)
  }
  const log = createEndLog()
  const cell = new MemoryCell({
    workers: 0,
    learnsRunTimes,
    log,
    planRunEnd: ({ job, step, index }, _, worker) =>
      ({ reason: 'done', afterMs: workOf(job, step, index) / speedOf(worker) })
  })
  for (let index = 0; index < WORKERS; index++) {
    const id = `w${index}`
    const kind = showsKind ? [index % 3 === 0 ? 'b' : 'a'] : []
    const capacity = { cpuMillis: CPU_MILLIS, memoryMb: 65_536, accelerators: 0 }
    cell.addWorker(id, { labels: [...kind, `r${index % 8}`], capacity })
  }
  await clock.tickAsync(2_000)
  const startedAt = performance.now()
  for (const kind of KINDS) {
    for (let atMs = 0; atMs < PERIOD_MS; atMs += -Math.log(1 - random.below(1_000) / 1_000) * 1_000 / kind.perSecond) {
      setTimeout(() => {
        const id = jobs.size.toString(16).padStart(16, '0')
        const runMs = kind.runMs * (0.85 + random.below(300) / 1_000)
        const estimatedRunMs = runMs * (1 + kind.error * (random.below(2_000) / 1_000 - 1))
        jobs.set(id, { kind, runMs, submittedAt: performance.now() })
        const steps = Array.from({ length: kind.steps }, (_, index) => ({
          ...kind.step, count: kind.tasks, estimatedRunMs, after: index === 0 ? [] : [index - 1]
        }))
        cell.submit(id, steps, { queue: kind.queue }).catch(throwUncaught)
      }, atMs)
    }
  }
  await clock.tickAsync(PERIOD_MS + 30_000)
  const ended = cell.stop()
  await clock.tickAsync(10_000)
  await ended
  expect(cell.checker.violations).to.deep.equal([])
  return KINDS.map((kind) => {
    const counted = [...jobs].filter(([, job]) => job.kind === kind && job.submittedAt > startedAt + LEARNED_AFTER_MS)
    const inTime = counted.filter(([id, { submittedAt }]) => {
      const longest = (step: number) =>
        Math.max(...Array.from({ length: kind.tasks }, (_, index) => workOf(id, step, index)))
      const path = Array.from({ length: kind.steps }, (_, step) => longest(step)).reduce((sum, value) => sum + value)
      const { stretch, targetLatencyMs } = kind.queue
      return (log.endedAt.get(id) ?? Infinity) <= submittedAt + stretch * path + targetLatencyMs
    })
    return inTime.length / counted.length
  })
}

describe('Workers of different speeds', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  // Short jobs were late on slow workers, while long jobs that had time took up the fast ones.
  for (const showsKind of [true, false]) {
    it(`serve more short jobs in time once they are learned, with ${showsKind ? '' : 'no '}kinds in the labels`, async () => {
      const shares = { declared: 0, learned: 0 }
      for (const seed of SEEDS) {
        const [declared] = await play(clock, { seed, learnsRunTimes: false, showsKind })
        const [learned, long] = await play(clock, { seed, learnsRunTimes: true, showsKind })
        shares.declared += declared! / SEEDS.length
        shares.learned += learned! / SEEDS.length
        expect(long).to.be.at.least(0.95)
      }
      expect(shares.learned).to.be.at.least(shares.declared + 0.03)
    })
  }
})
