#!/usr/bin/env node
/** Runs the benchmarks named on the command line, or all of them. */
import { cac } from 'cac'
import { benchmarks, type BenchmarkName } from './benchmarks.ts'

const cli = cac('bench')
cli.command('[...names]', `run benchmarks: ${Object.keys(benchmarks).join(', ')}; all when none is named`)
  .option('--json', 'print one JSON object a line')
  .action(async (names: string[], options: { json?: boolean }) => {
    const unknown = names.filter((name) => !(name in benchmarks))
    if (unknown.length > 0) {
      process.stderr.write(`unknown benchmark: ${unknown.join(', ')}; known: ${Object.keys(benchmarks).join(', ')}\n`)
      process.exit(2)
    }
    const chosen = (names.length > 0 ? names : Object.keys(benchmarks)) as BenchmarkName[]
    for (const name of chosen) {
      await benchmarks[name]?.((row) => print({ bench: name, ...row }, options.json === true))
    }
  })
cli.help()
cli.parse()

function print (row: Record<string, string | number>, json: boolean): void {
  const line = json ? JSON.stringify(row) : Object.entries(row).map(([key, value]) => `${key}=${value}`).join(' ')
  process.stdout.write(`${line}\n`)
}
