import { checkByteCounts } from './_lib/checkByteCounts.ts'
import { fitLine } from './_lib/fitLine.ts'
import { round } from './_lib/cell.ts'
import { measureConfiguration } from './_lib/measureConfiguration.ts'
import { measureEntries } from './_lib/measureEntries.ts'
import { measureScheduler } from './_lib/measureSchedulers.ts'
import type { Benchmark } from '../benchmarks.ts'

const WORKER_COUNTS = [50, 200, 750]
const RUNNER_COUNTS = [30, 120, 480]
const PROCESS_COUNTS = [8, 24, 64]

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
  for (const processes of PROCESS_COUNTS) {
    await measureConfiguration(processes, (row) => {
      rows.push(row)
      report({ part: 'configuration', ...row })
    })
  }
  reportSlopes(rows.filter((row) => row['workloads'] === undefined), 'configuration', 'processes', report)
  const changes = rows.filter((row) => row['workloads'] !== undefined)
  reportSlopes(changes, 'configuration-change', 'manifestBytes', report)
}

/** Reports the line through each figure against a size. */
function reportSlopes (rows: Row[], part: string, size: string, report: Parameters<Benchmark>[0]): void {
  for (const figure of Object.keys(rows[0] ?? {})) {
    if (figure === size) continue
    const points = rows.map((row): [number, number] => [row[size] as number, row[figure] as number])
    const { slope, intercept, deviation } = fitLine(points)
    report({ part: `${part}-slope`, against: size, figure, slope: round(slope), intercept: round(intercept), deviation: round(deviation) })
  }
}
