#!/usr/bin/env node
/** Command-line interface for operators. */
import { Manifest } from '@gypsumspring/protocol'
import { cac } from 'cac'
import type { Either } from 'purify-ts/Either'
import { applyManifest, DEFAULT_WAIT_MS, waitUntilInForce } from './commands/applyManifest.ts'
import { readManifestFile } from './commands/readManifestFile.ts'
import { showDiff } from './commands/showDiff.ts'
import { showPhases, showTrace } from './commands/showLogs.ts'
import { showStatus } from './commands/showStatus.ts'
import { OperatorClient, type CommandFailure } from './operatorClient/index.ts'
import { exitCodes, writeResult, type CommandResult } from './output/index.ts'

interface Options {
  server?: string
  waitMs?: number
  expect?: number
  scope?: string
  undo?: boolean
  json?: boolean
  tasks?: boolean
  watch?: boolean
  period?: number
}

/** Refresh interval of `status --watch`, in ms. */
const WATCH_INTERVAL_MS = 1000

const cli = cac('gypsumctl')
cli.option('--server <url>', 'URL of the operator API of any entry (GYPSUMCTL_SERVER; default http://127.0.0.1:7100)')

cli.command('apply <file>', 'apply a manifest and wait until it is in force; use - for standard input')
  .option('--expect <version>', 'version of the scope that the change is based on (default: the current one)')
  .option('--wait-ms <ms>', `longest wait until it is in force everywhere (default ${DEFAULT_WAIT_MS})`)
  .action(async (file: string, options: Options) =>
    writeResult(await applyManifest(createClient(options), file, options)))

cli.command('check <file>', 'validate a manifest without applying it')
  .action(async (file: string) => writeResult((await readManifestFile(file)).caseOf<CommandResult>({
    Left: (refusal) => refusal,
    Right: ({ manifest }) => ({ code: exitCodes.ok, output: [`${manifest.scope}: valid`] })
  })))

cli.command('diff <file>', 'show what applying a manifest would change')
  .action(async (file: string, options: Options) => writeResult(await showDiff(createClient(options), file)))

cli.command('schema', 'print the JSON Schema of the manifest')
  .action(() => writeResult({ code: exitCodes.ok, output: [JSON.stringify(Manifest, null, 2)] }))

cli.command('status', 'show processes, shards and workloads')
  .option('--json', 'print the whole status as JSON')
  .option('--tasks', 'list every task')
  .option('--watch', 'refresh every second')
  .action(async (options: Options) => {
    do {
      const result = await showStatus(createClient(options), options)
      if (options.watch === true) process.stdout.write('\x1b[2J\x1b[H')
      writeResult(result)
      if (options.watch === true) await new Promise((resolve) => setTimeout(resolve, WATCH_INTERVAL_MS))
    } while (options.watch === true)
  })

cli.command('explain <task>', 'explain why a task runs where it does, or why it is waiting')
  .action(async (task: string, options: Options) =>
    printResponse(await createClient(options).explain(task), ({ lines }) => lines))

cli.command('trace <job> <...logs>', 'show the timeline of a job from the log files of all processes; use - for standard input')
  .action(async (job: string, logs: string[]) => writeResult(await showTrace(job, logs)))

cli.command('phases <...logs>', 'show how long jobs spent in each phase, from the log files of all processes')
  .option('--period <s>', 'divide the jobs by the time of their end into periods of this length, in s')
  .action(async (logs: string[], { period }: Options) => writeResult(await showPhases(logs, period)))

cli.command('cancel <workload>', 'cancel a workload; its tasks are stopped')
  .option('--scope <scope>', 'scope of the workload, if several scopes declare the same name')
  .option('--wait-ms <ms>', `longest wait until it is in force everywhere (default ${DEFAULT_WAIT_MS})`)
  .action(async (workload: string, options: Options) => {
    const client = createClient(options)
    await waitAndPrintRollout(client, await client.cancel(workload, options.scope), options)
  })

cli.command('drain <endpoint> <runner>', 'stop sending new requests to a runner; requests in flight finish')
  .option('--undo', 'end the drain')
  .option('--wait-ms <ms>', `longest wait until it is in force everywhere (default ${DEFAULT_WAIT_MS})`)
  .action(async (endpoint: string, runner: string, options: Options) => {
    const client = createClient(options)
    const operation = options.undo === true ? 'undrain' : 'drain'
    await waitAndPrintRollout(client, await client.drain(endpoint, runner, operation), options)
  })

cli.command('stats', 'print the metrics of the entry')
  .action(async (options: Options) =>
    printResponse(await createClient(options).readMetrics(), (text) => [text.trimEnd()]))

cli.command('log-level <level>', 'change the log level of the entry at run time: debug, info, warn or error')
  .action(async (level: string, options: Options) =>
    printResponse(await createClient(options).setLogLevel(level), (response) => [`log level ${response.level}`]))

cli.command('', 'list the commands').action(() => {
  cli.outputHelp()
  process.exitCode = exitCodes.usage
})
cli.help()

function createClient (options: Options): OperatorClient {
  return new OperatorClient(options.server ?? process.env['GYPSUMCTL_SERVER'] ?? 'http://127.0.0.1:7100')
}

function printResponse<Value> (response: Either<CommandFailure, Value>, format: (value: Value) => string[]): void {
  writeResult(response.caseOf<CommandResult>({
    Left: (refusal) => refusal,
    Right: (value) => ({ code: exitCodes.ok, output: format(value) })
  }))
}

/** Waits until the changed configuration is in force everywhere and writes the result. */
async function waitAndPrintRollout (
  client: OperatorClient, response: Either<CommandFailure, { version: number }>, options: Options
): Promise<void> {
  writeResult(await response.caseOf<Promise<CommandResult>>({
    Left: async (refusal) => refusal,
    Right: async ({ version }) => await waitUntilInForce(client, version, options.waitMs ?? DEFAULT_WAIT_MS)
  }))
}

try {
  cli.parse(process.argv, { run: false })
  await cli.runMatchedCommand()
} catch (error) {
  writeResult({ code: exitCodes.usage, output: [], errors: [(error as Error).message] })
}
