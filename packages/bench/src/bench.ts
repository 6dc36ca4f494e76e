#!/usr/bin/env node
/** Command line of the benchmarks: runs those named as arguments, or all of them. */
import { cac } from 'cac'
import { benchmarks } from './benchmarks.ts'

const cli = cac('bench')
cli.command('[...names]', `run benchmarks: ${Object.keys(benchmarks).join(', ')}; all when none is named`)
  .option('--json', 'print one JSON object per line')
  .action(async (names: string[], options: { json?: boolean }) => {
    const unknown = names.filter((name) => !(name in benchmarks))
    if (unknown.length > 0) {
      process.stderr.write(`unknown benchmark: ${unknown.join(', ')}; known: ${Object.keys(benchmarks).join(', ')}\n`)
      process.exit(2)
    }
    const selected = names.length > 0 ? names : Object.keys(benchmarks)
    for (const name of selected) {
      await benchmarks[name]?.((row) => print({ bench: name, ...row }, options.json === true))
    }
  })
cli.help()
cli.parse()

function print (row: Record<string, string | number>, json: boolean): void {
  const line = json ? JSON.stringify(row) : Object.entries(row).map(([key, value]) => `${key}=${value}`).join(' ')
  process.stdout.write(`${line}\n`)
}
