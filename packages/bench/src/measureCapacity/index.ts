import { roundToPrecision } from './_lib/cellHelpers.ts'
import { compareByteCounts } from './_lib/compareByteCounts.ts'
import { fitLine } from './_lib/fitLine.ts'
import { measureConfiguration } from './_lib/measureConfiguration.ts'
import { measureEntries } from './_lib/measureEntries.ts'
import { measureScheduler } from './_lib/measureScheduler.ts'
import { measureVmList } from './_lib/measureVmList.ts'
import type { Benchmark } from '../benchmarks.ts'

const WORKER_COUNTS = [50, 200, 750]
const RUNNER_COUNTS = [30, 120, 480]
const PROCESS_COUNTS = [8, 24, 64]
/** Numbers of workloads in the manifests for which the bytes per change are measured. */
const WORKLOAD_COUNTS = [0, 100, 1000]
const LISTED_WORKER_COUNTS = [0, 2400, 8000, 24_000]

type Row = Record<string, number>

/**
 * Measures memory, processor time, network bytes and store calls of the processes of small cells at several sizes, and
 * fits a line to each figure. docs/CAPACITY.md extrapolates from the lines to the size expected in two years. Cells of
 * up to 70 processes run on the loopback interface for about two minutes.
 *
 * @param report - Receives a row for each size and each slope. A KB is 1,000 bytes, an MB 1,048,576 bytes.
 * @throws Error when a cell does not reach an awaited state in time.
 *
 * @example
 * await measureCapacity(console.log)
 */
export const measureCapacity: Benchmark = async (report) => {
  report({ part: 'byte-counts', ...await compareByteCounts() })
  // The cells of one part run concurrently, which keeps the benchmark within about two minutes.
  const measureSizes = async (
    part: string, sizes: number[], measure: (size: number) => Promise<Row>
  ): Promise<Row[]> => {
    return await Promise.all(sizes.map(async (size) => {
      const row = await measure(size)
      report({ part, ...row })
      return row
    }))
  }
  reportSlopes(await measureSizes('scheduler', WORKER_COUNTS, measureScheduler), 'scheduler', 'workers', report)
  reportSlopes(await measureSizes('entry', RUNNER_COUNTS, measureEntries), 'entry', 'runners', report)
  const configurationRows: Row[] = []
  const changeRows: Row[] = []
  const vmListRows: Row[] = []
  const collectInto = (part: string, collected: Row[]) => (row: Row) => {
    collected.push(row)
    report({ part, ...row })
  }
  const reportConfiguration = collectInto('configuration', configurationRows)
  const reportChange = collectInto('configuration-change', changeRows)
  const measureProcesses = async (processes: number, workloads: number[] = []) =>
    await measureConfiguration(processes, (row) =>
      row['workloads'] === undefined ? reportConfiguration(row) : reportChange(row), workloads)
  const [small, medium, large] = PROCESS_COUNTS as [number, number, number]
  await Promise.all([
    measureProcesses(small),
    measureProcesses(medium, WORKLOAD_COUNTS),
    measureVmList(LISTED_WORKER_COUNTS, collectInto('vm-list', vmListRows))
  ])
  await measureProcesses(large)
  reportSlopes(vmListRows, 'vm-list', 'workers', report)
  reportSlopes(configurationRows, 'configuration', 'processes', report)
  const log2Rows = configurationRows.map(({ processes, spreadMedianMs, spreadMaxMs }) =>
    ({ log2Processes: Math.log2(processes as number), spreadMedianMs, spreadMaxMs })) as Row[]
  reportSlopes(log2Rows, 'configuration', 'log2Processes', report)
  reportSlopes(changeRows, 'configuration-change', 'manifestBytes', report)
}

/** Figures that describe how a step went and are not fitted against its size. */
const FIGURES_WITHOUT_SLOPE = /^(fill|churn|busy|steady)Seconds$|nswered$|^(tasks|processes|workloads)$/

/** Fits each figure of the rows against a size and reports the lines. */
function reportSlopes (rows: Row[], part: string, size: string, report: Parameters<Benchmark>[0]): void {
  for (const figure of Object.keys(rows[0] ?? {})) {
    if (figure === size || FIGURES_WITHOUT_SLOPE.test(figure)) continue
    const points = rows.map((row): [number, number] => [row[size] as number, row[figure] as number])
    const { slope, intercept, deviation } = fitLine(points)
    report({
      part: `${part}-slope`,
      against: size,
      figure,
      slope: roundToPrecision(slope),
      intercept: roundToPrecision(intercept),
      deviation: roundToPrecision(deviation)
    })
  }
}
