import { checkByteCounts } from './_lib/checkByteCounts.ts'
import { fitLine } from './_lib/fitLine.ts'
import { round } from './_lib/cell.ts'
import { measureConfiguration } from './_lib/measureConfiguration.ts'
import { measureEntries } from './_lib/measureEntries.ts'
import { measureScheduler } from './_lib/measureSchedulers.ts'
import { measureVmList } from './_lib/measureVmList.ts'
import type { Benchmark } from '../benchmarks.ts'

const WORKER_COUNTS = [50, 200, 750]
const RUNNER_COUNTS = [30, 120, 480]
const PROCESS_COUNTS = [8, 24, 64]
/** Workloads of the manifests whose changes are counted in bytes. */
const WORKLOAD_COUNTS = [0, 100, 1000]
const LISTED_WORKERS = [0, 2400, 8000, 24_000]

type Row = Record<string, number>

/**
 * Measures memory, processor time, bytes and store calls of the processes of small cells at three sizes each, and the
 * slopes between them; docs/CAPACITY.md works out the size in two years from them. Cells of up to 70 processes run on
 * loopback for about two minutes.
 *
 * @param report - Receives a row for each size and each slope. KB are 1,000 bytes, MB 1,048,576.
 * @throws Error when a cell does not reach a state that is measured.
 *
 * @example
 * await measureCapacity(console.log)
 */
export const measureCapacity: Benchmark = async (report) => {
  report({ part: 'byte-counts', ...await checkByteCounts() })
  // Cells of one part run side by side, to keep the whole within about two minutes.
  const collect = async (part: string, sizes: number[], measure: (size: number) => Promise<Row>): Promise<Row[]> => {
    return await Promise.all(sizes.map(async (size) => {
      const row = await measure(size)
      report({ part, ...row })
      return row
    }))
  }
  reportSlopes(await collect('scheduler', WORKER_COUNTS, measureScheduler), 'scheduler', 'workers', report)
  reportSlopes(await collect('entry', RUNNER_COUNTS, measureEntries), 'entry', 'runners', report)
  const rows: Row[] = []
  const changes: Row[] = []
  const lists: Row[] = []
  const keep = (part: string, target: Row[]) => (row: Row) => {
    target.push(row)
    report({ part, ...row })
  }
  const spread = async (processes: number, workloads: number[] = []) => await measureConfiguration(processes, (row) =>
    row['workloads'] === undefined ? keep('configuration', rows)(row) : keep('configuration-change', changes)(row), workloads)
  const [small, middle, large] = PROCESS_COUNTS as [number, number, number]
  await Promise.all([
    spread(small), spread(middle, WORKLOAD_COUNTS), measureVmList(LISTED_WORKERS, keep('vm-list', lists))
  ])
  await spread(large)
  reportSlopes(lists, 'vm-list', 'workers', report)
  reportSlopes(rows, 'configuration', 'processes', report)
  const doublings = rows.map(({ processes, spreadMedianMs, spreadMaxMs }) =>
    ({ log2Processes: Math.log2(processes as number), spreadMedianMs, spreadMaxMs })) as Row[]
  reportSlopes(doublings, 'configuration', 'log2Processes', report)
  reportSlopes(changes, 'configuration-change', 'manifestBytes', report)
}

/** Figures that only describe a step. */
const STEP_FIGURES = /^(fill|churn|busy|steady)Seconds$|nswered$|^(tasks|processes|workloads)$/

/** Reports the line through each figure against a size. */
function reportSlopes (rows: Row[], part: string, size: string, report: Parameters<Benchmark>[0]): void {
  for (const figure of Object.keys(rows[0] ?? {})) {
    if (figure === size || STEP_FIGURES.test(figure)) continue
    const points = rows.map((row): [number, number] => [row[size] as number, row[figure] as number])
    const { slope, intercept, deviation } = fitLine(points)
    report({
      part: `${part}-slope`,
      against: size,
      figure,
      slope: round(slope),
      intercept: round(intercept),
      deviation: round(deviation)
    })
  }
}
